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

// How long callers may keep a directory answer: long enough that asking costs
// little, short enough that three times as long fits into a planned stop.
constexpr milliseconds kDirectoryLifetime{1'000};
// Some callers keep an answer for three lifetimes.
constexpr int kLifetimesKept = 3;
constexpr std::size_t kMostAddresses = 64;
constexpr milliseconds kDrainPoll{10};
// Kept from the end of the stop for the process to end by itself.
constexpr milliseconds kStopReserve{300};
constexpr milliseconds kRefreshPeriod{100};
// Descriptors that callers may not use: targets, store, peers, files.
constexpr std::size_t kReservedDescriptors = 1'000;
constexpr milliseconds kHealthyStart{5'000};

struct known_entry {
  const member* data = nullptr;
  instant since;
};

// VMs to name: those that serve. If all are leaving, the one that will be there
// longest, and that is the one that began to leave last.
std::vector<const member*> ChooseServing(const entry_state& state) {
  std::vector<const member*> serving;
  known_entry last;
  for (const auto& [vm, record] : state.members.state->members.members) {
    const bool is_self = vm == state.options.vm;
    if (record.data.status == member_status::kAlive &&
        (!is_self || CanServe(state)))
      serving.push_back(&record.data);
    if (record.data.status == member_status::kLeaving &&
        (!last.data || record.since > last.since))
      last = {&record.data, record.since};
  }
  if (serving.empty() && last.data)
    serving.push_back(last.data);
  return serving;
}

// Addresses for callers of a zone: VMs of that zone, or all if it has none.
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
  // Nobody is known to serve: better this VM than none.
  if (all.empty())
    all.push_back(state.options.callers);
  auto& chosen = near.empty() ? all : near;
  if (chosen.size() > kMostAddresses)
    chosen.resize(kMostAddresses);
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
  http_response answer =
      JsonResponse(is_ready ? 200 : 503,
                   is_ready ? R"({"ready":true})" : R"({"ready":false})");
  co_await Respond(exchange, std::move(answer));
}

milliseconds DirectoryLifetime(const entry_state& state) {
  return std::min(kDirectoryLifetime, state.options.bounds.longest_lifetime);
}

asio::awaitable<void> HandleDirectory(entry_ptr state,
                                      http_exchange& exchange) {
  if (state->protocol.classify_request(exchange.request) !=
      caller_request_kind::kDirectory) {
    http_response answer =
        JsonResponse(404, R"({"error":"there is nothing at this path"})");
    co_await Respond(exchange, std::move(answer));
    co_return;
  }
  const directory_query query =
      state->protocol.read_directory_query(exchange.request);
  const directory_response known{
      ChooseAddresses(*state, query.zone), DirectoryLifetime(*state), {}};
  http_response answer = state->protocol.write_directory_response(known);
  Count(state->stats, "waxwing_directory_answers_total");
  co_await Respond(exchange, std::move(answer));
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
  limits.connections = state->options.descriptors > 2 * kReservedDescriptors
                           ? state->options.descriptors - kReservedDescriptors
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
  if (auto done = start(options.callers, ForwardRequest, state->callers); !done)
    return done;
  if (auto done = start(options.readiness, HandleReadiness, state->readiness);
      !done)
    return done;
  return start(options.directory, HandleDirectory, state->directory);
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
  state->members = *members;
  ShareWithPeers(state);
  return {};
}

asio::awaitable<void> RefreshLoop(entry_ptr state) {
  while (!IsStopping(state->root)) {
    co_await Pause(state->root, kRefreshPeriod);
    RefreshTargets(*state, std::chrono::steady_clock::now());
    for (auto& [service, queue] : state->queues) {
      SetSmallestWindow(*state, service, queue);
      GrantTurns(*state, service);
    }
  }
}

void StartDuties(const entry_ptr& state) {
  Supervise(state->root, "watch_config",
            [state] { return WatchKind(state, object_kind::kConfig); });
  Supervise(state->root, "watch_targets",
            [state] { return WatchKind(state, object_kind::kTargets); });
  Supervise(state->root, "watch_weights",
            [state] { return WatchKind(state, object_kind::kWeights); });
  Supervise(state->root, "weights", [state] { return KeepWeights(state); });
  Supervise(state->root, "caches", [state] { return FollowCaches(state); });
  Supervise(state->root, "cache_feed", [state] { return TellCaches(state); });
  Supervise(state->root, "feed", [state] { return KeepFeed(state); });
  Supervise(state->root, "peers", [state] { return AskPeers(state); });
  Supervise(state->root, "refresh", [state] { return RefreshLoop(state); });
}

}  // namespace

std::size_t CountServingVms(const entry_state& state) {
  const auto& members = state.members.state->members.members;
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
  restarts.healthy_after = kHealthyStart;
  state->root = MakeSupervisor(executor, "entry", restarts);
  state->pool = MakeHttpPool(executor, {});
  state->store.pool = state->pool;
  state->store.address = options.store;
  state->random.seed(RandomId());
  state->lease.self = options.vm;
  state->lease.incarnation = RandomId();
  if (auto done = StartMembership(state); !done)
    return tl::unexpected(done.error());
  if (auto done = StartListeners(state); !done)
    return tl::unexpected(done.error());
  StartDuties(state);
  LogInfo("entry_started", {{"vm", options.vm},
                            {"zone", options.zone},
                            {"callers", ToText(options.callers)},
                            {"store", ToText(options.store)}});
  return entry{state};
}

void ReloadEntry(entry& of, const entry_options& fresh) {
  entry_state& state = *of.state;
  state.options.bounds = fresh.bounds;
  state.options.seeds = fresh.seeds;
  state.members.state->options.seeds = fresh.seeds;
  state.options.store = fresh.store;
  state.store.address = fresh.store;
  LogInfo("settings_reloaded",
          {{"seeds", fresh.seeds.size()}, {"store", ToText(fresh.store)}});
}

asio::awaitable<bool> DrainEntry(entry& of) {
  const entry_ptr state = of.state;
  state->is_draining = true;
  AnnounceLeaving(state->members);
  LogInfo("drain_started", {{"open", OpenExchanges(state->callers)}});
  const instant start = std::chrono::steady_clock::now();
  const instant limit = start + state->options.bounds.stop - kStopReserve;
  // Callers that hold an older answer still come, with new connections.
  CloseAfterAnswers(state->callers);
  co_await Pause(state->root, DirectoryLifetime(*state) * kLifetimesKept);
  state->is_closed = true;
  StopAccepting(state->callers);
  while (OpenExchanges(state->callers) > 0 &&
         std::chrono::steady_clock::now() < limit)
    co_await Pause(state->root, kDrainPoll);
  const std::size_t left = OpenExchanges(state->callers);
  LogInfo("drain_ended", {{"open", left}});
  StopEntry(of);
  co_return left == 0;
}

void StopEntry(entry& of) {
  entry_state& state = *of.state;
  StopSupervisor(state.root);
  StopAgent(state.members);
  CloseServer(state.callers);
  CloseServer(state.readiness);
  CloseServer(state.directory);
}

}  // namespace waxwing
