// Placement: chooses the target that runs a request.
//
// The default policy, kHomesAndCost, chooses the target with the lowest cost:
// the expected time to first token there (wait plus prefill of uncached tokens)
// and a penalty for recomputing what other targets have cached. The prefix
// index supplies what is cached. A prefix that is not in the index is assumed
// to be cached at its homes, which are chosen by rendezvous hashing of the
// prefix's head. A router that has just started with empty state therefore
// makes the same choices as before, and all routers agree. A hot prefix is
// replicated on demand: once the wait at the targets that have it cached
// exceeds the cost of recomputing it, the next home is chosen and becomes a
// replica.
//
// The other policies are baselines for comparison.

#ifndef WAXWING_PLACEMENT_H_
#define WAXWING_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "waxwing/prefix.h"
#include "waxwing/prefix_index.h"
#include "waxwing/stream_builds.h"
#include "waxwing/target_view.h"
#include "waxwing/types.h"

namespace waxwing {

enum class placement_policy {
  kHomesAndCost,
  kCostOnly,     // ignores homes
  kPureHash,     // the first usable home, regardless of its load
  kLeastLoaded,  // fewest requests in flight
  kRoundRobin,
  kRandom,
};

// Names of the policies in the settings, for setting_kind::kChoice.
inline constexpr std::string_view kPlacementPolicyNames =
    "homes-and-cost|cost-only|pure-hash|least-loaded|round-robin|random";

std::optional<placement_policy> ParsePlacementPolicy(std::string_view name);

struct placement_state {
  placement_policy policy = placement_policy::kHomesAndCost;
  std::vector<target_view> targets;
  prefix_index index;
  std::uint64_t next_round_robin = 0;
  // Requests dispatched so far.
  std::uint64_t dispatches = 0;
  // Requests queued for each target, counted during a scan of the queue.
  std::vector<int> queued_by_target;
  // Buffers reused by each decision: the matches of the prompt, and the targets
  // that can run it.
  std::vector<prefix_match> matches;
  std::vector<std::uint32_t> eligible;
};

struct placement_request {
  const prefix_chain* chain = nullptr;
  std::string_view serves;
  std::string_view version;
  // Index of the target that has just failed this request, or -1.
  int failed_target = -1;
  std::uint64_t random = 0;
  // Also considers targets in backoff, because no other target is usable.
  bool ignore_backoff = false;
  stream_needs stream;
  // Model that the request names, if any.
  std::string_view model;
};

struct placement {
  std::uint32_t target = 0;
  // Prompt tokens expected to be cached there, and the time of their last use.
  std::uint32_t cached_tokens = 0;
  instant cache_last_used;
  // False if the request should wait until this target has capacity.
  bool has_capacity = true;
};

// Chooses a target; returns std::nullopt if no target that serves the model and
// version is usable.
std::optional<placement> Place(placement_state& state,
                               const placement_request& request,
                               instant now);

// Update the load of the chosen target when a request is dispatched, when its
// prompt has been prefilled and when it ends. `uncached_tokens` is the number
// of prompt tokens that the target is expected to prefill.
void RecordDispatch(placement_state& state,
                    const placement& chosen,
                    std::uint32_t uncached_tokens);
void RecordPrefilled(placement_state& state,
                     const placement& chosen,
                     std::uint32_t uncached_tokens);
void RecordFinished(placement_state& state, const placement& chosen);

// Updates the prefix index and the target's eviction horizon from the number of
// cached tokens in a response. Has no effect if the target's epoch is no longer
// `epoch`.
void UpdateFromResponse(placement_state& state,
                        const placement& chosen,
                        std::uint32_t epoch,
                        const prefix_chain& chain,
                        std::uint32_t cached_tokens,
                        instant now);

}  // namespace waxwing

#endif  // WAXWING_PLACEMENT_H_
