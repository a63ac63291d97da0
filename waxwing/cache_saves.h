// Which prefixes this VM has had saved to the store of KV cache.

#ifndef WAXWING_CACHE_SAVES_H_
#define WAXWING_CACHE_SAVES_H_

#include <cstdint>
#include <unordered_map>

#include "waxwing/types.h"

namespace waxwing {

struct cache_saves {
  // Bound on the memory: about 3 MB.
  std::size_t capacity = 50'000;
  // Time in which the store's events tell that the prefix has arrived.
  milliseconds confirmation_timeout{3'000};
  std::unordered_map<std::uint64_t, instant> started_at;
};

// True if the prefix should be saved by the request that is sent now, which is
// then noted.
bool TryStartSave(cache_saves& saves, std::uint64_t prefix, instant now);

// Forgets all: the store has restarted.
void ClearSaves(cache_saves& saves);

}  // namespace waxwing

#endif  // WAXWING_CACHE_SAVES_H_
