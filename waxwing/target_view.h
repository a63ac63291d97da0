// A router's view of one target: its load, its speed, and how long it keeps
// prefixes cached.
//
// Load reports are delayed. The view therefore counts this router's own
// requests itself and takes from a report only the load of other routers.

#ifndef WAXWING_TARGET_VIEW_H_
#define WAXWING_TARGET_VIEW_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "waxwing/target_rate.h"
#include "waxwing/types.h"

namespace waxwing {

// A load report of a target, as contained in the digest of its zone.
struct target_report {
  std::uint64_t boot_id = 0;
  std::string version;
  int slots = 0;
  int in_flight = 0;
  double prefill_tokens_per_second = 0;
  bool leaving = false;
};

// Work that VMs have outstanding at a target.
struct outstanding_work {
  int in_flight = 0;
  // Of those, the requests whose response has not begun.
  int waiting = 0;
  // Prompt tokens that are not prefilled yet, and tokens of the target's cache
  // memory in use.
  double prefill_tokens = 0;
  double cache_tokens = 0;

  bool operator==(const outstanding_work&) const = default;
};

// The load that a target has stated in a response, of all VMs together.
struct target_load_report {
  // -1: none.
  int in_flight = -1;
  int waiting = 0;
  // Time that work takes on the target's machine at the moment, relative to the
  // usual one; 0 if it is not stated.
  double slowdown = 0;
  instant time;
};

// One of the models that a target serves.
struct served_model {
  std::string name;
  // Version of its weights.
  std::string version;
  // These are too old for any new request.
  bool has_outdated_weights = false;
  // About to load other weights, which aborts its running requests.
  bool is_load_pending = false;
  // Added to the placement cost.
  duration added_cost{};
};

struct target_view {
  std::string name;
  std::uint64_t name_hash = 0;
  std::string serves;
  // Of its weights; of those of all models if there are several.
  std::string version;
  // Empty if it serves no models, or one without a name.
  std::vector<served_model> models;
  // Version of the target's software; empty if it is not known.
  std::string build;
  std::string zone;
  endpoint address;
  // Listed in the configuration and not leaving.
  bool is_in_service = true;
  // Increases when the boot id or the weights version changes.
  std::uint32_t epoch = 1;
  std::uint64_t boot_id = 0;
  // Requests that it runs concurrently; further ones queue inside it.
  int slots = 8;
  int own_in_flight = 0;
  // Number of the last request that this router has sent, counted over all
  // targets; 0 if it has sent none.
  std::uint64_t last_dispatch = 0;
  int others_in_flight = 0;
  // Of those, the requests whose response has not begun.
  int others_waiting = 0;
  // What the other VMs of the zone have told of their work (shared_load.h). It
  // is not part of `others_in_flight` and `others_waiting`.
  outstanding_work zone_work;
  target_load_report last_report;
  // The report has not been told to other VMs yet.
  bool has_load_news = false;
  // Moving average of the stated slowdown; 0 if none has been stated.
  double mean_slowdown = 0;
  // Mean of `others_waiting` over the targets of the service. Negative while
  // reports count at any age as if they were new.
  double mean_others_waiting = -1;
  // Prompt tokens that this router has sent and that are not prefilled yet.
  double own_prefill_backlog = 0;
  double prefill_tokens_per_second = 10'000;
  // Cache memory of an engine in tokens (0: not an engine), and the tokens of
  // it that this router's requests use.
  double cache_capacity_tokens = 0;
  double own_cache_tokens = 0;
  // Moving average of the time for which a request occupies a slot.
  duration mean_service_time = milliseconds(1'000);
  // Estimated time for which an unused prefix stays cached.
  duration eviction_horizon = seconds(60);
  // End of the backoff after failures; no new requests before it.
  instant backoff_until;
  int consecutive_failures = 0;
  instant last_failure;
  // Moving average of the share of responses that are the target's own
  // failures. Above the expected rate the target is avoided, and probed from
  // `next_probe` on.
  double error_rate = 0;
  instant next_probe;
  // Time from the last failed probe to the next one, and the successful
  // responses since the last failure.
  duration probe_delay{};
  int probe_successes = 0;
  // When this VM last sent a request, and the moving average of the time
  // between two requests while the target is not avoided.
  instant last_sent;
  duration mean_send_interval{};
  // The target wants no requests of this VM before this time, and has asked
  // another VM to send it none.
  instant paused_until;
  instant others_paused_until;
  // The rate of requests that it takes from all VMs together.
  stated_rate rate;
  bool has_stated_invalid_rate = false;
  // This VM gets no permit for it before this time.
  instant no_permit_until;
  // Its build is new to this VM, so no stream that can be taken up again begins
  // there yet.
  bool is_build_new = false;
  // All of its weights are too old for any new request, or not known.
  bool has_outdated_weights = false;
  // Requests sent whose response has not begun, and the time since which the
  // target has sent nothing while there were any.
  int awaiting_response = 0;
  instant no_data_since;
  // Added to the placement cost, for example for targets in other zones.
  duration added_cost{};
};

// Slots for each extra request that HasCapacity() allows, for each slot that
// IsFullForDominantAccount() reserves, and for each request that
// HasReservedCapacity() allows a router.
inline constexpr int kSlotsPerExtraRequest = 8;
inline constexpr int kSlotsPerReservedSlot = 8;
inline constexpr int kSlotsPerRouterShare = 4;

// Returns the model on which the target runs a request that names `requested`:
// the only one if the request names none. Null if there is none.
const served_model* FindServedModel(const target_view& view,
                                    std::string_view requested);

// True if the target serves the model and its weights are not outdated. A
// request that does not depend on weights may also name no model, or another
// one.
bool MayRunModel(const target_view& view,
                 std::string_view requested,
                 bool depends_on_weights);

// Version of the weights with which the target runs such a request.
std::string_view WeightsVersion(const target_view& view,
                                std::string_view requested);

// True if the model, or any if `requested` is none of the target's, is about to
// load other weights.
bool IsLoadPending(const target_view& view, std::string_view requested);

// What the model adds to the placement cost; the most that any does if
// `requested` is none of the target's.
duration ModelCost(const target_view& view, std::string_view requested);

// Applies a load report. Returns true if the epoch has increased.
bool ApplyReport(target_view& view, const target_report& report);

// Applies the boot id and version of a response. Returns true if the epoch has
// increased.
bool ApplyIdentity(target_view& view,
                   std::uint64_t boot_id,
                   const std::string& version);

// Adjusts the eviction horizon: a prefix last used `age` ago was still cached
// or had been evicted.
void UpdateEvictionHorizon(target_view& view, duration age, bool was_cached);

// Record that a request was sent, that the target began to respond to it or
// showed other activity, and that a request ended without a response.
void RecordSent(target_view& view, instant now);
void RecordContact(target_view& view, instant now);
void RecordUnanswered(target_view& view);

// Time without data, while requests await a response, after which a target gets
// no new requests as long as there are other targets.
inline constexpr milliseconds kUnresponsiveAfter{400};

// True if requests await a response and the target has sent nothing for longer
// than kUnresponsiveAfter.
bool IsUnresponsive(const target_view& view, instant now);

// Records a failure of the target and starts a backoff that doubles with each
// consecutive failure. A failure of a request sent before the last failure is
// ignored, because it is no new evidence.
void RecordFailure(target_view& view, instant sent, instant now);

// Longest time until the next probe of a target, or the time in which this VM
// would send it kMaxSkippedSends requests, whichever is longer.
inline constexpr seconds kMaxProbeDelay{8};
inline constexpr int kMaxSkippedSends = 12;

// Updates the error rate from the response to a request sent at `sent`;
// `is_error` if it was a failure of the target's own. A failed probe doubles
// the time to the next one.
void RecordResponse(target_view& view,
                    bool is_error,
                    instant sent,
                    instant now);

// Placement cost of a target whose error rate is above the expected one. It is
// zero while the target may get a probe: a request that it gets on equal terms
// with the other targets. At first a probe must succeed before the next one is
// sent; each success allows one more at a time.
duration ErrorPenalty(const target_view& view, instant now);

// Records that the target wants no requests of this VM for `pause`. A shorter
// pause does not end a longer one.
void RecordPause(target_view& view, duration pause, instant now);

// True if the target wants no requests of this VM at `now`.
bool IsPaused(const target_view& view, instant now);

// Returns the time until the first pause ends, if all targets in service of
// `service` want no requests of this VM.
std::optional<duration> ShortestPause(std::span<const target_view> targets,
                                      std::string_view service,
                                      instant now);

// The same for the time until this VM may send to a target again, or ask for a
// permit to.
std::optional<duration> ShortestSendDelay(std::span<const target_view> targets,
                                          std::string_view service,
                                          instant now);

// True if the target may get requests when no target is usable: it is in
// service, not paused, this VM has not been refused a permit for it, and its
// weights are not outdated, whatever its recent failures.
bool IsUsableIgnoringBackoff(const target_view& view, instant now);

// Ends the backoff and resets the count of failures, because the target has
// restarted or is known to work.
void ClearFailures(target_view& view);

// Records a completed request that occupied a slot for `service_time`.
void RecordSuccess(target_view& view, duration service_time);

// Records the load that the target has stated to this VM or to another one.
void RecordLoad(target_view& view, const target_load_report& report);

// Returns the factor by which work at the target is expected to take longer
// than usual: the last statement counts as long as it is fresh, then what is
// usual of this target. 1 if it states none.
double SlowdownFactor(const target_view& view, instant now);

// Returns the number of requests in flight at the target, of all routers.
int InFlight(const target_view& view);

// True if the target accepts new requests at `now`. After repeated failures it
// is half-open: it gets one request at a time until one succeeds.
bool IsUsable(const target_view& view, instant now);

// True if a new request is not expected to queue inside the target. Reports of
// other routers' work are out of date, so one extra request for each
// kSlotsPerExtraRequest slots is allowed rather than leaving slots unused.
bool HasCapacity(const target_view& view);

// True if a dominant account may not use another slot. Reports of other
// routers' work arrive too late to reserve slots by them, so each of the
// `routers` that the account uses stays within its share of the unreserved
// slots.
bool IsFullForDominantAccount(const target_view& view, int routers);

// True if a request of an account that is not dominant may be sent although the
// target seems full. Each router may send a few, which the engine prioritizes.
bool HasReservedCapacity(const target_view& view);

// Returns the expected wait of a new request with `queued` requests ahead of it
// in this router's queue.
duration ExpectedWait(const target_view& view, int queued);

}  // namespace waxwing

#endif  // WAXWING_TARGET_VIEW_H_
