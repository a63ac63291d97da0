// Limits of accounts: charges each request to its account at the account's
// limiter, and keeps the buckets of the accounts whose limiter this VM is
// (account_limits.h).

#include <boost/asio.hpp>

#include "waxwing/agent_state.h"
#include "waxwing/entry_run.h"
#include "waxwing/log.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

// Time for the response of a limiter.
constexpr milliseconds kChargeTimeout{80};
// A VM that has not responded is not asked again for this long.
constexpr milliseconds kSilencePause{400};
// Accounts that have counters of their own.
constexpr std::size_t kMaxCountedAccounts = 64;
constexpr std::string_view kOverLimit = "account_limit";
constexpr std::string_view kNoLimiter = "limiter_starting";

const membership& Members(const entry_state& state) {
  return state.membership_agent.state->members;
}

bool HasStarted(const entry_state& state) {
  return state.options.is_first_start ||
         SuspendAwareNow() >= state.started + kLimiterStartDelay;
}

charge_decision ChargeHere(entry_state& state,
                           charge_role role,
                           const std::string& account,
                           const account_limit& limit,
                           double amount) {
  return Charge(state.charges.buckets[role][account], limit,
                ShareOfLimit(Members(state), role), amount,
                std::chrono::steady_clock::now());
}

asio::awaitable<void> DialAndSend(entry_ptr state,
                                  std::string vm,
                                  wire::charge_requestT request) {
  const auto link = co_await EnsureLink(state->membership_agent.state, vm);
  if (link)
    SendMessage(*link, request);
}

// Asks another VM to charge a request. Returns std::nullopt if it does not
// decide.
asio::awaitable<std::optional<charge_decision>>
AskLimiter(entry_ptr state, std::string vm, wire::charge_requestT request) {
  account_charges& charges = state->charges;
  const instant now = std::chrono::steady_clock::now();
  if (now < charges.silent_until[vm])
    co_return std::nullopt;
  charge_waiter waiter(state->executor);
  request.number = charges.next_number++;
  charges.waiters[request.number] = &waiter;
  const auto& links = state->membership_agent.state->links;
  const auto link = links.find(vm);
  if (link != links.end() && IsOpen(link->second.connection))
    SendMessage(link->second.connection, request);
  else
    asio::co_spawn(state->executor, DialAndSend(state, vm, request),
                   asio::detached);
  waiter.wakeup.expires_after(kChargeTimeout);
  co_await waiter.wakeup.async_wait(asio::as_tuple(asio::use_awaitable));
  charges.waiters.erase(request.number);
  if (!waiter.decision) {
    charges.silent_until[vm] = std::chrono::steady_clock::now() + kSilencePause;
    LogInfo("limiter_silent", {{"vm", vm}, {"account", request.account}});
  }
  co_return waiter.decision;
}

// Charges a request at the account's limiter, its substitute, or alone, and
// notes in `charge` where that was. Returns std::nullopt if this VM has just
// started and reaches no other.
asio::awaitable<std::optional<charge_decision>> ChargeAnywhere(
    forward_run& run,
    account_charge& charge) {
  entry_state& state = *run.state;
  const account_limit& limit = *run.account.limit;
  wire::charge_requestT request;
  request.account = run.account.name;
  request.amount = charge.amount;
  request.config_version = run.table->version;
  request.per_second = limit.per_second;
  request.burst = limit.burst;
  charge.vm = ChooseLimiter(Members(state), run.account.name);
  for (const charge_role role :
       {charge_role::kLimiter, charge_role::kSubstitute}) {
    charge.role = role;
    if (charge.vm == state.options.vm && HasStarted(state))
      co_return ChargeHere(state, role, run.account.name, limit, charge.amount);
    if (charge.vm.empty() || charge.vm == state.options.vm)
      break;
    request.is_substitute = role == charge_role::kSubstitute;
    const auto decision = co_await AskLimiter(run.state, charge.vm, request);
    if (decision)
      co_return decision;
    charge.vm = ChooseLimiter(Members(state), run.account.name, charge.vm);
  }
  charge.vm = state.options.vm;
  charge.role = charge_role::kAlone;
  if (!HasStarted(state))
    co_return std::nullopt;
  co_return ChargeHere(state, charge.role, run.account.name, limit,
                       charge.amount);
}

void CountCharge(entry_state& state,
                 const account_charge& charge,
                 std::string_view account,
                 std::string_view result) {
  const auto amount = static_cast<std::uint64_t>(charge.amount);
  const bool is_counted =
      state.table->limits_by_account.size() <= kMaxCountedAccounts;
  const std::string label =
      is_counted ? "account=\"" + std::string(account) + "\"," : std::string();
  Count(state.stats,
        "waxwing_account_charges_total{" + label + "result=\"" +
            std::string(result) + "\"}",
        amount);
}

}  // namespace

asio::awaitable<std::optional<charge_refusal>> ChargeAccount(forward_run& run) {
  if (!run.account.limit || run.forwarded)
    co_return std::nullopt;
  entry_state& state = *run.state;
  account_charge charge;
  charge.amount = ChargeOf(*run.account.limit, run.request.prompt_tokens,
                           run.request.output_tokens);
  const auto decision = co_await ChargeAnywhere(run, charge);
  if (!decision)
    co_return charge_refusal{503, kNoLimiter, kLimiterStartDelay};
  if (decision->wait) {
    CountCharge(state, charge, run.account.name, "refused");
    co_return charge_refusal{429, kOverLimit, *decision->wait};
  }
  CountCharge(state, charge, run.account.name, "admitted");
  run.charge = std::move(charge);
  co_return std::nullopt;
}

void RefundCharge(forward_run& run) {
  if (!run.charge)
    return;
  entry_state& state = *run.state;
  const account_charge charge = *std::exchange(run.charge, std::nullopt);
  CountCharge(state, charge, run.account.name, "returned");
  if (charge.vm == state.options.vm) {
    Refund(state.charges.buckets[charge.role][run.account.name],
           *run.account.limit, ShareOfLimit(Members(state), charge.role),
           charge.amount);
    return;
  }
  const auto& links = state.membership_agent.state->links;
  const auto link = links.find(charge.vm);
  if (link == links.end() || !IsOpen(link->second.connection))
    return;
  wire::charge_refundT refund;
  refund.account = run.account.name;
  refund.amount = charge.amount;
  refund.is_substitute = charge.role == charge_role::kSubstitute;
  SendMessage(link->second.connection, refund);
}

void UpdateAccountLimits(entry_state& state) {
  const auto& limits = state.table->limits_by_account;
  for (auto& [role, buckets] : state.charges.buckets)
    std::erase_if(buckets, [&](const auto& entry) {
      return !limits.contains(entry.first);
    });
}

void HandleChargeRequest(entry_state& state,
                         const peer_link& link,
                         const wire::charge_requestT& request) {
  wire::charge_responseT response;
  response.number = request.number;
  const charge_role role =
      request.is_substitute ? charge_role::kSubstitute : charge_role::kLimiter;
  const bool is_limiter =
      request.is_substitute ||
      ChooseLimiter(Members(state), request.account) == state.options.vm;
  if (is_limiter && HasStarted(state) && request.amount >= 0 &&
      request.per_second >= 0 && request.burst >= 0) {
    account_limit limit{request.per_second, request.burst};
    const auto known = state.table->limits_by_account.find(request.account);
    if (state.table->version >= request.config_version &&
        known != state.table->limits_by_account.end())
      limit = known->second;
    const charge_decision decision =
        ChargeHere(state, role, request.account, limit, request.amount);
    response.is_decided = true;
    if (decision.wait)
      response.wait_ms = static_cast<std::int32_t>(
          std::chrono::ceil<milliseconds>(*decision.wait).count());
  }
  SendMessage(link, response);
}

void HandleChargeResponse(entry_state& state,
                          const wire::charge_responseT& response) {
  const auto found = state.charges.waiters.find(response.number);
  if (found == state.charges.waiters.end())
    return;
  charge_waiter& waiter = *found->second;
  if (response.is_decided) {
    waiter.decision.emplace();
    if (response.wait_ms >= 0)
      waiter.decision->wait = milliseconds(response.wait_ms);
  }
  waiter.wakeup.cancel();
}

void HandleChargeRefund(entry_state& state,
                        const wire::charge_refundT& refund) {
  const charge_role role =
      refund.is_substitute ? charge_role::kSubstitute : charge_role::kLimiter;
  const auto limit = state.table->limits_by_account.find(refund.account);
  const auto bucket = state.charges.buckets[role].find(refund.account);
  if (limit == state.table->limits_by_account.end() ||
      bucket == state.charges.buckets[role].end() || refund.amount < 0)
    return;
  Refund(bucket->second, limit->second, ShareOfLimit(Members(state), role),
         refund.amount);
}

}  // namespace waxwing
