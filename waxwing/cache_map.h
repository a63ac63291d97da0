// Which target holds which named prompt parts, from the targets' cache events.
//
// Events come late and a few never come, so the map is a belief: a part that it
// names may be gone, and one that it lacks may be there. A target's entries
// name its epoch, so that all of them drop out when it restarts or loads other
// weights.

#ifndef WAXWING_CACHE_MAP_H_
#define WAXWING_CACHE_MAP_H_

#include <cstdint>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "waxwing/prefix.h"

namespace waxwing {

// Stands for the store of KV cache where a target's index is expected.
inline constexpr std::uint32_t kCacheStore = 0xffffffff;

// A part of one prompt under the salt of one cache.
struct cached_segment {
  std::uint64_t key = 0;
  std::uint32_t tokens = 0;
};

struct cache_map {
  struct replica {
    std::uint32_t target = 0;
    std::uint32_t epoch = 0;
    std::uint32_t tokens = 0;
  };
  // Bound on the memory: about 20 MB.
  std::size_t capacity = 200'000;
  std::unordered_map<std::uint64_t, std::vector<replica>> segments;
};

// The parts of a prompt as they are cached under `salt`.
std::vector<cached_segment> CachedSegments(
    std::string_view salt,
    std::span<const prompt_segment> segments);

// The key of one part under `salt`.
std::uint64_t CacheKey(std::string_view salt, std::uint64_t segment);

// Notes how many tokens of a part a target holds now; 0: none.
void RecordCached(cache_map& map,
                  std::uint64_t key,
                  std::uint32_t target,
                  std::uint32_t epoch,
                  std::uint32_t tokens);

// Forgets what is known of a target in all its epochs.
void ForgetTarget(cache_map& map, std::uint32_t target);

// All parts that a target holds.
std::vector<cached_segment> SegmentsCachedBy(const cache_map& map,
                                             std::uint32_t target,
                                             std::uint32_t epoch);

// Tokens from the start of the prompt that the target holds without a gap.
std::uint32_t CachedPrefixTokens(const cache_map& map,
                                 std::span<const cached_segment> prompt,
                                 std::uint32_t target,
                                 std::uint32_t epoch);

}  // namespace waxwing

#endif  // WAXWING_CACHE_MAP_H_
