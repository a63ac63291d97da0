#include "waxwing/pacing.h"

#include <algorithm>
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

// Weight of one request in the mean tokens, which average over about fifty.
constexpr double kMeanTokensSmoothing = 0.02;
// Mean-sized requests that a VM may always have outstanding. With many VMs that
// have one or two requests each on average, peaks at one VM exceed this number
// now and then.
constexpr double kMinOutstandingRequests = 4;

}  // namespace

double MinWindowSize(double share, double mean_tokens) {
  return std::max(share, kMinOutstandingRequests * mean_tokens);
}

bool HasCapacity(const prefill_window& window, double tokens) {
  return window.outstanding <= 0 || window.outstanding + tokens <= window.size;
}

void RecordPrefillSent(prefill_window& window, double tokens) {
  window.mean_tokens =
      window.mean_tokens > 0
          ? window.mean_tokens +
                kMeanTokensSmoothing * (tokens - window.mean_tokens)
          : tokens;
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

auto DispatchOrder(const prefill_window& window,
                   const queued_request& request,
                   instant now) {
  const bool is_late =
      now + window.time_to_first_byte > request.objective_deadline;
  return std::tuple(is_late, request.objective_deadline, request.priority,
                    request.arrived);
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
  return std::chrono::duration_cast<duration>(window.time_to_first_byte *
                                              tokens / window.size);
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
  std::vector<std::size_t> out;
  double tokens_ahead = 0;
  for (const std::size_t i : order) {
    if (IsPastDispatchDeadline(
            waiting[i], now + EstimateDispatchDelay(window, tokens_ahead)))
      out.push_back(i);
    else
      tokens_ahead += waiting[i].tokens;
  }
  return out;
}

}  // namespace waxwing
