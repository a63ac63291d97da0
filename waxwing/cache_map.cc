#include "waxwing/cache_map.h"

#include <algorithm>

#include "waxwing/hash.h"

namespace waxwing {

std::uint64_t CacheKey(std::string_view salt, std::uint64_t part) {
  return CombineHashes(Hash64(salt), part);
}

std::vector<cached_part> CachedParts(std::string_view salt,
                                     std::span<const prompt_part> parts) {
  std::vector<cached_part> out;
  out.reserve(parts.size());
  for (const prompt_part& part : parts)
    out.push_back({CacheKey(salt, part.id), part.tokens});
  return out;
}

void NoteHeld(cache_map& map,
              std::uint64_t key,
              std::uint32_t target,
              std::uint32_t epoch,
              std::uint32_t tokens) {
  if (map.parts.size() >= map.capacity)
    map.parts.clear();
  auto& holders = map.parts[key];
  std::erase_if(holders, [&](const cache_map::holder& holder) {
    return holder.target == target;
  });
  if (tokens > 0)
    holders.push_back({target, epoch, tokens});
  if (holders.empty())
    map.parts.erase(key);
}

void ForgetHolder(cache_map& map, std::uint32_t target) {
  for (auto it = map.parts.begin(); it != map.parts.end();) {
    std::erase_if(it->second, [&](const cache_map::holder& holder) {
      return holder.target == target;
    });
    it = it->second.empty() ? map.parts.erase(it) : std::next(it);
  }
}

std::vector<cached_part> PartsHeldBy(const cache_map& map,
                                     std::uint32_t target,
                                     std::uint32_t epoch) {
  std::vector<cached_part> out;
  for (const auto& [key, holders] : map.parts) {
    for (const cache_map::holder& holder : holders) {
      if (holder.target == target && holder.epoch == epoch)
        out.push_back({key, holder.tokens});
    }
  }
  return out;
}

std::uint32_t HeldTokens(const cache_map& map,
                         std::span<const cached_part> prompt,
                         std::uint32_t target,
                         std::uint32_t epoch) {
  std::uint32_t held = 0;
  for (const cached_part& part : prompt) {
    const auto found = map.parts.find(part.key);
    if (found == map.parts.end())
      return held;
    const auto holder =
        std::find_if(found->second.begin(), found->second.end(),
                     [&](const cache_map::holder& other) {
                       return other.target == target && other.epoch == epoch;
                     });
    if (holder == found->second.end())
      return held;
    held += std::min(part.tokens, holder->tokens);
    if (holder->tokens < part.tokens)
      return held;
  }
  return held;
}

}  // namespace waxwing
