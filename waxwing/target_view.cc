#include "waxwing/target_view.h"

#include <algorithm>

namespace waxwing {
namespace {

constexpr duration kShortestHorizon = milliseconds(200);
constexpr duration kLongestHorizon = seconds(600);
constexpr duration kShortestAvoidance = milliseconds(250);
constexpr int kMostAvoidanceDoublings = 4;
// A single failure may be the request's own.
constexpr int kFailuresBeforeTrial = 2;
constexpr double kHorizonShrink = 0.8;
constexpr double kHorizonGrowth = 1.25;
constexpr double kServiceSmoothing = 0.1;
constexpr double kErrorSmoothing = 0.1;
// A share of failures that lies in the requests, not in the target.
constexpr double kUsualErrors = 0.1;
// Cost of a target that fails all of its requests.
constexpr milliseconds kAllErrors{1'000};

}  // namespace

bool ApplyIdentity(target_view& view,
                   std::uint64_t boot_id,
                   const std::string& version) {
  if (view.boot_id == boot_id && view.version == version)
    return false;
  const bool first = view.boot_id == 0 && view.version == version;
  view.boot_id = boot_id;
  view.version = version;
  if (first)
    return false;
  ++view.epoch;
  return true;
}

bool ApplyReport(target_view& view, const target_report& report) {
  const bool rose = ApplyIdentity(view, report.boot_id, report.version);
  view.slots = std::max(1, report.slots);
  view.others_in_flight = std::max(0, report.in_flight - view.own_in_flight);
  if (report.prefill_tokens_per_second > 0)
    view.prefill_tokens_per_second = report.prefill_tokens_per_second;
  // Leaving never turns back for one boot of the target.
  if (report.leaving)
    view.usable = false;
  return rose;
}

void LearnHorizon(target_view& view, duration age, bool was_cached) {
  if (was_cached) {
    if (age * kHorizonGrowth > view.horizon)
      view.horizon = std::chrono::duration_cast<duration>(age * kHorizonGrowth);
  } else if (age < view.horizon) {
    view.horizon = std::chrono::duration_cast<duration>(age * kHorizonShrink);
  }
  view.horizon = std::clamp(view.horizon, kShortestHorizon, kLongestHorizon);
}

void NoteAnswer(target_view& view, bool is_error) {
  view.error_rate = view.error_rate * (1 - kErrorSmoothing) +
                    (is_error ? kErrorSmoothing : 0);
}

duration ErrorCost(const target_view& view) {
  const double excess = std::max(0.0, view.error_rate - kUsualErrors);
  return std::chrono::duration_cast<duration>(kAllErrors * excess);
}

bool IsLastResort(const target_view& view) {
  return view.usable && !view.has_refused_weights;
}

void ClearFailures(target_view& view) {
  view.failures_in_a_row = 0;
  view.avoid_until = {};
}

void NoteFailure(target_view& view, instant sent, instant now) {
  if (sent < view.failed_at)
    return;
  view.failed_at = now;
  const int doublings =
      std::min(view.failures_in_a_row, kMostAvoidanceDoublings);
  view.avoid_until = now + kShortestAvoidance * (1 << doublings);
  ++view.failures_in_a_row;
}

void NoteSuccess(target_view& view, duration service) {
  view.failures_in_a_row = 0;
  view.mean_service = std::chrono::duration_cast<duration>(
      view.mean_service * (1 - kServiceSmoothing) +
      service * kServiceSmoothing);
}

void NoteSent(target_view& view, instant now) {
  if (view.unanswered++ == 0)
    view.silent_since = now;
}

void NoteHeard(target_view& view, instant now) {
  view.unanswered = std::max(0, view.unanswered - 1);
  view.silent_since = now;
}

void NoteUnanswered(target_view& view) {
  view.unanswered = std::max(0, view.unanswered - 1);
}

bool IsSilent(const target_view& view, instant now) {
  return view.unanswered > 0 && now - view.silent_since > kSilenceLimit;
}

int InFlight(const target_view& view) {
  return view.own_in_flight + view.others_in_flight;
}

bool IsUsable(const target_view& view, instant now) {
  if (!view.usable || view.has_refused_weights || now < view.avoid_until)
    return false;
  const bool is_on_trial = view.failures_in_a_row >= kFailuresBeforeTrial;
  return !is_on_trial || view.own_in_flight == 0;
}

bool HasRoom(const target_view& view) {
  const int slack = view.slots / kSlotsPerSlack;
  return view.own_in_flight <
         std::max(1, view.slots + slack - view.others_in_flight);
}

bool IsNearlyFull(const target_view& view, int routers) {
  const int reserve = std::max(1, view.slots / kSlotsPerReserve);
  const int usable = view.slots - reserve;
  return InFlight(view) >= usable ||
         (view.own_in_flight > 0 &&
          (view.own_in_flight + 1) * routers > usable);
}

bool HasReservedRoom(const target_view& view) {
  return view.own_in_flight < std::max(1, view.slots / kSlotsPerRouterShare);
}

duration ExpectedWait(const target_view& view, int queued) {
  const double prefill =
      view.own_prefill_backlog / view.prefill_tokens_per_second;
  const int over = InFlight(view) - view.slots + 1 + queued;
  const double slot =
      over > 0 ? ToSeconds(view.mean_service) * over / view.slots : 0;
  return FromSeconds(prefill + slot);
}

}  // namespace waxwing
