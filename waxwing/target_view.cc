#include "waxwing/target_view.h"

#include <algorithm>
#include <cmath>

namespace waxwing {
namespace {

// Weight of one statement in the average of a target's slowdown.
constexpr double kSlowdownSmoothing = 0.15;
// Time after which a stated slowdown tells little of the present one.
constexpr milliseconds kSlowdownMemory{300};

constexpr duration kMinEvictionHorizon = milliseconds(200);
constexpr duration kMaxEvictionHorizon = seconds(600);
constexpr duration kMinBackoff = milliseconds(250);
constexpr int kMaxBackoffDoublings = 4;
// A single failure may be caused by the request itself.
constexpr int kFailuresBeforeHalfOpen = 2;
constexpr double kHorizonShrink = 0.8;
constexpr double kHorizonGrowth = 1.25;
constexpr double kServiceTimeSmoothing = 0.1;
constexpr double kErrorSmoothing = 0.1;
// Error rate that is attributed to the requests and not to the target.
constexpr double kExpectedErrorRate = 0.1;
// Penalty per unit of error rate above the expected one: roughly the cost of a
// target that fails all of its requests.
constexpr milliseconds kFullErrorPenalty{1'000};
constexpr duration kMinProbeDelay = milliseconds(500);
constexpr double kSendIntervalSmoothing = 0.1;
// Longer times between two requests count as this long.
constexpr duration kMaxSendInterval = seconds(4);

}  // namespace

const served_model* FindServedModel(const target_view& view,
                                    std::string_view requested) {
  if (requested.empty() && view.models.size() == 1)
    return &view.models.front();
  const auto found = std::find_if(
      view.models.begin(), view.models.end(),
      [&](const served_model& served) { return served.name == requested; });
  return found == view.models.end() ? nullptr : &*found;
}

bool MayRunModel(const target_view& view,
                 std::string_view requested,
                 bool depends_on_weights) {
  if (view.models.empty())
    return true;
  if (const served_model* served = FindServedModel(view, requested))
    return !served->has_outdated_weights;
  return !depends_on_weights &&
         std::none_of(view.models.begin(), view.models.end(),
                      [](const served_model& served) {
                        return served.has_outdated_weights;
                      });
}

std::string_view WeightsVersion(const target_view& view,
                                std::string_view requested) {
  const served_model* served = FindServedModel(view, requested);
  return served ? served->version : view.version;
}

bool IsLoadPending(const target_view& view, std::string_view requested) {
  if (const served_model* served = FindServedModel(view, requested))
    return served->is_load_pending;
  return std::any_of(
      view.models.begin(), view.models.end(),
      [](const served_model& served) { return served.is_load_pending; });
}

duration ModelCost(const target_view& view, std::string_view requested) {
  if (const served_model* served = FindServedModel(view, requested))
    return served->added_cost;
  duration out{};
  for (const served_model& served : view.models)
    out = std::max(out, served.added_cost);
  return out;
}

bool ApplyIdentity(target_view& view,
                   std::uint64_t boot_id,
                   const std::string& version) {
  if (view.boot_id == boot_id && view.version == version)
    return false;
  const bool is_first = view.boot_id == 0 && view.version == version;
  view.boot_id = boot_id;
  view.version = version;
  if (is_first)
    return false;
  ++view.epoch;
  return true;
}

bool ApplyReport(target_view& view, const target_report& report) {
  const bool epoch_changed =
      ApplyIdentity(view, report.boot_id, report.version);
  view.slots = std::max(1, report.slots);
  view.others_in_flight = std::max(0, report.in_flight - view.own_in_flight);
  if (report.prefill_tokens_per_second > 0)
    view.prefill_tokens_per_second = report.prefill_tokens_per_second;
  // A target that is leaving does not return to service in the same boot.
  if (report.leaving)
    view.is_in_service = false;
  return epoch_changed;
}

void UpdateEvictionHorizon(target_view& view, duration age, bool was_cached) {
  if (was_cached) {
    if (age * kHorizonGrowth > view.eviction_horizon)
      view.eviction_horizon =
          std::chrono::duration_cast<duration>(age * kHorizonGrowth);
  } else if (age < view.eviction_horizon) {
    view.eviction_horizon =
        std::chrono::duration_cast<duration>(age * kHorizonShrink);
  }
  view.eviction_horizon = std::clamp(view.eviction_horizon, kMinEvictionHorizon,
                                     kMaxEvictionHorizon);
}

void RecordResponse(target_view& view,
                    bool is_error,
                    instant sent,
                    instant now) {
  view.error_rate = view.error_rate * (1 - kErrorSmoothing) +
                    (is_error ? kErrorSmoothing : 0);
  if (view.error_rate <= kExpectedErrorRate) {
    view.probe_delay = {};
    view.probe_successes = 0;
    return;
  }
  view.probe_successes = is_error ? 0 : view.probe_successes + 1;
  // A request that was sent before the probe was due is not a probe.
  if (!is_error || sent < view.next_probe)
    return;
  view.probe_delay = std::clamp(
      view.probe_delay * 2, std::max(kMinProbeDelay, view.mean_send_interval),
      std::max<duration>(kMaxProbeDelay,
                         view.mean_send_interval * kMaxSkippedSends));
  view.next_probe = now + view.probe_delay;
}

duration ErrorPenalty(const target_view& view, instant now) {
  const double excess = std::max(0.0, view.error_rate - kExpectedErrorRate);
  const bool may_get_probe =
      now >= view.next_probe && view.awaiting_response <= view.probe_successes;
  return may_get_probe
             ? duration::zero()
             : std::chrono::duration_cast<duration>(kFullErrorPenalty * excess);
}

void RecordPause(target_view& view, duration pause, instant now) {
  view.paused_until = std::max(view.paused_until, now + pause);
}

bool IsPaused(const target_view& view, instant now) {
  return now < view.paused_until;
}

namespace {

// Returns the time until the first of the times that `end` returns for the
// targets in service of `service`, or std::nullopt if one has passed.
template <typename End>
std::optional<duration> ShortestUntil(std::span<const target_view> targets,
                                      std::string_view service,
                                      instant now,
                                      const End& end) {
  std::optional<duration> shortest;
  for (const target_view& view : targets) {
    if (!view.is_in_service || view.serves != service)
      continue;
    const duration left = end(view) - now;
    if (left <= duration::zero())
      return std::nullopt;
    shortest = std::min(shortest.value_or(left), left);
  }
  return shortest;
}

}  // namespace

std::optional<duration> ShortestPause(std::span<const target_view> targets,
                                      std::string_view service,
                                      instant now) {
  return ShortestUntil(targets, service, now, [](const target_view& view) {
    return view.paused_until;
  });
}

std::optional<duration> ShortestSendDelay(std::span<const target_view> targets,
                                          std::string_view service,
                                          instant now) {
  return ShortestUntil(targets, service, now, [](const target_view& view) {
    return std::max(view.paused_until, view.no_permit_until);
  });
}

bool IsUsableIgnoringBackoff(const target_view& view, instant now) {
  return view.is_in_service && !view.has_outdated_weights &&
         !IsPaused(view, now) && now >= view.no_permit_until;
}

void ClearFailures(target_view& view) {
  view.consecutive_failures = 0;
  view.backoff_until = {};
}

void RecordFailure(target_view& view, instant sent, instant now) {
  if (sent < view.last_failure)
    return;
  view.last_failure = now;
  const int doublings =
      std::min(view.consecutive_failures, kMaxBackoffDoublings);
  view.backoff_until = now + kMinBackoff * (1 << doublings);
  ++view.consecutive_failures;
}

void RecordSuccess(target_view& view, duration service_time) {
  view.consecutive_failures = 0;
  view.mean_service_time = std::chrono::duration_cast<duration>(
      view.mean_service_time * (1 - kServiceTimeSmoothing) +
      service_time * kServiceTimeSmoothing);
}

namespace {

void UpdateSendInterval(target_view& view, duration interval) {
  interval = std::min(interval, kMaxSendInterval);
  if (view.mean_send_interval == duration::zero())
    view.mean_send_interval = interval;
  view.mean_send_interval = std::chrono::duration_cast<duration>(
      view.mean_send_interval * (1 - kSendIntervalSmoothing) +
      interval * kSendIntervalSmoothing);
}

}  // namespace

void RecordSent(target_view& view, instant now) {
  if (view.awaiting_response++ == 0)
    view.no_data_since = now;
  if (view.error_rate <= kExpectedErrorRate && view.last_sent != instant{})
    UpdateSendInterval(view, now - view.last_sent);
  view.last_sent = now;
}

void RecordContact(target_view& view, instant now) {
  view.awaiting_response = std::max(0, view.awaiting_response - 1);
  view.no_data_since = now;
}

void RecordUnanswered(target_view& view) {
  view.awaiting_response = std::max(0, view.awaiting_response - 1);
}

bool IsUnresponsive(const target_view& view, instant now) {
  return view.awaiting_response > 0 &&
         now - view.no_data_since > kUnresponsiveAfter;
}

void RecordLoad(target_view& view, const target_load_report& report) {
  const double known_slowdown = view.last_report.slowdown;
  view.last_report = report;
  view.others_in_flight = std::max(
      0, report.in_flight - view.own_in_flight - view.zone_work.in_flight);
  view.others_waiting = std::max(
      0, report.waiting - view.awaiting_response - view.zone_work.waiting);
  if (report.slowdown <= 0) {
    view.last_report.slowdown = known_slowdown;
    return;
  }
  if (view.mean_slowdown <= 0)
    view.mean_slowdown = report.slowdown;
  view.mean_slowdown +=
      kSlowdownSmoothing * (report.slowdown - view.mean_slowdown);
}

double SlowdownFactor(const target_view& view, instant now) {
  if (view.mean_slowdown <= 0)
    return 1;
  const double weight = std::exp(-ToSeconds(now - view.last_report.time) /
                                 ToSeconds(kSlowdownMemory));
  return view.mean_slowdown *
         std::pow(view.last_report.slowdown / view.mean_slowdown, weight);
}

int InFlight(const target_view& view) {
  return view.own_in_flight + view.zone_work.in_flight + view.others_in_flight;
}

bool IsUsable(const target_view& view, instant now) {
  if (!IsUsableIgnoringBackoff(view, now) || now < view.backoff_until)
    return false;
  const bool is_half_open =
      view.consecutive_failures >= kFailuresBeforeHalfOpen;
  return !is_half_open || view.own_in_flight == 0;
}

bool HasCapacity(const target_view& view) {
  const int extra_requests = view.slots / kSlotsPerExtraRequest;
  return view.own_in_flight <
         std::max(1, view.slots + extra_requests - view.others_in_flight);
}

bool IsFullForDominantAccount(const target_view& view, int routers) {
  const int reserved_slots = std::max(1, view.slots / kSlotsPerReservedSlot);
  const int unreserved_slots = view.slots - reserved_slots;
  return InFlight(view) >= unreserved_slots ||
         (view.own_in_flight > 0 &&
          (view.own_in_flight + 1) * routers > unreserved_slots);
}

bool HasReservedCapacity(const target_view& view) {
  return view.own_in_flight < std::max(1, view.slots / kSlotsPerRouterShare);
}

duration ExpectedWait(const target_view& view, int queued) {
  const double prefill_wait =
      view.own_prefill_backlog / view.prefill_tokens_per_second;
  const int excess_requests = InFlight(view) - view.slots + 1 + queued;
  const double slot_wait =
      excess_requests > 0
          ? ToSeconds(view.mean_service_time) * excess_requests / view.slots
          : 0;
  return FromSeconds(prefill_wait + slot_wait);
}

}  // namespace waxwing
