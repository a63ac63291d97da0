// What the cases of this review share: entries that run as processes, a
// stand-in for the platform's store, scripted targets, callers, and a record of
// what was sent, answered and run.

#ifndef REVIEW_STANDIN_3_WORLD_H_
#define REVIEW_STANDIN_3_WORLD_H_

#include <sys/types.h>

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "testing/platform_standin.h"
#include "waxwing/http.h"
#include "waxwing/http_client.h"
#include "waxwing/types.h"

namespace review {

using std::chrono::milliseconds;
using waxwing::endpoint;
using waxwing::http_headers;
using waxwing::http_request;

// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

// Settings of an entry that differ between cases.
struct entry_settings {
  std::string name;
  std::string zone = "zone-a";
  std::vector<endpoint> seeds;
  // False once the whole system has started for the first time.
  bool is_first_start = true;
  // Replaces bounds of the settings file.
  boost::json::object bounds;
  // The way by which this entry reaches the store, if not the usual one.
  std::optional<endpoint> store;
};

// An entry that runs as a process.
struct entry_process {
  pid_t pid = 0;
  entry_settings settings;
  endpoint front;
  endpoint ready;
  endpoint control;
  endpoint directory;
  std::string file;
  std::string log;
};

// One case: its event loop, its stand-ins and its record.
struct world {
  boost::asio::io_context context;
  std::unique_ptr<testing_support::object_store_standin> store =
      testing_support::StartObjectStore(context);
  std::vector<std::shared_ptr<testing_support::scripted_target>> targets;
  std::vector<std::unique_ptr<entry_process>> entries;
  waxwing::http_pool pool = waxwing::MakeHttpPool(context.get_executor(), {});
  std::string folder;
  std::ofstream record;
  std::chrono::steady_clock::time_point began =
      std::chrono::steady_clock::now();
  bool has_trouble = true;

  world();
  ~world();
  world(const world&) = delete;
  world& operator=(const world&) = delete;
};

// Writes a line to the record, after the time since the case began.
void Note(world& w, const std::string& line);

// Returns the time since the case began.
milliseconds Elapsed(const world& w);

// Runs the event loop for some time.
void RunFor(world& w, milliseconds time);

// Runs the event loop until the condition holds. Returns false if it does not
// within `limit`.
bool RunUntil(world& w,
              milliseconds limit,
              const std::function<bool()>& condition);

// Runs the event loop until the coroutine has finished, and returns its result.
template <typename T>
T Await(world& w, boost::asio::awaitable<T> body) {
  std::optional<T> out;
  boost::asio::co_spawn(w.context, std::move(body),
                        [&](const std::exception_ptr&, T result) {
                          out.emplace(std::move(result));
                        });
  RunUntil(w, milliseconds(60'000), [&] { return out.has_value(); });
  return std::move(*out);
}

// Returns a loopback address whose port is free at the time of the call.
endpoint FindFreeAddress(world& w);

// Chooses the addresses of an entry, which is not started yet.
entry_process& AddEntry(world& w, const entry_settings& settings);

// Writes the settings file of an entry.
void WriteSettings(world& w, const entry_process& entry);

// Starts an entry with the command and the environment of the deploy file.
void StartEntry(world& w, entry_process& entry);

// Sends SIGKILL and waits for the end of the process.
void KillEntry(world& w, entry_process& entry);

// True if the process of an entry has ended by itself; notes its exit status.
bool HasEnded(world& w, entry_process& entry);

// Waits until an entry is ready. Returns false if it is not within `limit`.
bool WaitUntilReady(world& w, const entry_process& entry, milliseconds limit);

// Starts a target and lists it in the store. `record` makes its entry there.
testing_support::scripted_target& AddTarget(
    world& w,
    const std::string& id,
    const std::function<boost::json::object(const endpoint&)>& record,
    std::function<testing_support::scripted_response(const http_request&)>
        script);

// The response that a caller got; status 0 if there was none.
struct caller_response {
  unsigned status = 0;
  std::string body;
};

// Sends a caller's request with the usual headers and those in `extra`.
boost::asio::awaitable<caller_response> Send(world& w,
                                             endpoint front,
                                             std::string path,
                                             std::string id,
                                             http_headers extra);

}  // namespace review

#endif  // REVIEW_STANDIN_3_WORLD_H_
