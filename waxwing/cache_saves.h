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
// Saves therefore use only what the fetches leave of it. Each VM accounts for
// an equal share of the link.
//
// Designed for: all prompts being new at once, after an announcement of weights
// or a restart of the store, and stores that hardly keep all sessions.
struct cache_saves {
  // Bounds the memory to about 3 MB; a full map is cleared.
  std::size_t capacity = 50'000;
  // Time within which the store's events confirm that the prefix has arrived;
  // after it a save may be started again.
  milliseconds confirmation_timeout{3'000};
  std::unordered_map<std::uint64_t, instant> started_at;
  // This VM's share of the store's link, in bytes; unlimited by default.
  token_bucket link;
};

// Sets this VM's share of a store's link of `link_mbps`, out of `vms` VMs that
// use it. An unknown speed of 0 means no limit.
void SetLinkRate(cache_saves& saves,
                 double link_mbps,
                 std::size_t vms,
                 instant now);

// Records that a request has been sent that fetches `bytes` from the store.
void RecordFetch(cache_saves& saves, double bytes);

// True if a prompt consists mostly of shared tokens.
bool IsWorthSaving(std::uint32_t shared_tokens, std::uint32_t prompt_tokens);

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
