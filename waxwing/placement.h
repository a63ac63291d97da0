// Placement: which target runs a request.
//
// The policy in use, kHomesAndCost, weighs for each target the expected time
// to first token there (wait plus prompt tokens to compute) and a penalty for
// recomputing what is cached elsewhere. What is cached is read from the prefix
// index. For a prefix that the index does not know, its homes (chosen by
// rendezvous over the prefix's head) are presumed to hold it: a router with
// empty state makes the choices it made before, and all routers agree. A hot
// prefix widens by itself: once the wait at its holders exceeds the cost of
// computing it again, the next home takes it and becomes a holder.
//
// The other policies are baselines to measure against.

#ifndef WAXWING_PLACEMENT_H_
#define WAXWING_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "waxwing/prefix.h"
#include "waxwing/prefix_index.h"
#include "waxwing/target_view.h"
#include "waxwing/types.h"

namespace waxwing {

enum class placement_policy {
  kHomesAndCost,
  kCostOnly,     // no homes
  kPureHash,     // the first usable home, whatever its load
  kLeastLoaded,  // fewest requests in flight
  kRoundRobin,
  kRandom,
};

// The words of the setting, for setting_kind::kChoice.
inline constexpr std::string_view kPlacementPolicyNames =
    "homes-and-cost|cost-only|pure-hash|least-loaded|round-robin|random";

std::optional<placement_policy> ParsePlacementPolicy(std::string_view name);

struct placement_state {
  placement_policy policy = placement_policy::kHomesAndCost;
  std::vector<target_view> targets;
  prefix_index index;
  std::uint64_t next_round_robin = 0;
  // Requests waiting for each target, filled while the queue is walked.
  std::vector<int> queued_by_target;
  // Reused by each decision: the holders of the prompt, and the targets that
  // can run it.
  std::vector<prefix_match> matches;
  std::vector<std::uint32_t> eligible;
};

struct placement_request {
  const prefix_chain* chain = nullptr;
  std::string_view serves;
  std::string_view version;
  // A target that has just failed this request, or -1.
  int failed_target = -1;
  std::uint64_t random = 0;
  // Takes targets that have failed lately, since there are no others.
  bool ignore_backoff = false;
};

struct placement {
  std::uint32_t target = 0;
  // Tokens of the prompt expected to be cached there, and when last used.
  std::uint32_t cached_tokens = 0;
  instant cache_last_used;
  // False if the request does best to wait for this target to have room.
  bool has_capacity = true;
};

// Chooses a target; nothing if no target that serves the version is usable.
std::optional<placement> Place(placement_state& state,
                               const placement_request& request,
                               instant now);

// Accounting around one dispatch. `missed` is the number of prompt tokens that
// the target is expected to compute.
void RecordDispatch(placement_state& state,
                    const placement& chosen,
                    std::uint32_t uncached_tokens);
void RecordPrefilled(placement_state& state,
                     const placement& chosen,
                     std::uint32_t uncached_tokens);
void RecordFinished(placement_state& state, const placement& chosen);

// Learns from the cached-token count of an answer: corrects the index and the
// target's horizon.
void UpdateFromResponse(placement_state& state,
                        const placement& chosen,
                        std::uint32_t epoch,
                        const prefix_chain& chain,
                        std::uint32_t cached_tokens,
                        instant now);

}  // namespace waxwing

#endif  // WAXWING_PLACEMENT_H_
