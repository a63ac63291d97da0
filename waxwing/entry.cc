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

// Some callers cache a response for three TTLs.
constexpr int kCallerTtlMultiple = 3;
constexpr milliseconds kDrainPollPeriod{10};
// Reserved at the end of the shutdown for the process to exit by itself, and
// before that to respond to the requests that are still held.
constexpr milliseconds kStopReserve{300};
constexpr milliseconds kRefusalReserve{200};
constexpr milliseconds kRefreshPeriod{100};
// Period in which idle connections that cannot be reused are closed.
constexpr milliseconds kPrunePeriod{1'000};
constexpr milliseconds kHealthyAfter{5'000};

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

using entry_handler = asio::awaitable<void> (*)(entry_ptr, http_exchange&);

http_handler Bind(const entry_ptr& state, entry_handler handler) {
  return [weak = std::weak_ptr<entry_state>(state),
          handler](http_exchange& exchange) -> asio::awaitable<void> {
    if (auto locked = weak.lock())
      co_await handler(locked, exchange);
  };
}

// Starts the servers that callers reach. They share memory and connections.
tl::expected<void, std::string> StartListeners(const entry_ptr& state) {
  http_limits limits;
  state->held->limit = HeldMemoryLimit(state->options.memory_bytes);
  limits.held = state->held;
  limits.max_connections = MaxConnections(state->options.max_descriptors,
                                          state->options.memory_bytes);
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
  ObserveConnections(
      state->caller_server,
      [weak = std::weak_ptr(state)](const connection_report& report) {
        const auto locked = weak.lock();
        if (!locked)
          return;
        Count(locked->stats, "waxwing_connections_ended_total{reason=\"" +
                                 std::string(NameOf(report.end)) + "\"}");
        if (LacksResponse(report))
          Count(locked->stats, "waxwing_requests_without_response_total");
      });
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
  options.router = state->caller_server.address;
  options.request_capacity = RequestCapacity(state->options.resources);
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
  instant next_prune;
  while (!IsStopping(state->root)) {
    co_await Pause(state->root, kRefreshPeriod);
    const instant now = std::chrono::steady_clock::now();
    if (now >= next_prune) {
      PruneIdleConnections(state->pool);
      next_prune = now + kPrunePeriod;
    }
    RefreshTargets(*state, now);
    AgeSuspects(state->suspects, now);
    RecordTick(state->stalls, SuspendAwareNow());
    CheckConfirmations(*state);
    WithdrawLateStarts(*state);
    MaintainStreamRecords(state);
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
  Supervise(state->root, "watch_holds",
            [state] { return WatchKind(state, object_kind::kHolds); });
  Supervise(state->root, "holds", [state] { return RunHoldWriter(state); });
  Supervise(state->root, "streams", [state] { return RunStreamWriter(state); });
  Supervise(state->root, "weights", [state] { return RunRollout(state); });
  Supervise(state->root, "caches",
            [state] { return SubscribeToCaches(state); });
  Supervise(state->root, "cache_feed",
            [state] { return RunCachePublisher(state); });
  Supervise(state->root, "feed", [state] { return RunReplication(state); });
  Supervise(state->root, "peers", [state] { return RunPeerBootstrap(state); });
  Supervise(state->root, "load", [state] { return RunLoadSharing(state); });
  Supervise(state->root, "reach", [state] { return RunReachProbes(state); });
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
  auto state = std::make_shared<entry_state>(executor);
  state->options = options;
  state->protocol = protocol;
  state->started = SuspendAwareNow();
  supervisor_limits restarts;
  restarts.healthy_after = kHealthyAfter;
  state->root = MakeSupervisor(executor, "entry", restarts);
  state->pool = MakeHttpPool(executor, {});
  state->store.pool = state->pool;
  state->store.address = options.store;
  state->random.seed(RandomId());
  state->lease.self = options.vm;
  state->lease.incarnation = RandomId();
  if (auto result = StartListeners(state); !result)
    return tl::unexpected(result.error());
  if (auto result = StartMembership(state); !result)
    return tl::unexpected(result.error());
  StartTasks(state);
  LogInfo("entry_started", {{"vm", options.vm},
                            {"zone", options.zone},
                            {"callers", ToText(options.callers)},
                            {"first_start", options.is_first_start},
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
  const instant limit = start + state->options.bounds.stop_timeout -
                        kStopReserve - kRefusalReserve;
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
  CutRunsShort(*state);
  const instant end = std::chrono::steady_clock::now() + kRefusalReserve;
  while (ActiveExchanges(state->caller_server) > 0 &&
         std::chrono::steady_clock::now() < end)
    co_await Pause(state->root, kDrainPollPeriod);
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
