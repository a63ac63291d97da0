// Prefixes whose save to the KV cache store this VM has started, so that each
// is saved once rather than by every request.

#ifndef WAXWING_CACHE_SAVES_H_
#define WAXWING_CACHE_SAVES_H_

#include <cstdint>
#include <unordered_map>

#include "waxwing/types.h"

namespace waxwing {

struct cache_saves {
  // Bounds the memory to about 3 MB; a full map is cleared.
  std::size_t capacity = 50'000;
  // Time within which the store's events confirm that the prefix has arrived;
  // after it a save may be started again.
  milliseconds confirmation_timeout{3'000};
  std::unordered_map<std::uint64_t, instant> started_at;
};

// Returns true, and records the start of the save, if the request that is being
// sent should save the prefix.
bool TryStartSave(cache_saves& saves, std::uint64_t prefix, instant now);

// Forgets all saves, because the store has restarted.
void ClearSaves(cache_saves& saves);

}  // namespace waxwing

#endif  // WAXWING_CACHE_SAVES_H_
