// The operator API: status, intents, plans, confirmations, audit. It listens on
// its own address and requires the operator key, which callers do not have.

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "waxwing/agent_state.h"
#include "waxwing/json.h"
#include "waxwing/log.h"
#include "waxwing/plan.h"

namespace waxwing {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::string_view kPlansPath = "/v1/plans/";
constexpr milliseconds kQueryTimeout{800};
constexpr milliseconds kQueryPoll{10};
constexpr std::size_t kOperatorBodyBytes = 16 * 1024 * 1024;

http_response ErrorResponse(unsigned status,
                            std::string_view type,
                            std::string_view message) {
  return JsonResponse(
      status,
      json::serialize(json::object{
          {"error", json::object{{"type", type}, {"message", message}}}}));
}

json::array AuditArray(const std::vector<audit_entry>& entries) {
  json::array out;
  for (const audit_entry& entry : entries)
    out.push_back(json::object{{"generation", entry.generation},
                               {"plan", entry.plan},
                               {"operator", entry.operator_name},
                               {"at", entry.at},
                               {"summary", entry.summary}});
  return out;
}

http_response PlanErrorResponse(const plan_error& error) {
  unsigned status = 503;
  if (error.failure == plan_failure::kBadIntent)
    status = 400;
  else if (error.failure == plan_failure::kUnknownPlan)
    status = 404;
  else if (error.failure == plan_failure::kSuperseded)
    status = 409;
  json::object body{{"error", json::object{{"type", NameOf(error.failure)},
                                           {"message", error.message}}}};
  if (error.failure == plan_failure::kSuperseded)
    body["changes"] = AuditArray(error.changes);
  return JsonResponse(status, json::serialize(body));
}

json::array MemberArray(const agent_state& state) {
  json::array out;
  for (const auto& [vm, record] : state.members.members)
    out.push_back(json::object{{"vm", vm},
                               {"zone", record.data.zone},
                               {"status", NameOf(record.data.status)},
                               {"router", ToText(record.data.router)},
                               {"agent", ToText(record.data.agent)}});
  return out;
}

json::array TargetArray(const agent_state& state) {
  json::array out;
  for (const auto& [name, target] : state.active_config.targets) {
    json::object entry{{"target", name},
                       {"address", ToText(target.address)},
                       {"zone", target.zone},
                       {"serves", target.serves},
                       {"version", target.version},
                       {"leaving", target.leaving}};
    const auto known = state.targets.find(name);
    if (known != state.targets.end()) {
      entry["reachable"] = known->second.digest.reachable;
      entry["runs_version"] = known->second.digest.version;
      entry["in_flight"] = known->second.digest.in_flight;
      entry["slots"] = known->second.digest.slots;
    }
    out.push_back(std::move(entry));
  }
  return out;
}

http_response StatusResponse(const agent_state& state) {
  const instant now = std::chrono::steady_clock::now();
  const peer_traffic& traffic = ProcessTraffic();
  return JsonResponse(
      200, json::serialize(json::object{
               {"vm", state.options.vm},
               {"generation", state.active_root.generation},
               {"generation_in_force", OwnGeneration(state)},
               {"incarnation", std::to_string(state.incarnation)},
               {"members", MemberArray(state)},
               {"targets", TargetArray(state)},
               {"accounts", state.active_config.accounts.size()},
               {"models", state.active_config.models.size()},
               {"holds_orders", HoldsLease(state.orders_lease, now)},
               {"orders_sent", state.orders_sent},
               {"fence", state.orders_lease.record.fencing_token},
               {"platform_calls", state.platform.calls},
               {"bytes_sent", traffic.bytes_sent},
               {"bytes_received", traffic.bytes_received},
               {"frames_sent", traffic.frames_sent},
               {"frames_received", traffic.frames_received},
               {"ledger_entries", state.ledger_copy.entries.size()}}));
}

// Returns the operator's name for the audit log, from a header that waxwingctl
// sets.
std::string OperatorName(const http_exchange& exchange) {
  const std::string_view name =
      FindHeader(exchange.request.headers, "X-Operator");
  return name.empty() ? "unnamed" : std::string(name.substr(0, 64));
}

asio::awaitable<http_response> HandleIntent(agent_ptr state,
                                            http_exchange& exchange) {
  const std::string operator_name = OperatorName(exchange);
  auto plan =
      co_await CreatePlan(state->platform, state->shards, exchange.request.body,
                          operator_name, UnixNow());
  if (!plan)
    co_return PlanErrorResponse(plan.error());
  LogInfo("plan_made", {{"plan", plan->id},
                        {"operator", operator_name},
                        {"parent", plan->parent_generation}});
  json::array lines;
  for (const std::string& line : plan->description)
    lines.push_back(json::value(line));
  co_return JsonResponse(
      200, json::serialize(
               json::object{{"plan", plan->id},
                            {"parent_generation", plan->parent_generation},
                            {"lines", std::move(lines)}}));
}

asio::awaitable<http_response> HandleConfirm(agent_ptr state,
                                             http_exchange& exchange,
                                             std::string id) {
  const std::string operator_name = OperatorName(exchange);
  auto confirmed =
      co_await ConfirmPlan(state->platform, id, operator_name, UnixNow());
  if (!confirmed) {
    LogWarning("confirm_failed", {{"plan", id},
                                  {"operator", operator_name},
                                  {"why", NameOf(confirmed.error().failure)}});
    co_return PlanErrorResponse(confirmed.error());
  }
  LogInfo(
      "plan_confirmed",
      {{"plan", id}, {"operator", operator_name}, {"generation", *confirmed}});
  co_await PullFromPlatform(state);
  co_return JsonResponse(200, json::serialize(json::object{
                                  {"plan", id}, {"generation", *confirmed}}));
}

// Counts the VMs that have a generation in force and lists those that have not.
asio::awaitable<http_response> HandleInForce(agent_ptr state,
                                             std::string generation_text) {
  const std::uint64_t generation =
      generation_text.empty()
          ? state->active_root.generation
          : std::strtoull(generation_text.c_str(), nullptr, 10);
  const auto generations = co_await QueryInForce(state);
  json::array missing;
  std::size_t in_force = 0;
  std::size_t total = 0;
  for (const auto& [vm, record] : state->members.members) {
    if (!IsPresent(record.data))
      continue;
    ++total;
    const auto response = generations.find(vm);
    if (response != generations.end() && response->second >= generation)
      ++in_force;
    else
      missing.push_back(json::value(vm));
  }
  co_return JsonResponse(
      200, json::serialize(json::object{{"generation", generation},
                                        {"in_force", in_force},
                                        {"of", total},
                                        {"missing", std::move(missing)}}));
}

asio::awaitable<void> Handle(agent_ptr state, http_exchange& exchange) {
  const std::string target = exchange.request.target;
  const std::string_view path = PathOf(target);
  const bool is_post = exchange.request.method == "POST";
  http_response response =
      ErrorResponse(404, "no_such_path", "there is nothing at this path");
  const std::string expected_authorization =
      "Bearer " + state->options.operator_key;
  if (FindHeader(exchange.request.headers, "Authorization") !=
      expected_authorization) {
    response =
        ErrorResponse(401, "not_an_operator", "the operators' key is wrong");
  } else if (path == "/v1/status") {
    response = StatusResponse(*state);
  } else if (path == "/v1/audit") {
    response = JsonResponse(
        200, json::serialize(json::object{
                 {"audit", AuditArray(state->active_root.audit)}}));
  } else if (path == "/v1/in-force") {
    response = co_await HandleInForce(
        state, std::string(QueryValue(target, "generation")));
  } else if (is_post && path == "/v1/intents") {
    response = co_await HandleIntent(state, exchange);
  } else if (is_post && path.starts_with(kPlansPath) &&
             path.ends_with("/confirm")) {
    std::string_view id = path.substr(kPlansPath.size());
    id.remove_suffix(std::string_view("/confirm").size());
    response = co_await HandleConfirm(state, exchange, std::string(id));
  }
  co_await Respond(exchange, response);
}

}  // namespace

tl::expected<void, std::string> StartOperatorApi(const agent_ptr& state) {
  http_limits limits;
  limits.max_connections = 64;
  limits.max_body_bytes = kOperatorBodyBytes;
  auto server =
      StartHttpServer(state->executor, state->options.operator_address, limits,
                      [weak = std::weak_ptr<agent_state>(state)](
                          http_exchange& exchange) -> asio::awaitable<void> {
                        if (auto locked = weak.lock())
                          co_await Handle(locked, exchange);
                      });
  if (!server)
    return tl::unexpected(server.error());
  state->operator_server = *server;
  return {};
}

asio::awaitable<std::map<std::string, std::uint64_t>> QueryInForce(
    agent_ptr state) {
  pending_in_force_query pending;
  const std::uint64_t number = state->next_query_number++;
  state->pending_queries[number] = &pending;
  pending.generations[state->options.vm] = OwnGeneration(*state);
  std::size_t expected_responses = 1;
  for (const auto& [vm, record] : state->members.members) {
    if (vm == state->options.vm || !IsPresent(record.data))
      continue;
    ++expected_responses;
    asio::co_spawn(
        state->executor,
        [](agent_ptr s, std::string name,
           std::uint64_t n) -> asio::awaitable<void> {
          const auto link = co_await EnsureLink(s, name);
          wire::in_force_queryT query;
          query.number = n;
          if (link)
            SendMessage(*link, query);
        }(state, vm, number),
        asio::detached);
  }
  const instant deadline = std::chrono::steady_clock::now() + kQueryTimeout;
  while (pending.generations.size() < expected_responses &&
         std::chrono::steady_clock::now() < deadline)
    co_await Pause(state->root, kQueryPoll);
  state->pending_queries.erase(number);
  co_return std::move(pending.generations);
}

}  // namespace waxwing
