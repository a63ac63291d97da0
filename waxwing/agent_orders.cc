// Orders to model engines to load a weights version, sent only by the holder of
// a lease.
//
// The holder compares the weights version that each engine runs, as reported in
// its digest, with the desired version in the configuration. It sends an engine
// that differs an order with the desired version and the lease's fencing
// number. The comparison is repeated, so an engine that ignores fencing numbers
// and obeyed a previous holder is corrected.

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "waxwing/agent_state.h"
#include "waxwing/log.h"

namespace waxwing {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::string_view kOrdersLease = "leases/orders";
constexpr milliseconds kLeasePoll{500};
// How often a candidate reads a lease held by another agent.
constexpr milliseconds kLeaseReadInterval{1'000};
constexpr std::size_t kCandidates = 2;

bool CanSendOrders(const agent_state& state) {
  const member_status own =
      state.members.members.at(state.options.vm).data.status;
  return !state.stopping && own == member_status::kAlive;
}

// Returns true if this agent is one of the kCandidates that compete for the
// lease. Their number is fixed so that calls to the platform do not grow with
// the number of VMs.
bool IsCandidate(const agent_state& state) {
  if (!CanSendOrders(state))
    return false;
  const auto best =
      ChooseEntryVms(state.members, kOrdersLease, "", kCandidates);
  for (const member& vm : best) {
    if (vm.vm == state.options.vm)
      return true;
  }
  return false;
}

asio::awaitable<void> ReadLeaseObject(agent_ptr state,
                                      std::optional<lease_put> put) {
  auto object = co_await GetObject(state->platform, kOrdersLease);
  const instant now = std::chrono::steady_clock::now();
  if (!object && object.error().failure == platform_failure::kAbsent) {
    ObserveLease(state->orders_lease, {}, 0, now, std::nullopt);
    co_return;
  }
  if (!object)
    co_return;
  if (const auto record = ReadLease(object->value))
    ObserveLease(state->orders_lease, *record, object->version, now, put);
}

// Takes or renews the lease if that is due.
asio::awaitable<void> UpdateLease(agent_ptr state) {
  lease_view& lease = state->orders_lease;
  const instant sent = std::chrono::steady_clock::now();
  const lease_action action = NextLeaseAction(lease, sent);
  if (action == lease_action::kWait) {
    if (!HoldsLease(lease, sent) &&
        sent - state->lease_read_at >= kLeaseReadInterval) {
      state->lease_read_at = sent;
      co_await ReadLeaseObject(state, std::nullopt);
    }
    co_return;
  }
  const lease_record next = NextLeaseRecord(lease, action);
  auto new_version = co_await PutObject(state->platform, kOrdersLease,
                                        WriteLease(next), lease.version);
  if (new_version) {
    ObserveLease(lease, next, *new_version, std::chrono::steady_clock::now(),
                 lease_put{next, sent});
    if (action == lease_action::kAcquire)
      LogInfo("lease_taken", {{"fence", next.fencing_token}});
    co_return;
  }
  // The write may have taken effect despite the error, so read the object back.
  // Named, since g++ 12 destroys an aggregate temporary in a co_await
  // expression twice.
  const std::optional<lease_put> put = lease_put{next, sent};
  co_await ReadLeaseObject(state, put);
}

// Returns the first target whose weights version differs from the configured
// one, or null.
const target_config* FindOutdatedTarget(const agent_state& state) {
  for (const auto& [name, target] : state.active_config.targets) {
    const auto known = state.targets.find(name);
    if (target.kind != target_kind::kModelWorker || target.leaving ||
        target.version.empty() || known == state.targets.end())
      continue;
    const auto& digest = known->second.digest;
    if (digest.reachable && !digest.version.empty() &&
        digest.version != target.version)
      return &target;
  }
  return nullptr;
}

asio::awaitable<void> SendOrder(agent_ptr state, target_config target) {
  http_request request;
  request.method = "POST";
  request.target = "/v1/orders";
  request.body = json::serialize(
      json::object{{"fence", state->orders_lease.record.fencing_token},
                   {"version", target.version}});
  const http_call_options options{kMaxOrderDuration, false};
  // There must be no suspension point between this check and the dispatch.
  if (!HoldsLease(state->orders_lease, std::chrono::steady_clock::now()))
    co_return;
  ++state->orders_sent;
  state->last_load_order = std::chrono::steady_clock::now();
  auto response = co_await Fetch(state->pool, target.address, request, options);
  const bool accepted = response && response->status == 200;
  LogInfo("order_sent", {{"target", target.name},
                         {"version", target.version},
                         {"fence", state->orders_lease.record.fencing_token},
                         {"accepted", accepted}});
  // Assume that the order was carried out until the next report.
  const auto known = state->targets.find(target.name);
  if (accepted && known != state->targets.end())
    known->second.digest.version = target.version;
}

}  // namespace

asio::awaitable<void> RunLoadOrders(agent_ptr state) {
  state->orders_lease.self = state->options.vm;
  state->orders_lease.incarnation = state->incarnation;
  while (co_await Pause(
      state->root, std::min(kLeasePoll, state->options.min_load_interval))) {
    if (!IsCandidate(*state))
      continue;
    co_await UpdateLease(state);
    const instant now = std::chrono::steady_clock::now();
    if (!HoldsLease(state->orders_lease, now) ||
        now - state->last_load_order < state->options.min_load_interval)
      continue;
    if (const target_config* target = FindOutdatedTarget(*state))
      co_await SendOrder(state, *target);
  }
}

}  // namespace waxwing
