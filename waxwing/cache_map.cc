#include "waxwing/cache_map.h"

#include <algorithm>

#include "waxwing/hash.h"

namespace waxwing {

std::uint64_t CacheKey(std::string_view salt, std::uint64_t segment) {
  return CombineHashes(Hash64(salt), segment);
}

std::vector<cached_segment> CachedSegments(
    std::string_view salt,
    std::span<const prompt_segment> segments) {
  std::vector<cached_segment> out;
  out.reserve(segments.size());
  for (const prompt_segment& segment : segments)
    out.push_back({CacheKey(salt, segment.id), segment.tokens});
  return out;
}

void RecordCached(cache_map& map,
                  std::uint64_t key,
                  std::uint32_t target,
                  std::uint32_t epoch,
                  std::uint32_t tokens) {
  if (map.segments.size() >= map.capacity && !map.segments.contains(key))
    map.segments.clear();
  auto& replicas = map.segments[key];
  std::erase_if(replicas, [&](const cache_map::replica& replica) {
    return replica.target == target;
  });
  if (tokens > 0)
    replicas.push_back({target, epoch, tokens});
  if (replicas.empty())
    map.segments.erase(key);
}

void ForgetTarget(cache_map& map, std::uint32_t target) {
  for (auto it = map.segments.begin(); it != map.segments.end();) {
    std::erase_if(it->second, [&](const cache_map::replica& replica) {
      return replica.target == target;
    });
    it = it->second.empty() ? map.segments.erase(it) : std::next(it);
  }
}

std::vector<cached_segment> SegmentsCachedBy(const cache_map& map,
                                             std::uint32_t target,
                                             std::uint32_t epoch) {
  std::vector<cached_segment> out;
  for (const auto& [key, replicas] : map.segments) {
    for (const cache_map::replica& replica : replicas) {
      if (replica.target == target && replica.epoch == epoch)
        out.push_back({key, replica.tokens});
    }
  }
  return out;
}

std::vector<cached_prefix> FindCachedPrefixes(
    const cache_map& map,
    std::span<const cached_segment> prompt) {
  std::vector<cached_prefix> out;
  // Tokens of the segments before the current one.
  std::uint32_t tokens_before = 0;
  for (const cached_segment& segment : prompt) {
    const auto found = map.segments.find(segment.key);
    if (found == map.segments.end())
      break;
    const bool is_first = &segment == &prompt.front();
    for (const cache_map::replica& replica : found->second) {
      const std::uint32_t tokens = std::min(segment.tokens, replica.tokens);
      if (is_first) {
        out.push_back({replica.target, replica.epoch, tokens});
        continue;
      }
      const auto known =
          std::lower_bound(out.begin(), out.end(), replica.target,
                           [](const cached_prefix& a, std::uint32_t target) {
                             return a.target < target;
                           });
      if (known != out.end() && known->target == replica.target &&
          known->epoch == replica.epoch && known->tokens == tokens_before)
        known->tokens += tokens;
    }
    if (is_first)
      std::sort(out.begin(), out.end(),
                [](const cached_prefix& a, const cached_prefix& b) {
                  return a.target < b.target;
                });
    tokens_before += segment.tokens;
  }
  return out;
}

std::uint32_t CachedPrefixTokens(const cache_map& map,
                                 std::span<const cached_segment> prompt,
                                 std::uint32_t target,
                                 std::uint32_t epoch) {
  std::uint32_t cached_tokens = 0;
  for (const cached_segment& segment : prompt) {
    const auto found = map.segments.find(segment.key);
    if (found == map.segments.end())
      return cached_tokens;
    const auto replica =
        std::find_if(found->second.begin(), found->second.end(),
                     [&](const cache_map::replica& other) {
                       return other.target == target && other.epoch == epoch;
                     });
    if (replica == found->second.end())
      return cached_tokens;
    cached_tokens += std::min(segment.tokens, replica->tokens);
    if (replica->tokens < segment.tokens)
      return cached_tokens;
  }
  return cached_tokens;
}

}  // namespace waxwing
