#include "waxwing/cache_saves.h"

namespace waxwing {

bool TryStartSave(cache_saves& saves, std::uint64_t prefix, instant now) {
  if (saves.started_at.size() >= saves.capacity)
    saves.started_at.clear();
  const auto [entry, is_new] = saves.started_at.try_emplace(prefix, now);
  if (!is_new && now < entry->second + saves.confirmation_timeout)
    return false;
  entry->second = now;
  return true;
}

void ClearSaves(cache_saves& saves) {
  saves.started_at.clear();
}

}  // namespace waxwing
