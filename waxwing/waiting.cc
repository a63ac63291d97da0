// Rate limits of client accounts, and the queue of requests for targets.
//
// A target is sent no more requests than it can run concurrently. Others wait
// in the router's queue, where a request of higher priority can still overtake
// them. A request that can't be dispatched before its deadline is refused as
// soon as that is known.

#include <algorithm>
#include <boost/asio.hpp>

#include "waxwing/router_state.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);
// Maximum number of queued requests considered each time a target has capacity.
constexpr std::size_t kMaxRequestsScanned = 128;
// Maximum time to wait for a target if none is usable.
constexpr milliseconds kMaxWaitWithoutTarget{1'500};
constexpr milliseconds kMinRetryAfter{1'000};

api_error MakeRefusal(unsigned status,
                      std::string_view type,
                      std::string_view message,
                      duration retry_after) {
  return {status, std::string(type), std::string(message), run_outcome::kNotRun,
          std::max<duration>(retry_after, kMinRetryAfter)};
}

bool AnyTargetHasCapacity(const router_state& state, instant now) {
  return std::any_of(state.placement.targets.begin(),
                     state.placement.targets.end(),
                     [&](const target_view& view) {
                       return IsUsable(view, now) &&
                              (HasCapacity(view) || HasReservedCapacity(view));
                     });
}

// Returns the number of prompt tokens that the target is expected to prefill.
std::uint32_t UncachedTokens(const waiting_request& request,
                             const placement& chosen) {
  const std::uint32_t tokens = request.requirements.chain->tokens;
  return tokens - std::min(tokens, chosen.cached_tokens);
}

void Grant(router_state& state,
           waiting_request& request,
           const placement& chosen) {
  RecordDispatch(state.placement, chosen, UncachedTokens(request, chosen));
  request.is_dominant = IsDominant(state.usage, request.account);
  RecordStarted(state.usage, request.account);
  request.granted = chosen;
  request.grant_timer.cancel();
}

// Returns true if the request can't use the chosen target yet. The last slots
// of a target are reserved for accounts that are not dominant, so that a burst
// of one account can't make the others wait.
bool MustWait(const router_state& state,
              const waiting_request& request,
              const placement& chosen) {
  const target_view& view = state.placement.targets[chosen.target];
  if (!IsDominant(state.usage, request.account))
    return !chosen.has_capacity && !HasReservedCapacity(view);
  const auto routers = static_cast<int>(state.options.entry_vms);
  return !chosen.has_capacity || IsFullForDominantAccount(view, routers);
}

// Returns an error if the expected wait of a queued request exceeds its
// deadline.
std::optional<api_error> CheckExpectedWait(router_state& state,
                                           const waiting_request& request,
                                           instant deadline,
                                           instant now) {
  const auto best = Place(state.placement, request.requirements, now);
  if (!best)
    return std::nullopt;
  const target_view& view = state.placement.targets[best->target];
  const int queued = state.placement.queued_by_target[best->target];
  const duration wait = ExpectedWait(view, queued);
  if (now + wait <= deadline)
    return std::nullopt;
  return MakeRefusal(503, "would_miss_deadline",
                     "the expected wait exceeds the deadline", wait);
}

}  // namespace

tl::expected<void, api_error> TakeAccountTokens(router_state& state,
                                                const std::string& account,
                                                double work) {
  const auto found = state.account_buckets.find(account);
  if (found == state.account_buckets.end())
    return {};
  const duration wait =
      TakeTokens(found->second, work, std::chrono::steady_clock::now());
  if (wait == duration::zero())
    return {};
  Count(state.stats, "waxwing_refused_total{reason=\"account_limit\"}");
  return tl::unexpected(MakeRefusal(
      429, "account_limit", "the client account's limit is reached", wait));
}

void ReturnAccountTokens(router_state& state,
                         const std::string& account,
                         double work) {
  const auto found = state.account_buckets.find(account);
  if (found != state.account_buckets.end())
    ReturnTokens(found->second, work);
}

void GrantTargets(router_state& state) {
  const instant now = std::chrono::steady_clock::now();
  if (state.queue.waiting.empty() || !AnyTargetHasCapacity(state, now))
    return;
  state.placement.queued_by_target.assign(state.placement.targets.size(), 0);
  std::size_t scanned = 0;
  auto next = state.queue.waiting.begin();
  while (next != state.queue.waiting.end() && scanned++ < kMaxRequestsScanned) {
    const queue_position position = *next++;
    waiting_request& request = *state.queued_requests.at(position.id);
    const auto chosen = Place(state.placement, request.requirements, now);
    if (!chosen)
      continue;
    if (MustWait(state, request, *chosen)) {
      ++state.placement.queued_by_target[chosen->target];
      continue;
    }
    state.queued_requests.erase(position.id);
    Dequeue(state.queue, position);
    Grant(state, request, *chosen);
  }
}

asio::awaitable<tl::expected<granted_target, api_error>> WaitForTarget(
    const router_ptr& state,
    const admitted_request& request,
    placement_request requirements,
    double work) {
  if (state->queue.waiting.size() >= state->options.queue_limit)
    co_return tl::unexpected(
        MakeRefusal(503, "queue_full", "too many requests wait", seconds(2)));
  waiting_request queued(state->executor);
  queued.requirements = requirements;
  queued.account = request.account;
  queued.requirements.random = state->random();
  RecordArrival(state->usage, request.account,
                std::chrono::steady_clock::now());
  const std::uint64_t request_number = state->next_request_number++;
  queued.position = Enqueue(state->queue, request.account, request.priority,
                            work, request_number);
  state->queued_requests[request_number] = &queued;
  state->placement.queued_by_target.resize(state->placement.targets.size(), 0);
  GrantTargets(*state);
  const instant now = std::chrono::steady_clock::now();
  std::optional<api_error> refusal;
  bool has_target = true;
  if (!queued.granted) {
    refusal = CheckExpectedWait(*state, queued, request.deadline, now);
    has_target = Place(state->placement, queued.requirements, now).has_value();
  }
  if (!queued.granted && !refusal) {
    const instant wait_until =
        has_target ? request.deadline
                   : std::min(request.deadline, now + kMaxWaitWithoutTarget);
    queued.grant_timer.expires_at(wait_until);
    co_await queued.grant_timer.async_wait(kUseTuple);
  }
  if (queued.granted)
    co_return granted_target{*queued.granted, queued.is_dominant};
  state->queued_requests.erase(request_number);
  Cancel(state->queue, queued.position);
  if (!refusal) {
    refusal = has_target ? MakeRefusal(503, "deadline_passed",
                                       "no target had room before the deadline",
                                       seconds(1))
                         : MakeRefusal(503, "no_target",
                                       "no target serves this now", seconds(2));
  }
  Count(state->stats,
        "waxwing_refused_total{reason=\"" + refusal->type + "\"}");
  co_return tl::unexpected(*refusal);
}

}  // namespace waxwing
