// VMs with engines of two builds, at which streams begin and are taken up.

#ifndef TESTING_TAKE_UP_FIXTURE_H_
#define TESTING_TAKE_UP_FIXTURE_H_

#include <algorithm>
#include <span>
#include <string>
#include <vector>

#include "testing/entry_fixture.h"

namespace testing_support {

// Streams one event and resets the connection; the rest if it is resumed.
inline scripted_response BreakAfterFirstEvent(const http_request& request) {
  if (request.target.starts_with("/api/"))
    return {{PlainResponse(404, "", "{}")}};
  if (FindHeader(request.headers, "Last-Event-Id").empty())
    return {{StreamHead(IdOf(request)), StreamEvent(1, "one")}, true};
  return {{StreamHead(IdOf(request)), StreamEvent(2, "two"), StreamEnd()}};
}

// Streams one event and stays open; the rest if it is resumed.
inline scripted_response PauseAfterFirstEvent(const http_request& request) {
  scripted_response out = BreakAfterFirstEvent(request);
  out.closes_connection = false;
  return out;
}

inline constexpr std::string_view kTwoBuilds[] = {"v1", "v2", "v1", "v2"};

// VMs of one zone, with engines of the given builds.
struct take_up_fixture : zone_fixture {
  std::vector<std::string> builds;

  explicit take_up_fixture(
      std::size_t vm_count,
      std::span<const std::string_view> first_builds = kTwoBuilds)
      : zone_fixture(vm_count) {
    for (const std::string_view build : first_builds)
      AddEngine(build);
    RunUntil([&] {
      return WaitUntilSettled() &&
             std::all_of(vms.begin(), vms.end(), [&](const entry& vm) {
               return vm.state->targets.size() == targets.size();
             });
    });
  }

  void AddEngine(std::string_view build) {
    builds.emplace_back(build);
    targets.push_back(StartTarget(context, PauseAfterFirstEvent));
    PutEngine(targets.size() - 1, "ready");
  }
  void PutEngine(std::size_t index, std::string_view state) {
    PutObject(*store, "servers", "e" + std::to_string(index),
              EntryTargetRecord(targets[index]->Address(), "llm", 1, state,
                                builds[index]));
  }

  http_request MakeRequest(const std::string& id, http_headers extra) const {
    http_request request;
    request.method = "POST";
    request.target = std::string(kResumablePath);
    request.headers = {{"Host", "calls.example"},
                       {"Request-Id", id},
                       {"Deadline-Ms", "1000"},
                       {"Authorization", "Token key-1"}};
    request.headers.insert(request.headers.end(), extra.begin(), extra.end());
    return request;
  }
  // Begins a stream at a VM and closes the connection after its first event.
  bool BeginAndLeave(std::size_t vm, const std::string& id) {
    const auto begin = [&]() -> asio::awaitable<bool> {
      http_call_options options{milliseconds(1'000), false};
      auto call = co_await StartCall(pool, vms[vm].state->caller_server.address,
                                     MakeRequest(id, {}), options);
      std::string body;
      while (call && body.find("id: 1") == std::string::npos) {
        const auto more =
            co_await ReadSomeBody(pool, *call, milliseconds(1'000), body);
        if (!more || !*more)
          co_return false;
      }
      if (call)
        CancelCall(*call);
      co_return call.has_value();
    };
    return RunToEnd(context, begin());
  }
  // Takes the stream up at a VM after its first event.
  tl::expected<http_response, http_error> TakeUp(std::size_t vm,
                                                 const std::string& id,
                                                 const std::string& begun_as) {
    const http_call_options options{milliseconds(2'000), false};
    return RunToEnd(
        context,
        Fetch(pool, vms[vm].state->caller_server.address,
              MakeRequest(id, {{"Last-Event-Id", "1"}, {"Resumes", begun_as}}),
              options));
  }
  std::string BuildOf(const std::string& request) const {
    std::string out;
    for (std::size_t i = 0; i < targets.size(); ++i) {
      for (const http_request& received : targets[i]->requests) {
        if (IdOf(received) == request)
          out += (out.empty() ? "" : ",") + builds[i];
      }
    }
    return out;
  }
};

}  // namespace testing_support

#endif  // TESTING_TAKE_UP_FIXTURE_H_
