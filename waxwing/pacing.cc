#include "waxwing/pacing.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

namespace waxwing {
namespace {

constexpr double kMaxWindowSize = 400'000;
// Shares of the objective: the window shrinks if the time to first byte is
// above the first, and grows if it is below the second.
constexpr double kShrinkAbove = 0.8;
constexpr double kGrowBelow = 0.5;
constexpr double kShrinkFactor = 0.85;
// Share of a request's tokens by which the window grows if its time to first
// byte is below kGrowBelow.
constexpr double kGrowthShare = 0.1;
constexpr double kFirstByteSmoothing = 0.1;
// Requests already outstanding do not show the effect of a change yet.
constexpr milliseconds kMinShrinkInterval{150};

// A request counts as late if less than this share of the usual time to the
// first byte is left: some responses begin much earlier than usual.
constexpr double kLateShare = 0.5;
// Time over which the arrival rate is averaged.
constexpr milliseconds kArrivalSmoothing{500};
// The minimum windows of all VMs together, as the share of the objective in
// which the engines prefill them.
constexpr double kMinObjectiveShare = 0.5;
// Assumed until a request has been sent.
constexpr milliseconds kDefaultObjective{400};
// Weight of one request in the mean tokens, which average over about fifty.
constexpr double kMeanTokensSmoothing = 0.02;
// Mean-sized requests that a VM may always have outstanding. With many VMs that
// have one or two requests each on average, peaks at one VM exceed this number
// now and then.
constexpr double kMinOutstandingRequests = 4;

double ArrivalRate(const prefill_window& window, instant now) {
  return window.arriving_tokens_per_second *
         std::exp(-ToSeconds(now - window.last_arrival) /
                  ToSeconds(kArrivalSmoothing));
}

}  // namespace

double MinWindowSize(const prefill_window& window,
                     double tokens_per_second,
                     std::size_t vms) {
  const double objective = window.mean_tokens > 0
                               ? window.mean_token_seconds / window.mean_tokens
                               : ToSeconds(kDefaultObjective);
  const double share = tokens_per_second * objective * kMinObjectiveShare /
                       static_cast<double>(vms);
  return std::max(share, kMinOutstandingRequests * window.mean_tokens);
}

void RecordArrival(prefill_window& window, double tokens, instant now) {
  window.arriving_tokens_per_second =
      ArrivalRate(window, now) + tokens / ToSeconds(kArrivalSmoothing);
  window.last_arrival = now;
}

bool HasCapacity(const prefill_window& window, double tokens) {
  return window.outstanding <= 0 || window.outstanding + tokens <= window.size;
}

void RecordPrefillSent(prefill_window& window,
                       double tokens,
                       duration objective) {
  const auto average = [&](double& mean, double value) {
    mean += window.mean_tokens > 0 ? kMeanTokensSmoothing * (value - mean)
                                   : value - mean;
  };
  average(window.mean_token_seconds, tokens * ToSeconds(objective));
  average(window.mean_tokens, tokens);
  window.outstanding += tokens;
}

void RecordFirstByte(prefill_window& window,
                     double tokens,
                     duration elapsed,
                     duration objective,
                     instant now) {
  RecordPrefillEnded(window, tokens);
  window.time_to_first_byte = std::chrono::duration_cast<duration>(
      window.time_to_first_byte * (1 - kFirstByteSmoothing) +
      elapsed * kFirstByteSmoothing);
  if (elapsed > objective * kShrinkAbove &&
      now >= window.last_shrunk + kMinShrinkInterval) {
    window.size = std::max(window.min_size, window.size * kShrinkFactor);
    window.last_shrunk = now;
  } else if (elapsed < objective * kGrowBelow) {
    window.size = std::min(kMaxWindowSize, window.size + tokens * kGrowthShare);
  }
}

void RecordPrefillEnded(prefill_window& window, double tokens) {
  window.outstanding = std::max(0.0, window.outstanding - tokens);
}

namespace {

bool IsLate(const prefill_window& window,
            const queued_request& request,
            instant now) {
  return now + window.time_to_first_byte * kLateShare >
         request.objective_deadline;
}

// Lower values are dispatched first.
auto DispatchOrder(const prefill_window& window,
                   const queued_request& request,
                   instant now) {
  const bool is_late = IsLate(window, request, now);
  const duration age_rank =
      is_late ? duration{} : duration{} - request.arrived.time_since_epoch();
  const std::int64_t rank = window.ranks_by_priority ? request.priority : 0;
  return std::tuple(!request.is_continuation, is_late, rank, age_rank,
                    request.objective_deadline, request.priority,
                    request.arrived);
}

// Tokens that the engines prefill for this VM per second.
double DispatchRate(const prefill_window& window) {
  return window.size / ToSeconds(window.time_to_first_byte);
}

}  // namespace

std::optional<std::size_t> PickNextRequest(
    const prefill_window& window,
    std::span<const queued_request> waiting,
    instant now) {
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < waiting.size(); ++i) {
    if (!best || DispatchOrder(window, waiting[i], now) <
                     DispatchOrder(window, waiting[*best], now))
      best = i;
  }
  return best;
}

bool IsPastDispatchDeadline(const queued_request& request, instant now) {
  return now >= request.dispatch_deadline;
}

duration EstimateDispatchDelay(const prefill_window& window, double tokens) {
  if (window.size <= 0)
    return {};
  return FromSeconds(tokens / DispatchRate(window));
}

std::vector<std::size_t> FindUndispatchable(
    const prefill_window& window,
    std::span<const queued_request> waiting,
    instant now) {
  std::vector<std::size_t> order(waiting.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return DispatchOrder(window, waiting[a], now) <
           DispatchOrder(window, waiting[b], now);
  });
  const double arriving = ArrivalRate(window, now);
  std::vector<std::size_t> out;
  double tokens_ahead = 0;
  for (const std::size_t i : order) {
    const bool is_behind =
        !waiting[i].is_continuation && IsLate(window, waiting[i], now);
    const double rate = DispatchRate(window) - (is_behind ? arriving : 0);
    const bool is_hopeless =
        rate <= 0 || IsPastDispatchDeadline(
                         waiting[i], now + FromSeconds(tokens_ahead / rate));
    if (is_hopeless)
      out.push_back(i);
    else
      tokens_ahead += waiting[i].tokens;
  }
  return out;
}

}  // namespace waxwing
