// VMs before targets that end when they take certain requests, and are back
// under another ID after some time.

#ifndef TESTING_CRASH_FIXTURE_H_
#define TESTING_CRASH_FIXTURE_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "testing/entry_fixture.h"

namespace testing_support {

// Time from the start of a request that ends its target to the end, and from
// there until the target is back.
inline constexpr milliseconds kTimeToEnd{40};
inline constexpr milliseconds kTimeUntilBack{400};
inline constexpr milliseconds kServiceTime{20};

struct crash_fixture : zone_fixture {
  // True for requests that end the targets that take them.
  std::function<bool(const http_request&)> is_harmful;
  // When harmful requests reached targets, and when targets ended.
  std::vector<instant> harmful_arrivals;
  std::vector<instant> ends;
  int started_targets = 0;
  // Of the other requests.
  int sent = 0;
  int served = 0;
  int pending = 0;
  std::mt19937_64 random{7};
  const http_call_options call_options{milliseconds(2'000), false};

  explicit crash_fixture(std::size_t vm_count) : zone_fixture(vm_count) {}
  ~crash_fixture() {
    running = {};
    RunUntil([&] { return pending == 0; });
  }

  asio::awaitable<void> EndAndRestart(std::shared_ptr<scripted_target> target,
                                      std::string id,
                                      std::string service) {
    asio::steady_timer timer(context, kTimeToEnd);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (!target->acceptor.is_open())
      co_return;
    EndTarget(*target);
    ends.push_back(std::chrono::steady_clock::now());
    timer.expires_after(kTimeUntilBack);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    RemoveObject(*store, "servers", id);
    AddCrashingTarget(service);
  }

  void AddCrashingTarget(const std::string& service) {
    const std::string id = "t" + std::to_string(++started_targets);
    const auto self = std::make_shared<std::weak_ptr<scripted_target>>();
    const auto target = AddTarget(
        id, service, [this, id, service, self](const http_request& request) {
          return Run(request, id, service, self->lock());
        });
    *self = target;
  }

  scripted_response Run(const http_request& request,
                        const std::string& id,
                        const std::string& service,
                        const std::shared_ptr<scripted_target>& target) {
    if (request.target.starts_with("/api/"))
      return {{PlainResponse(404, "", "{}")}};
    const bool is_stream = service == "llm";
    if (is_harmful(request)) {
      harmful_arrivals.push_back(std::chrono::steady_clock::now());
      asio::co_spawn(context, EndAndRestart(target, id, service),
                     asio::detached);
      if (!is_stream)
        return {};
      return {{StreamHead(IdOf(request))}, false, kServiceTime};
    }
    scripted_response out =
        is_stream ? StreamTwoEvents(request) : RespondOk(request);
    out.delay = kServiceTime;
    return out;
  }

  bool Settle(std::size_t target_count) {
    return WaitUntilSettled() && RunUntil([&] {
             return std::all_of(vms.begin(), vms.end(), [&](const entry& vm) {
               return vm.state->targets.size() == target_count;
             });
           });
  }

  // Sends a request to a random VM and counts its result.
  void SendOne(std::string_view path, http_headers headers) {
    const auto request = std::make_shared<http_request>();
    request->method = "POST";
    request->target = std::string(path);
    request->headers = {{"Host", "calls.example"},
                        {"Request-Id", "r" + std::to_string(next_id++)},
                        {"Deadline-Ms", std::to_string(caller_deadline_ms)},
                        {"Authorization", "Token key-1"}};
    for (http_header& header : headers)
      request->headers.push_back(std::move(header));
    const bool is_counted = !is_harmful(*request);
    sent += is_counted ? 1 : 0;
    ++pending;
    const entry& vm = vms[random() % vms.size()];
    asio::co_spawn(
        context,
        Fetch(pool, vm.state->caller_server.address, *request, call_options),
        [this, request, is_counted](const std::exception_ptr&,
                                    const auto& response) {
          --pending;
          if (is_counted && response && response->status == 200)
            ++served;
        });
  }

  // Harmful requests that reached targets later than `grace` after the end with
  // this number, counted from 1.
  std::size_t ArrivalsAfterEnd(std::size_t number, duration grace) const {
    if (ends.size() < number)
      return 0;
    const instant limit = ends[number - 1] + grace;
    return static_cast<std::size_t>(
        std::count_if(harmful_arrivals.begin(), harmful_arrivals.end(),
                      [&](instant at) { return at > limit; }));
  }
};

}  // namespace testing_support

#endif  // TESTING_CRASH_FIXTURE_H_
