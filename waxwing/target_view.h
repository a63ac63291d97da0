// What a router believes about one target: its load, its speed, and how long
// it keeps cached prefixes.
//
// Reports arrive late. The view therefore adds this router's own dispatches
// since, and takes from a report only the work of others.

#ifndef WAXWING_TARGET_VIEW_H_
#define WAXWING_TARGET_VIEW_H_

#include <cstdint>
#include <string>

#include "waxwing/types.h"

namespace waxwing {

// A load report of a target, as the digest of its zone passes it on.
struct target_report {
  std::uint64_t boot_id = 0;
  std::string version;
  int slots = 0;
  int in_flight = 0;
  double prefill_tokens_per_second = 0;
  bool leaving = false;
};

struct target_view {
  std::string name;
  std::uint64_t name_hash = 0;
  std::string serves;
  std::string version;
  std::string zone;
  endpoint address;
  // In the configuration, and not leaving.
  bool is_in_service = true;
  // Rises when the boot id or the weights version changes.
  std::uint32_t epoch = 1;
  std::uint64_t boot_id = 0;
  // Requests that it runs at once; more would queue inside it.
  int slots = 8;
  int own_in_flight = 0;
  int others_in_flight = 0;
  // Of those, the ones whose answer has not begun.
  int others_waiting = 0;
  // Prompt tokens that this router has sent and that are not computed yet.
  double own_prefill_backlog = 0;
  double prefill_tokens_per_second = 10'000;
  // Cache memory of an engine, and what this router's runs take of it; 0: no
  // engine.
  double cache_capacity_tokens = 0;
  double own_cache_tokens = 0;
  // Time a request occupies a slot, a moving average.
  duration mean_service_time = milliseconds(1'000);
  // Age up to which an unused prefix is expected to be cached.
  duration eviction_horizon = seconds(60);
  // No new work before this time, after failures.
  instant backoff_until;
  int consecutive_failures = 0;
  instant last_failure;
  // Share of its answers that are failures of its own, a moving average.
  double error_rate = 0;
  // Its weights are too old for any new request.
  bool has_outdated_weights = false;
  // About to load other weights, which breaks its runs.
  bool is_load_pending = false;
  // Requests sent and not yet begun to be answered, and since when the target
  // has been silent while there were any.
  int awaiting_response = 0;
  instant no_data_since;
  // Added cost of reaching it, for targets in other zones.
  duration added_cost{};
};

inline constexpr int kSlotsPerExtraRequest = 8;
inline constexpr int kSlotsPerReservedSlot = 8;
inline constexpr int kSlotsPerRouterShare = 4;

// Takes in a report. True if the epoch rose.
bool ApplyReport(target_view& view, const target_report& report);

// Notes the boot id and version that came with an answer. True if the epoch
// rose.
bool ApplyIdentity(target_view& view,
                   std::uint64_t boot_id,
                   const std::string& version);

// Learns the eviction horizon: a prefix last used `age` ago was (not) cached.
void UpdateEvictionHorizon(target_view& view, duration age, bool was_cached);

// Notes that a request was sent, that the target has begun to answer it or has
// shown a sign of life, and that a request has ended unanswered.
void RecordSent(target_view& view, instant now);
void RecordContact(target_view& view, instant now);
void RecordUnanswered(target_view& view);

// Silence, with requests unanswered, after which a target gets no new ones
// while there are others.
inline constexpr milliseconds kUnresponsiveAfter{400};

// True if the target has been silent for so long.
bool IsUnresponsive(const target_view& view, instant now);

// Notes a failure of the target; avoids it for a time that doubles with each
// further one. Requests sent before the last failure say nothing new.
void RecordFailure(target_view& view, instant sent, instant now);

// Notes whether an answer was a failure of the target's own.
void RecordResponse(target_view& view, bool is_error);

// Cost of a target that fails more of its requests than is usual.
duration ErrorPenalty(const target_view& view);

// True if the target may be given work when no target is usable: it is listed,
// whatever its latest failures.
bool IsUsableIgnoringBackoff(const target_view& view);

// Forgets failures: the target has started anew.
void ClearFailures(target_view& view);

// Notes an answered request that held a slot for `service`.
void RecordSuccess(target_view& view, duration service_time);

// Requests it runs now, of all routers.
int InFlight(const target_view& view);

// True if the target takes new work at `now` at all. After a failure it takes
// one request at a time until one succeeds.
bool IsUsable(const target_view& view, instant now);

// True if a new request would not queue inside it, as far as is known: a report
// may miss others' latest work, so one more in kSlotsPerExtraRequest is risked
// rather than leaving slots unused.
bool HasCapacity(const target_view& view);

// True if a dominant account may take no further slot. Reports of other
// routers' work come too late to keep slots free by; therefore each of the
// `routers` that the account uses keeps to its part of what is not reserved.
bool IsFullForDominantAccount(const target_view& view, int routers);

// True if a request of an account that is not dominant may be sent although the
// target seems full: a few from each router, which the engine then prefers.
bool HasReservedCapacity(const target_view& view);

// Expected wait of a new request that has `queued` others before it here.
duration ExpectedWait(const target_view& view, int queued);

}  // namespace waxwing

#endif  // WAXWING_TARGET_VIEW_H_
