// Tracks which prompt segments each target has cached, from the targets' cache
// events.
//
// Events are delayed and a few are lost, so the map is approximate: a listed
// segment may have been evicted, and a missing one may be cached. An entry
// carries the target's epoch, so that all entries of a target become invalid
// when it restarts or loads other weights.

#ifndef WAXWING_CACHE_MAP_H_
#define WAXWING_CACHE_MAP_H_

#include <cstdint>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "waxwing/prefix.h"

namespace waxwing {

// KV cache stores have indices from this one on, targets have lower ones.
inline constexpr std::uint32_t kFirstCacheStore = 0xffff0000;

// True if `index` denotes a KV cache store and not a target.
inline bool IsCacheStore(std::uint32_t index) {
  return index >= kFirstCacheStore;
}

// A prompt segment with its cache key, which depends on the cache salt.
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
  // Bounds the memory to about 20 MB; a full map is cleared.
  std::size_t capacity = 200'000;
  std::unordered_map<std::uint64_t, std::vector<replica>> segments;
};

// Returns the segments of a prompt with their cache keys under `salt`.
std::vector<cached_segment> CachedSegments(
    std::string_view salt,
    std::span<const prompt_segment> segments);

// Returns the cache key of one segment under `salt`.
std::uint64_t CacheKey(std::string_view salt, std::uint64_t segment);

// Records how many tokens of a segment a target has cached now; 0 removes the
// entry.
void RecordCached(cache_map& map,
                  std::uint64_t key,
                  std::uint32_t target,
                  std::uint32_t epoch,
                  std::uint32_t tokens);

// Removes the entries of a target in all its epochs.
void ForgetTarget(cache_map& map, std::uint32_t target);

// Returns all segments that a target has cached.
std::vector<cached_segment> SegmentsCachedBy(const cache_map& map,
                                             std::uint32_t target,
                                             std::uint32_t epoch);

// The contiguous tokens from the start of a prompt that one target has cached.
struct cached_prefix {
  std::uint32_t target = 0;
  std::uint32_t epoch = 0;
  std::uint32_t tokens = 0;
};

// Returns the cached prefixes of all targets that have one, by index of target.
// The time grows with the number of replicas of the prompt's segments.
std::vector<cached_prefix> FindCachedPrefixes(
    const cache_map& map,
    std::span<const cached_segment> prompt);

// Returns the number of contiguous tokens from the start of the prompt that the
// target has cached.
std::uint32_t CachedPrefixTokens(const cache_map& map,
                                 std::span<const cached_segment> prompt,
                                 std::uint32_t target,
                                 std::uint32_t epoch);

}  // namespace waxwing

#endif  // WAXWING_CACHE_MAP_H_
