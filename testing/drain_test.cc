// Tests what callers see of a planned stop of one VM, up to its last moment.

#include <gtest/gtest.h>

#include <boost/json.hpp>

#include "testing/entry_fixture.h"

namespace waxwing {
namespace {

using namespace testing_support;  // NOLINT(google-build-using-namespace)
namespace json = boost::json;

constexpr milliseconds kStopTimeout{5'500};
constexpr milliseconds kBetweenRequests{20};
// Time in which callers know that the VM stops. Requests that are sent later
// are not theirs to lose.
constexpr milliseconds kNoticeTime{3'000};

struct late_request {
  instant sent;
  bool is_non_idempotent = false;
  // 0 if there was no response.
  unsigned status = 0;
};

struct stop_fixture : entry_fixture {
  std::map<std::string, late_request> requests;
  std::map<std::string, int> runs;
  std::size_t open = 0;
  bool has_stopped = false;
  instant stopped_at;

  asio::awaitable<void> SendOne(std::string id, bool is_non_idempotent) {
    http_request request;
    request.method = "POST";
    request.target =
        std::string(is_non_idempotent ? kNonIdempotentPath : kIdempotentPath);
    request.headers = {{"Host", "calls.example"},
                       {"Request-Id", id},
                       {"Deadline-Ms", "8000"},
                       {"Authorization", "Token key-1"}};
    http_call_options options{milliseconds(9'000), true};
    options.max_resend_delay = milliseconds(-1);
    const endpoint address = running.state->caller_server.address;
    ++open;
    const auto response = co_await Fetch(pool, address, request, options);
    --open;
    if (response)
      requests[id].status = response->status;
  }

  // Sends requests until the VM has stopped.
  void SendUntilStopped() {
    bool is_done = false;
    const instant began = std::chrono::steady_clock::now();
    asio::co_spawn(context, DrainEntry(running),
                   [&](const std::exception_ptr&, bool) {
                     is_done = true;
                     stopped_at = std::chrono::steady_clock::now();
                   });
    instant next = began;
    while (!is_done || open > 0) {
      const instant now = std::chrono::steady_clock::now();
      if (now >= next && !is_done) {
        next = now + kBetweenRequests;
        const std::string id = "s" + std::to_string(requests.size());
        const bool is_non_idempotent = requests.size() % 2 == 0;
        requests[id] = {now, is_non_idempotent, 0};
        asio::co_spawn(context, SendOne(id, is_non_idempotent), asio::detached);
      }
      context.restart();
      context.run_one_for(milliseconds(5));
    }
  }
};

// In a planned stop, requests that came late were taken and passed on, and cut
// without an answer when the time was over, also such that may not be repeated.
TEST(Drain, RequestThatIsPassedOnGetsAResponse) {
  stop_fixture f;
  // The second kind of target is still at work when the VM must stop.
  for (const milliseconds work : {milliseconds(400), milliseconds(9'000)}) {
    f.AddTarget("t" + std::to_string(f.targets.size()), "panel",
                [&f, work](const http_request& request) -> scripted_response {
                  scripted_response out = RespondOk(request);
                  ++f.runs[IdOf(request)];
                  out.delay = work;
                  return out;
                });
  }
  json::object config = json::parse(EntryConfig(1)).as_object();
  for (json::value& route : config.at("routes").as_array())
    route.as_object()["timeout_ms"] = 12'000;
  PutObject(*f.store, "config", "main", json::serialize(config));
  f.Start(2);
  f.running.state->options.bounds.stop_timeout = kStopTimeout;
  const instant began = std::chrono::steady_clock::now();
  f.SendUntilStopped();
  int lost = 0;
  int untrue = 0;
  int late_runs = 0;
  std::map<unsigned, int> by_status;
  for (const auto& [id, request] : f.requests) {
    ++by_status[request.status];
    lost += request.status == 0 && f.runs.contains(id);
    untrue += request.status == 503 && f.runs.contains(id);
    late_runs += request.sent > began + kNoticeTime + kBetweenRequests &&
                 f.runs.contains(id);
  }
  EXPECT_GT(by_status[200], 0);
  EXPECT_EQ(lost, 0);
  EXPECT_EQ(untrue, 0);
  EXPECT_EQ(late_runs, 0);
  EXPECT_LE(f.stopped_at, began + kStopTimeout);
  f.running.state.reset();
}

}  // namespace
}  // namespace waxwing
