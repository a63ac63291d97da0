// Prefixes whose save to the KV cache store this VM has started, so that each
// is saved once rather than by every request.

#ifndef WAXWING_CACHE_SAVES_H_
#define WAXWING_CACHE_SAVES_H_

#include <cstdint>
#include <unordered_map>

#include "waxwing/admission.h"
#include "waxwing/types.h"

namespace waxwing {

// Saves share the link of the store with the fetches, which requests wait for.
// The saves of all VMs together may therefore use a part of it only.
struct cache_saves {
  // Bounds the memory to about 3 MB; a full map is cleared.
  std::size_t capacity = 50'000;
  // Time within which the store's events confirm that the prefix has arrived;
  // after it a save may be started again.
  milliseconds confirmation_timeout{3'000};
  std::unordered_map<std::uint64_t, instant> started_at;
  // This VM's share of the store's link, in bytes; not limited by default.
  token_bucket link;
};

// Sets this VM's share of a store's link of `link_mbps`, out of `vms` VMs that
// save to it. An unknown speed of 0 means no limit.
void SetSaveRate(cache_saves& saves,
                 double link_mbps,
                 std::size_t vms,
                 instant now);

// Returns true, and records the start of the save, if the request that is being
// sent should save the prefix, of `bytes` together with the rest of the prompt.
bool TryStartSave(cache_saves& saves,
                  std::uint64_t prefix,
                  double bytes,
                  instant now);

// Forgets all saves, because the store has restarted.
void ClearSaves(cache_saves& saves);

}  // namespace waxwing

#endif  // WAXWING_CACHE_SAVES_H_
