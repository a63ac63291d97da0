// An approximate index of which targets have which prefixes cached, built from
// a router's own dispatches and from the cached-token counts in responses.
//
// The index maps a chain hash to the few targets that last computed or used it.
// An entry carries the target's epoch, which increases with each new boot id or
// weights version, so that entries of a dead engine or of outdated weights
// become invalid at once without a search. An entry counts as present while it
// is younger than the target's estimated eviction horizon (see target_view.h).
//
// The size is bounded by keeping entries in two generations: when the younger
// one is full, the older one is discarded. Using an entry moves it to the
// younger generation. All checkpoints of a prompt are recorded together, so a
// present checkpoint implies that the shorter ones are present too; lookups
// rely on this.

#ifndef WAXWING_PREFIX_INDEX_H_
#define WAXWING_PREFIX_INDEX_H_

#include <array>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "waxwing/prefix.h"
#include "waxwing/types.h"

namespace waxwing {

inline constexpr std::size_t kMaxReplicasPerPrefix = 4;

struct prefix_replica {
  std::uint32_t target = 0;
  std::uint32_t epoch = 0;
  instant last_used;
};

struct prefix_entry {
  std::array<prefix_replica, kMaxReplicasPerPrefix> replicas;
  std::uint32_t count = 0;
};

struct prefix_index {
  // Maximum number of entries in both generations together.
  std::size_t capacity = 400'000;
  std::unordered_map<std::uint64_t, prefix_entry> recent;
  std::unordered_map<std::uint64_t, prefix_entry> older;
};

// The longest known match of a prompt at one target.
struct prefix_match {
  std::uint32_t target = 0;
  std::uint32_t epoch = 0;
  std::uint32_t tokens = 0;
  instant last_used;
};

// Records that `target` has the first `tokens` tokens of the prompt cached as
// of `now`.
void RecordUse(prefix_index& index,
               const prefix_chain& chain,
               std::uint32_t tokens,
               std::uint32_t target,
               std::uint32_t epoch,
               instant now);

// Appends the longest known match at each target to `out`. The result may miss
// or shorten all but the longest matches, but never exceeds what was recorded.
void FindPrefixMatches(const prefix_index& index,
                       const prefix_chain& chain,
                       std::vector<prefix_match>& out);

// Returns the number of entries in both generations.
std::size_t SizeOf(const prefix_index& index);

}  // namespace waxwing

#endif  // WAXWING_PREFIX_INDEX_H_
