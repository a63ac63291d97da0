// Entries in the test process, with the platform's protocol adapter, an object
// store and scripted targets.

#ifndef TESTING_ENTRY_FIXTURE_H_
#define TESTING_ENTRY_FIXTURE_H_

#include <algorithm>
#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "platform/adapter.h"
#include "testing/event_loop.h"
#include "testing/platform_standin.h"
#include "testing/target_path.h"
#include "waxwing/agent_state.h"
#include "waxwing/entry.h"
#include "waxwing/entry_state.h"
#include "waxwing/http_client.h"

namespace testing_support {

using namespace waxwing;  // NOLINT(google-build-using-namespace)

namespace asio = boost::asio;

// Paths of the routes of EntryConfig().
inline constexpr std::string_view kStreamPath = "/chat/x";
inline constexpr std::string_view kResumablePath = "/note/x";
inline constexpr std::string_view kNonIdempotentPath = "/start/x";
inline constexpr std::string_view kIdempotentPath = "/status/x";

inline std::string IdOf(const http_request& request) {
  return std::string(FindHeader(request.headers, "Request-Id"));
}

// The version of model m that a target has, as far as an entry knows; 0 if it
// knows none.
inline std::int64_t WeightsOf(const entry_state& state,
                              const std::string& target) {
  const model_weights* served =
      FindModel(state.targets.at(target).record.models, "m");
  return served ? served->version : 0;
}

struct entry_fixture {
  asio::io_context context;
  std::unique_ptr<object_store_standin> store = StartObjectStore(context);
  std::vector<std::shared_ptr<scripted_target>> targets;
  entry running;
  http_pool pool = MakeHttpPool(context.get_executor(), {});
  int next_id = 1;
  int caller_deadline_ms = 1'000;

  entry_fixture() { PutObject(*store, "config", "main", EntryConfig(1)); }
  ~entry_fixture() {
    if (running.state)
      StopEntry(running);
    for (const auto& target : targets)
      target->acceptor.close();
    CloseServer(store->server);
  }

  std::shared_ptr<scripted_target> AddTarget(
      const std::string& id,
      std::string_view service,
      std::function<scripted_response(const http_request&)> script) {
    targets.push_back(StartTarget(context, std::move(script)));
    PutObject(*store, "servers", id,
              EntryTargetRecord(targets.back()->Address(), service,
                                service == "llm" ? 1 : 0));
    return targets.back();
  }

  // Starts the entry and waits until it knows `count` targets.
  void Start(std::size_t count) {
    entry_options options;
    options.vm = "vm-0";
    options.store = store->server.address;
    options.key = "test";
    running = *StartEntry(context.get_executor(), options,
                          platform::MakeProtocolAdapter());
    RunUntil([&] {
      return running.state->table->version > 0 &&
             running.state->targets.size() == count;
    });
  }

  // Runs the loop until the condition holds; at most 3 s.
  bool RunUntil(const std::function<bool()>& condition) {
    const instant limit = std::chrono::steady_clock::now() + seconds(3);
    while (!condition() && std::chrono::steady_clock::now() < limit) {
      context.restart();
      context.run_one_for(milliseconds(20));
    }
    return condition();
  }

  tl::expected<http_response, http_error> Send(std::string_view path,
                                               http_headers extra = {},
                                               std::string key = "key-1") {
    http_request request;
    request.method = "POST";
    request.target = std::string(path);
    request.headers = {{"Host", "calls.example"},
                       {"Request-Id", "r" + std::to_string(next_id++)},
                       {"Deadline-Ms", std::to_string(caller_deadline_ms)},
                       {"Authorization", "Token " + key}};
    for (http_header& header : extra)
      request.headers.push_back(std::move(header));
    const http_call_options options{milliseconds(2'000), false};
    return RunToEnd(context, Fetch(pool, running.state->caller_server.address,
                                   request, options));
  }
};

inline scripted_response RespondOk(const http_request& request) {
  return {{PlainResponse(200, IdOf(request), "body")}};
}

inline scripted_response RefuseAsNotExecuted(const http_request& request) {
  return {{PlainResponse(503, IdOf(request), "", "Not-Executed: 1\r\n")}};
}

inline scripted_response StreamTwoEvents(const http_request& request) {
  if (request.target.starts_with("/api/"))
    return {{PlainResponse(404, "", "{}")}};
  return {{StreamHead(IdOf(request)), StreamEvent(1, "one"),
           StreamEvent(2, "two"), StreamEnd()}};
}

// Entries of one zone that know each other.
struct zone_fixture : entry_fixture {
  std::vector<entry> vms;

  explicit zone_fixture(std::size_t count) { StartVms(count); }
  ~zone_fixture() { StopVms(); }

  // Starts VMs with names made of a prefix and their index.
  void StartVms(std::size_t count, const std::string& prefix = "vm-") {
    for (std::size_t i = 0; i < count; ++i) {
      entry_options options;
      options.vm = prefix + std::to_string(i);
      options.store = store->server.address;
      options.key = "test";
      if (!vms.empty())
        options.seeds = {vms[0].state->membership_agent.address};
      vms.push_back(*StartEntry(context.get_executor(), options,
                                platform::MakeProtocolAdapter()));
    }
  }
  void StopVms() {
    for (entry& vm : vms)
      StopEntry(vm);
    vms.clear();
  }

  bool IsZoneWatcher(const entry& vm) const {
    const auto& zone_watchers = vm.state->zone_watchers;
    return std::find(zone_watchers.begin(), zone_watchers.end(),
                     vm.state->options.vm) != zone_watchers.end();
  }
  bool IsFullySynced(const entry& vm) const {
    const instant now = std::chrono::steady_clock::now();
    return IsSynced(*vm.state, object_kind::kConfig, seconds(2), now) &&
           IsSynced(*vm.state, object_kind::kTargets, seconds(2), now);
  }
  // Waits until each VM knows all others and is a zone watcher or synced.
  bool WaitUntilSettled() {
    return RunUntil([&] {
      return std::all_of(vms.begin(), vms.end(), [&](const entry& vm) {
        return CountServingVms(*vm.state) == vms.size() &&
               vm.state->zone_watchers.size() == kWatchersPerZone &&
               (IsZoneWatcher(vm) || IsFullySynced(vm));
      });
    });
  }
  // Makes a VM reach its targets over paths of its own.
  std::vector<std::shared_ptr<target_path>> RoutePaths(entry_state& vm) {
    std::vector<std::shared_ptr<target_path>> out;
    for (auto& [id, target] : vm.targets) {
      out.push_back(OpenPath(context, target.record.address));
      target.record.address = out.back()->Address();
      vm.placement.targets[target.index].address = out.back()->Address();
    }
    return out;
  }
  // Waits until all VMs but those stopped have the configuration.
  bool AllHaveConfig(std::int64_t version) {
    return RunUntil([&] {
      return std::all_of(vms.begin(), vms.end(), [&](const entry& vm) {
        return IsStopping(vm.state->root) ||
               vm.state->table->version == version;
      });
    });
  }
};

}  // namespace testing_support

#endif  // TESTING_ENTRY_FIXTURE_H_
