#include "waxwing/cache_saves.h"

namespace waxwing {

bool NoteSaved(cache_saves& saves, std::uint64_t prefix, instant now) {
  if (saves.saved_at.size() >= saves.capacity)
    saves.saved_at.clear();
  const auto [place, is_new] = saves.saved_at.try_emplace(prefix, now);
  if (!is_new && now < place->second + saves.saved_for)
    return false;
  place->second = now;
  return true;
}

void ForgetAllSaved(cache_saves& saves) {
  saves.saved_at.clear();
}

}  // namespace waxwing
