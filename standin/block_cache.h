// The prefix cache of the stand-in engine: blocks of 16 tokens with LRU
// eviction.

#ifndef STANDIN_BLOCK_CACHE_H_
#define STANDIN_BLOCK_CACHE_H_

#include <cstdint>
#include <list>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace standin {

inline constexpr std::size_t kTokensPerBlock = 16;
inline constexpr std::size_t kBytesPerBlock = 64;

struct block_cache {
  // In blocks.
  std::size_t capacity = 0;
  // Most recently used first.
  std::list<std::uint64_t> lru;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks;
};

// Returns the chain hashes of the complete blocks of a prompt; each hash covers
// its block and all blocks before it. A different `salt` gives different
// hashes, which keeps accounts, models and weights versions apart.
std::vector<std::uint64_t> BlockHashes(std::string_view prompt,
                                       std::uint64_t salt);

// Returns the number of leading blocks of the chain that are cached.
std::size_t CachedBlocks(const block_cache& cache,
                         std::span<const std::uint64_t> chain);

// Marks all blocks of the chain as most recently used, inserting those that are
// not cached, then evicts blocks until the cache is within its capacity.
// Appends the inserted blocks to `stored` and the evicted ones to `evicted`.
void UseBlocks(block_cache& cache,
               std::span<const std::uint64_t> chain,
               std::vector<std::uint64_t>& stored,
               std::vector<std::uint64_t>& evicted);

}  // namespace standin

#endif  // STANDIN_BLOCK_CACHE_H_
