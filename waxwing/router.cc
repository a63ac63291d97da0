#include "waxwing/router.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "waxwing/hash.h"
#include "waxwing/log.h"
#include "waxwing/router_state.h"

namespace waxwing {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr milliseconds kQueueTickInterval{20};
constexpr milliseconds kLedgerSweepInterval{1'000};
constexpr milliseconds kDrainPollInterval{10};
// Upper limit of the redial backoff. It is short because a restarted agent
// waits only briefly for its router to connect (see agent.cc).
constexpr milliseconds kMaxRedialBackoff{100};
// Tickets per entry VM in a response of /v1/entry.
constexpr std::size_t kTicketsPerVm = 8;

asio::awaitable<void> SendError(http_exchange& exchange,
                                const api_error& error) {
  http_response response = ErrorResponse(error);
  co_await Respond(exchange, response);
}

// Parses a request, authenticates its client account, and sets the request's
// id, deadline and priority. Fails with the error to send to the caller.
tl::expected<admitted_request, api_error> Identify(
    router_state& state,
    const http_request& from_caller) {
  auto inbound = state.protocol.read_request(from_caller);
  if (!inbound)
    return tl::unexpected(api_error{
        400, "bad_header", inbound.error(), run_outcome::kNotRun, {}});
  if (state.active_config->generation == 0)
    return tl::unexpected(api_error{503, "starting",
                                    "no configuration is in force yet",
                                    run_outcome::kNotRun, seconds(1)});
  const auto account_name = state.account_by_key.find(inbound->account_key);
  if (inbound->account_key.empty() ||
      account_name == state.account_by_key.end())
    return tl::unexpected(api_error{401,
                                    "unknown_account",
                                    "the key belongs to no client account",
                                    run_outcome::kNotRun,
                                    {}});
  admitted_request out;
  out.account = account_name->second;
  out.id = state.options.vm + "-" + ToHex(state.process_incarnation) + "-" +
           std::to_string(state.next_request_number++);
  out.arrived = std::chrono::steady_clock::now();
  out.deadline = out.arrived + inbound->time_left.value_or(kDefaultDeadline);
  const account_config& account = state.active_config->accounts.at(out.account);
  const int allowed = EffectivePriority(account, UnixNow());
  // A caller may lower its priority but not raise it.
  out.priority = std::min(inbound->priority.value_or(allowed), allowed);
  out.inbound = std::move(*inbound);
  EarnRetry(state.retry_budgets[out.account]);
  return out;
}

asio::awaitable<void> HandleChat(const router_ptr& state,
                                 http_exchange& exchange) {
  const auto request = Identify(*state, exchange.request);
  if (!request) {
    co_await SendError(exchange, request.error());
    co_return;
  }
  const auto chat = ParseChatRequest(exchange.request.body);
  if (!chat) {
    co_await SendError(exchange, chat.error());
    co_return;
  }
  if (!state->active_config->models.contains(chat->model)) {
    const api_error error{404,
                          "unknown_model",
                          "the model is not configured",
                          run_outcome::kNotRun,
                          {}};
    co_await SendError(exchange, error);
    co_return;
  }
  std::optional<ticket_id> claimed_ticket;
  if (request->inbound.is_non_idempotent) {
    ticket_id id;
    if (!co_await ClaimTicket(state, exchange, *request, id))
      co_return;
    claimed_ticket = id;
  }
  co_await RunChat(state, exchange, *request, *chat, claimed_ticket);
}

asio::awaitable<void> HandleService(const router_ptr& state,
                                    http_exchange& exchange) {
  const auto request = Identify(*state, exchange.request);
  if (!request) {
    co_await SendError(exchange, request.error());
    co_return;
  }
  const service_call call = ReadServiceCall(exchange.request.target);
  if (!state->active_config->services.contains(call.name)) {
    const api_error error{404,
                          "unknown_service",
                          "the service is not configured",
                          run_outcome::kNotRun,
                          {}};
    co_await SendError(exchange, error);
    co_return;
  }
  std::optional<ticket_id> claimed_ticket;
  if (request->inbound.is_non_idempotent ||
      IsNonIdempotentPath(*state->active_config, call.name, call.path)) {
    ticket_id id;
    if (!co_await ClaimTicket(state, exchange, *request, id))
      co_return;
    claimed_ticket = id;
  }
  co_await RunService(state, exchange, *request, call, claimed_ticket);
}

// Responds with the entry VMs that the account should connect to, the TTL of
// that list, and tickets for non-idempotent requests to those VMs.
asio::awaitable<void> HandleEntry(const router_ptr& state,
                                  http_exchange& exchange) {
  const auto request = Identify(*state, exchange.request);
  if (!request) {
    co_await SendError(exchange, request.error());
    co_return;
  }
  const auto vms =
      ChooseEntryVms(state->members, request->account, state->options.zone,
                     state->options.entry_vms);
  directory_response directory;
  directory.lifetime = state->options.entry_lifetime;
  for (const member& vm : vms) {
    directory.addresses.push_back(vm.router);
    for (std::size_t i = 0; i < kTicketsPerVm; ++i)
      directory.tickets.push_back(MintTicket(*state, request->account, vm));
  }
  http_response response = state->protocol.write_directory_response(directory);
  co_await Respond(exchange, response);
}

http_response MakeHealthResponse(const router_state& state) {
  return JsonResponse(200, json::serialize(json::object{
                               {"vm", state.options.vm},
                               {"generation", state.active_config->generation},
                               {"agent", IsOpen(state.agent.link)},
                               {"draining", state.is_draining},
                               {"waiting", state.queue.waiting.size()},
                               {"targets", state.placement.targets.size()}}));
}

http_response MakeMetricsResponse(router_state& state) {
  state.stats.gauges["waxwing_generation"] =
      static_cast<double>(state.active_config->generation);
  state.stats.gauges["waxwing_waiting"] =
      static_cast<double>(state.queue.waiting.size());
  state.stats.gauges["waxwing_ledger_entries"] =
      static_cast<double>(state.ticket_ledger.entries.size());
  state.stats.gauges["waxwing_prefix_entries"] =
      static_cast<double>(SizeOf(state.placement.index));
  return {200,
          {{"Content-Type", "text/plain; version=0.0.4"}},
          PrometheusText(state.stats)};
}

asio::awaitable<void> Handle(router_ptr state, http_exchange& exchange) {
  Count(state->stats, "waxwing_requests_total");
  http_response response = ErrorResponse({404,
                                          "no_such_path",
                                          "there is nothing at this path",
                                          run_outcome::kNotRun,
                                          {}});
  switch (ClassifyNativeRequest(exchange.request)) {
    case native_request_kind::kChat:
      co_await HandleChat(state, exchange);
      co_return;
    case native_request_kind::kService:
      co_await HandleService(state, exchange);
      co_return;
    case native_request_kind::kEntry:
      co_await HandleEntry(state, exchange);
      co_return;
    case native_request_kind::kHealth:
      response = MakeHealthResponse(*state);
      break;
    case native_request_kind::kMetrics:
      response = MakeMetricsResponse(*state);
      break;
    case native_request_kind::kUnknown:
      break;
  }
  co_await Respond(exchange, response);
}

// Dispatches queued requests periodically, because no event is raised when a
// target's backoff ends.
asio::awaitable<void> RunQueueTicks(router_ptr state) {
  while (!IsStopping(state->root)) {
    co_await Pause(state->root, kQueueTickInterval);
    GrantTargets(*state);
  }
}

asio::awaitable<void> RunLedgerSweeps(router_ptr state) {
  while (!IsStopping(state->root)) {
    co_await Pause(state->root, kLedgerSweepInterval);
    Prune(state->ticket_ledger, UnixNow());
    RemoveIdleAccounts(state->usage, std::chrono::steady_clock::now());
  }
}

target_view MakeTargetView(const target_config& target,
                           std::string_view own_zone) {
  target_view view;
  view.name = target.name;
  view.name_hash = Hash64(target.name);
  view.serves = target.serves;
  view.version = target.version;
  view.zone = target.zone;
  view.address = target.address;
  view.is_in_service = !target.leaving;
  if (target.zone != own_zone)
    view.added_cost = milliseconds(1);
  return view;
}

// Adds or updates the view of one target. Views are never removed or reordered,
// because the prefix index refers to them by position.
void InstallTarget(router_state& state, const target_config& target) {
  for (target_view& view : state.placement.targets) {
    if (view.name != target.name)
      continue;
    if (view.address != target.address || view.serves != target.serves) {
      const std::uint32_t epoch = view.epoch;
      const int in_flight = view.own_in_flight;
      view = MakeTargetView(target, state.options.zone);
      view.epoch = epoch + 1;
      view.own_in_flight = in_flight;
    }
    if (target.leaving)
      view.is_in_service = false;
    return;
  }
  state.placement.targets.push_back(MakeTargetView(target, state.options.zone));
}

void InstallAccounts(router_state& state) {
  const instant now = std::chrono::steady_clock::now();
  std::size_t alive_vms = 0;
  for (const auto& [vm, record] : state.members.members)
    alive_vms += record.data.status == member_status::kAlive;
  // The limits are divided evenly among the entry VMs that an account uses.
  const double vms_per_account = static_cast<double>(
      std::clamp<std::size_t>(alive_vms, 1, state.options.entry_vms));
  state.account_by_key.clear();
  for (const auto& [name, account] : state.active_config->accounts) {
    state.account_by_key[account.key] = name;
    const double rate =
        static_cast<double>(account.tokens_per_second) / vms_per_account;
    const double burst =
        static_cast<double>(account.burst_tokens) / vms_per_account;
    const auto found = state.account_buckets.find(name);
    if (found == state.account_buckets.end())
      state.account_buckets[name] = MakeTokenBucket(rate, burst, now);
    else
      SetLimit(found->second, rate, burst, now);
  }
  std::erase_if(state.account_buckets, [&](const auto& bucket) {
    return !state.active_config->accounts.contains(bucket.first);
  });
}

router_ptr MakeState(asio::any_io_executor executor,
                     const router_options& options) {
  auto state = std::make_shared<router_state>();
  state->executor = executor;
  state->options = options;
  state->protocol = MakeNativeAdapter();
  state->started = std::chrono::steady_clock::now();
  state->root = MakeSupervisor(executor, "router", {});
  supervisor_limits redial_limits;
  redial_limits.longest_backoff = kMaxRedialBackoff;
  state->agent_root = MakeSupervisor(executor, "agent_client", redial_limits);
  state->pool = MakeHttpPool(executor, {});
  state->placement.policy = options.policy;
  state->process_incarnation = RandomId();
  // Without an agent the ledger is lost when the process ends, so tickets are
  // bound to the process.
  if (!options.agent)
    state->vm_incarnation = state->process_incarnation;
  state->random.seed(options.seed != 0 ? options.seed : RandomId());
  state->members.self = options.vm;
  return state;
}

}  // namespace

void InstallConfig(router_state& state, config new_config) {
  if (new_config.generation <= state.active_config->generation)
    return;
  state.active_config = std::make_shared<const config>(std::move(new_config));
  for (target_view& view : state.placement.targets) {
    if (!state.active_config->targets.contains(view.name))
      view.is_in_service = false;
  }
  for (const auto& [name, target] : state.active_config->targets)
    InstallTarget(state, target);
  InstallAccounts(state);
  GrantTargets(state);
  LogInfo("config_in_force",
          {{"generation", state.active_config->generation},
           {"targets", state.active_config->targets.size()},
           {"accounts", state.active_config->accounts.size()}});
}

bool TryTakeRetry(router_state& state, const std::string& account) {
  const bool allowed = SpendRetry(state.retry_budgets[account]);
  if (!allowed)
    Count(state.stats, "waxwing_retries_refused_total");
  return allowed;
}

tl::expected<router, std::string> StartRouter(asio::any_io_executor executor,
                                              const router_options& options) {
  router_ptr state = MakeState(executor, options);
  auto server =
      StartHttpServer(executor, options.address, options.limits,
                      [weak = std::weak_ptr<router_state>(state)](
                          http_exchange& exchange) -> asio::awaitable<void> {
                        if (auto locked = weak.lock())
                          co_await Handle(locked, exchange);
                      });
  if (!server)
    return tl::unexpected(server.error());
  state->server = *server;
  Supervise(state->root, "queue_ticks",
            [state] { return RunQueueTicks(state); });
  Supervise(state->root, "ledger_sweeps",
            [state] { return RunLedgerSweeps(state); });
  if (options.agent)
    Supervise(state->agent_root, "agent_client",
              [state] { return RunAgentClient(state); });
  LogInfo("router_started",
          {{"vm", options.vm}, {"address", ToText(server->address)}});
  return router{state, server->address};
}

void ApplyConfig(router& instance, config new_config) {
  InstallConfig(*instance.state, std::move(new_config));
}

asio::awaitable<bool> DrainRouter(router& instance) {
  const router_ptr state = instance.state;
  state->is_draining = true;
  LogInfo("drain_started", {{"open", ActiveExchanges(state->server)}});
  // Callers may use this VM's address until the TTL of their /v1/entry response
  // expires.
  CloseAfterResponses(state->server);
  if (state->options.agent) {
    SendAppliedGeneration(*state);
    co_await Pause(state->root, state->options.linger);
  }
  StopAccepting(state->server);
  const instant drain_deadline =
      std::chrono::steady_clock::now() + state->options.drain_limit;
  while (ActiveExchanges(state->server) > 0 &&
         std::chrono::steady_clock::now() < drain_deadline)
    co_await Pause(state->root, kDrainPollInterval);
  const std::size_t open_exchanges = ActiveExchanges(state->server);
  LogInfo("drain_ended", {{"open", open_exchanges}});
  StopRouter(instance);
  co_return open_exchanges == 0;
}

void StopRouter(router& instance) {
  StopSupervisor(instance.state->agent_root);
  StopSupervisor(instance.state->root);
  ClosePeer(instance.state->agent.link);
  CloseServer(instance.state->server);
}

}  // namespace waxwing
