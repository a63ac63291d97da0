// A small deployment on loopback for the scripts of the review: waxwing-entry
// processes that are started as in deploy/system.toml, and in this process the
// stand-ins of the store, the targets and the callers.

#ifndef REVIEW_RIG_H_
#define REVIEW_RIG_H_

#include <sys/types.h>

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "testing/platform_standin.h"
#include "waxwing/http.h"
#include "waxwing/http_client.h"
#include "waxwing/types.h"

namespace review {

// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

struct entry_vm {
  std::string name;
  std::string zone;
  pid_t process = 0;
  bool has_started = false;
  std::string settings_path;
  std::string log_path;
  waxwing::endpoint callers;
  waxwing::endpoint readiness;
  waxwing::endpoint peers;
  waxwing::endpoint directory;
  waxwing::endpoint store;
};

struct rig {
  boost::asio::io_context context;
  std::unique_ptr<testing_support::object_store_standin> store;
  std::vector<std::shared_ptr<testing_support::scripted_target>> targets;
  std::vector<entry_vm> vms;
  waxwing::http_pool pool;
  std::ofstream record;
  std::string work_folder;
  waxwing::instant began;
  // False if the case runs without its disruption.
  bool has_trouble = true;
  int memory_mb = 110;

  rig() = default;
  ~rig();
  rig(const rig&) = delete;
  rig& operator=(const rig&) = delete;
};

// Starts the store. `folder` is the folder of the case, for its record.
std::unique_ptr<rig> StartRig(const std::string& folder);

// Writes a line to the record and to standard output.
void Record(rig& r, const std::string& line);

// Adds VMs; all of them are started with StartVms().
void AddVm(rig& r, const std::string& name, const std::string& zone);
void StartVms(rig& r);
void StartVm(rig& r, entry_vm& vm);
// Returns false if the process is not running any more.
bool IsRunning(const entry_vm& vm);
void KillVm(entry_vm& vm);
// Returns true if the process has written a line with this text to its log.
bool HasLogged(const entry_vm& vm, std::string_view text);

// A way to the store that one VM uses. While it turns the VM away, it resets
// its connections, old and new ones.
struct store_gate {
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::ip::tcp::endpoint own;
  waxwing::endpoint store;
  bool turns_away = false;
  std::vector<std::weak_ptr<boost::asio::ip::tcp::socket>> sockets;

  store_gate(boost::asio::io_context& context,
             const waxwing::endpoint& own,
             waxwing::endpoint to);
  waxwing::endpoint Address() const;
};

std::shared_ptr<store_gate> OpenGate(rig& r);
void TurnAway(store_gate& gate, bool turns_away);

// A way to a target that one VM uses. While it is cut, its connections are
// reset and new ones are refused.
std::shared_ptr<store_gate> OpenPath(rig& r, const waxwing::endpoint& target);
void CutPath(const std::shared_ptr<store_gate>& path, bool is_cut);

std::shared_ptr<testing_support::scripted_target> AddTarget(
    rig& r,
    std::function<testing_support::scripted_response(
        const waxwing::http_request&)> script);

void RunFor(rig& r, waxwing::milliseconds time);
// Returns false if the condition does not hold within `limit`.
bool RunUntil(rig& r,
              const std::function<bool()>& condition,
              waxwing::milliseconds limit);

// What a caller got: status 0 if it got no response.
struct caller_answer {
  unsigned status = 0;
  std::string body;
  std::string error;
};

// A request of a caller.
struct caller_request {
  std::string id;
  std::string method = "POST";
  std::string path;
  std::string key;
  int deadline_ms = 1'000;
  std::string body;
  waxwing::http_headers more_headers;
};

boost::asio::awaitable<caller_answer> Call(rig& r,
                                           waxwing::endpoint address,
                                           caller_request request);
caller_answer CallAndWait(rig& r,
                          const waxwing::endpoint& address,
                          const caller_request& request);

// Returns true if all VMs answer that they are ready, within `limit`.
bool WaitUntilReady(rig& r, waxwing::milliseconds limit);

// The configuration: EntryConfig() with these accounts, by name and keys.
boost::json::object Account(std::string_view name,
                            const std::vector<std::string>& keys);
std::string Config(int version, const boost::json::array& accounts);

// Runs a case and returns its exit code.
int RunCase(int argc,
            const char** argv,
            const std::function<int(rig& r)>& body);

}  // namespace review

#endif  // REVIEW_RIG_H_
