#include "waxwing/entry.h"

#include <algorithm>
#include <boost/asio.hpp>

#include "waxwing/agent_state.h"
#include "waxwing/entry_state.h"
#include "waxwing/hash.h"
#include "waxwing/log.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

// TTL of a directory response: long enough to keep the cost of lookups low,
// short enough that three TTLs fit into a graceful shutdown.
constexpr milliseconds kDirectoryTtl{1'000};
// Some callers cache a response for three TTLs.
constexpr int kCallerTtlMultiple = 3;
constexpr std::size_t kMaxAddresses = 64;
constexpr milliseconds kDrainPollPeriod{10};
// Reserved at the end of the shutdown for the process to exit by itself.
constexpr milliseconds kStopReserve{300};
constexpr milliseconds kRefreshPeriod{100};
// File descriptors reserved for targets, the store, peers and files.
constexpr std::size_t kReservedDescriptors = 1'000;
constexpr milliseconds kHealthyAfter{5'000};

struct leaving_member {
  const member* data = nullptr;
  instant since;
};

// Returns the VMs to list in directory responses: those that serve. If all are
// leaving, returns the one that started to leave last, since it will stay the
// longest.
std::vector<const member*> ChooseServing(const entry_state& state) {
  std::vector<const member*> serving;
  leaving_member last_leaving;
  for (const auto& [vm, record] :
       state.membership_agent.state->members.members) {
    const bool is_self = vm == state.options.vm;
    if (record.data.status == member_status::kAlive &&
        (!is_self || CanServe(state)))
      serving.push_back(&record.data);
    if (record.data.status == member_status::kLeaving &&
        (!last_leaving.data || record.status_since > last_leaving.since))
      last_leaving = {&record.data, record.status_since};
  }
  if (serving.empty() && last_leaving.data)
    serving.push_back(last_leaving.data);
  return serving;
}

// Returns the addresses for callers of a zone: VMs of that zone, or all if it
// has none.
std::vector<endpoint> ChooseAddresses(const entry_state& state,
                                      std::string_view zone) {
  const auto serving = ChooseServing(state);
  std::vector<endpoint> near;
  std::vector<endpoint> all;
  for (const member* vm : serving) {
    all.push_back(vm->router);
    if (vm->zone == zone)
      near.push_back(vm->router);
  }
  // No VM is known to serve; list this one rather than none.
  if (all.empty())
    all.push_back(state.options.callers);
  auto& chosen = near.empty() ? all : near;
  if (chosen.size() > kMaxAddresses)
    chosen.resize(kMaxAddresses);
  return chosen;
}

asio::awaitable<void> HandleReadiness(entry_ptr state,
                                      http_exchange& exchange) {
  const bool is_metrics = PathOf(exchange.request.target) == "/metrics";
  if (is_metrics) {
    http_response page{200,
                       {{"Content-Type", "text/plain; version=0.0.4"}},
                       PrometheusText(state->stats)};
    co_await Respond(exchange, std::move(page));
    co_return;
  }
  const bool is_ready = !state->is_draining && CanServe(*state);
  http_response response =
      JsonResponse(is_ready ? 200 : 503,
                   is_ready ? R"({"ready":true})" : R"({"ready":false})");
  co_await Respond(exchange, std::move(response));
}

milliseconds DirectoryTtl(const entry_state& state) {
  return std::min(kDirectoryTtl, state.options.bounds.max_directory_ttl);
}

asio::awaitable<void> HandleDirectory(entry_ptr state,
                                      http_exchange& exchange) {
  if (state->protocol.classify_request(exchange.request) !=
      caller_request_kind::kDirectory) {
    http_response response =
        JsonResponse(404, R"({"error":"there is nothing at this path"})");
    co_await Respond(exchange, std::move(response));
    co_return;
  }
  const directory_query query =
      state->protocol.read_directory_query(exchange.request);
  const directory_response directory{
      ChooseAddresses(*state, query.zone), DirectoryTtl(*state), {}};
  http_response response = state->protocol.write_directory_response(directory);
  Count(state->stats, "waxwing_directory_answers_total");
  co_await Respond(exchange, std::move(response));
}

using entry_handler = asio::awaitable<void> (*)(entry_ptr, http_exchange&);

http_handler Bind(const entry_ptr& state, entry_handler handler) {
  return [weak = std::weak_ptr<entry_state>(state),
          handler](http_exchange& exchange) -> asio::awaitable<void> {
    if (auto locked = weak.lock())
      co_await handler(locked, exchange);
  };
}

tl::expected<void, std::string> StartListeners(const entry_ptr& state) {
  http_limits limits;
  limits.max_connections =
      state->options.max_descriptors > 2 * kReservedDescriptors
          ? state->options.max_descriptors - kReservedDescriptors
          : kReservedDescriptors;
  const auto start = [&](const endpoint& address, entry_handler handler,
                         http_server& out) -> tl::expected<void, std::string> {
    auto server =
        StartHttpServer(state->executor, address, limits, Bind(state, handler));
    if (!server)
      return tl::unexpected(server.error());
    out = *server;
    return {};
  };
  const entry_options& options = state->options;
  if (auto result =
          start(options.callers, ForwardRequest, state->caller_server);
      !result)
    return result;
  if (auto result =
          start(options.readiness, HandleReadiness, state->readiness_server);
      !result)
    return result;
  return start(options.directory, HandleDirectory, state->directory_server);
}

tl::expected<void, std::string> StartMembership(const entry_ptr& state) {
  agent_options options;
  options.vm = state->options.vm;
  options.zone = state->options.zone;
  options.address = state->options.peers;
  options.router = state->options.callers;
  options.seeds = state->options.seeds;
  options.key = state->options.key;
  options.has_router = false;
  options.has_control = false;
  auto members = StartAgent(state->executor, options);
  if (!members)
    return tl::unexpected(members.error());
  state->membership_agent = *members;
  HandlePeerMessages(state);
  return {};
}

asio::awaitable<void> RefreshLoop(entry_ptr state) {
  while (!IsStopping(state->root)) {
    co_await Pause(state->root, kRefreshPeriod);
    RefreshTargets(*state, std::chrono::steady_clock::now());
    for (auto& [service, queue] : state->dispatch_queues) {
      UpdateWindowMinimum(*state, service, queue);
      DispatchQueuedRequests(*state, service);
    }
  }
}

void StartTasks(const entry_ptr& state) {
  Supervise(state->root, "watch_config",
            [state] { return WatchKind(state, object_kind::kConfig); });
  Supervise(state->root, "watch_targets",
            [state] { return WatchKind(state, object_kind::kTargets); });
  Supervise(state->root, "watch_weights",
            [state] { return WatchKind(state, object_kind::kWeights); });
  Supervise(state->root, "weights", [state] { return RunRollout(state); });
  Supervise(state->root, "caches",
            [state] { return SubscribeToCaches(state); });
  Supervise(state->root, "cache_feed",
            [state] { return RunCachePublisher(state); });
  Supervise(state->root, "feed", [state] { return RunReplication(state); });
  Supervise(state->root, "peers", [state] { return RunPeerBootstrap(state); });
  Supervise(state->root, "refresh", [state] { return RefreshLoop(state); });
}

}  // namespace

std::size_t CountServingVms(const entry_state& state) {
  const auto& members = state.membership_agent.state->members.members;
  const auto serving =
      std::count_if(members.begin(), members.end(), [](const auto& entry) {
        return entry.second.data.status == member_status::kAlive;
      });
  return std::max<std::size_t>(1, static_cast<std::size_t>(serving));
}

tl::expected<entry, std::string> StartEntry(asio::any_io_executor executor,
                                            const entry_options& options,
                                            const protocol_adapter& protocol) {
  auto state = std::make_shared<entry_state>();
  state->executor = executor;
  state->options = options;
  state->protocol = protocol;
  state->started = std::chrono::steady_clock::now();
  supervisor_limits restarts;
  restarts.healthy_after = kHealthyAfter;
  state->root = MakeSupervisor(executor, "entry", restarts);
  state->pool = MakeHttpPool(executor, {});
  state->store.pool = state->pool;
  state->store.address = options.store;
  state->random.seed(RandomId());
  state->lease.self = options.vm;
  state->lease.incarnation = RandomId();
  if (auto result = StartMembership(state); !result)
    return tl::unexpected(result.error());
  if (auto result = StartListeners(state); !result)
    return tl::unexpected(result.error());
  StartTasks(state);
  LogInfo("entry_started", {{"vm", options.vm},
                            {"zone", options.zone},
                            {"callers", ToText(options.callers)},
                            {"store", ToText(options.store)}});
  return entry{state};
}

void ReloadEntry(entry& instance, const entry_options& options) {
  entry_state& state = *instance.state;
  state.options.bounds = options.bounds;
  state.options.seeds = options.seeds;
  state.membership_agent.state->options.seeds = options.seeds;
  state.options.store = options.store;
  state.store.address = options.store;
  LogInfo("settings_reloaded",
          {{"seeds", options.seeds.size()}, {"store", ToText(options.store)}});
}

asio::awaitable<bool> DrainEntry(entry& instance) {
  const entry_ptr state = instance.state;
  state->is_draining = true;
  AnnounceLeaving(state->membership_agent);
  LogInfo("drain_started", {{"open", ActiveExchanges(state->caller_server)}});
  const instant start = std::chrono::steady_clock::now();
  const instant limit =
      start + state->options.bounds.stop_timeout - kStopReserve;
  // Callers with a cached directory response still open new connections.
  CloseAfterResponses(state->caller_server);
  co_await Pause(state->root, DirectoryTtl(*state) * kCallerTtlMultiple);
  state->is_closed = true;
  StopAccepting(state->caller_server);
  while (ActiveExchanges(state->caller_server) > 0 &&
         std::chrono::steady_clock::now() < limit)
    co_await Pause(state->root, kDrainPollPeriod);
  const std::size_t left = ActiveExchanges(state->caller_server);
  LogInfo("drain_ended", {{"open", left}});
  StopEntry(instance);
  co_return left == 0;
}

void StopEntry(entry& instance) {
  entry_state& state = *instance.state;
  StopSupervisor(state.root);
  StopAgent(state.membership_agent);
  CloseServer(state.caller_server);
  CloseServer(state.readiness_server);
  CloseServer(state.directory_server);
}

}  // namespace waxwing
