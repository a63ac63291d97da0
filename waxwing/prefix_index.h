// What a router believes to be cached where, learned from its own dispatches
// and from the cached-token counts in answers.
//
// The index maps a chain hash to the few targets that last computed or used
// it. An entry names the target's epoch, which rises with each new boot id or
// weights version, so that entries of a dead engine or of older weights drop
// out at once without a search. An entry counts as present while it is younger
// than the target's eviction horizon, which is learned (see target_view.h).
//
// The size is bounded: entries live in two generations, and the older one is
// dropped whole when the younger one is full. A use moves an entry into the
// younger generation. All checkpoints of a prompt are recorded together, so a
// present checkpoint implies its shallower ones; lookups rely on that.

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
  // Largest number of entries over both generations.
  std::size_t capacity = 400'000;
  std::unordered_map<std::uint64_t, prefix_entry> recent;
  std::unordered_map<std::uint64_t, prefix_entry> older;
};

// How deep a target is believed to hold a prompt.
struct prefix_match {
  std::uint32_t target = 0;
  std::uint32_t epoch = 0;
  std::uint32_t tokens = 0;
  instant last_used;
};

// Notes that `target` holds the prompt down to `tokens`, as of `now`.
void RecordUse(prefix_index& index,
               const prefix_chain& chain,
               std::uint32_t tokens,
               std::uint32_t target,
               std::uint32_t epoch,
               instant now);

// Appends the deepest known entry of each holder to `out`. The result may miss
// a shallow holder, but never claims more than was recorded.
void FindPrefixMatches(const prefix_index& index,
                       const prefix_chain& chain,
                       std::vector<prefix_match>& out);

// Number of entries, for bounds and reports.
std::size_t SizeOf(const prefix_index& index);

}  // namespace waxwing

#endif  // WAXWING_PREFIX_INDEX_H_
