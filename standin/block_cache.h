// The prefix cache of the stand-in engine: blocks of 16 tokens, least recently
// used first out.

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
  std::size_t capacity = 0;
  // Most recently used first.
  std::list<std::uint64_t> lru;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks;
};

// Chain hashes of the whole blocks of a prompt; `salt` separates accounts,
// models and versions.
std::vector<std::uint64_t> BlockHashes(std::string_view prompt,
                                       std::uint64_t salt);

// Number of leading blocks that are cached.
std::size_t CachedBlocks(const block_cache& cache,
                         std::span<const std::uint64_t> chain);

// Makes all blocks of the chain the most recently used ones; appends what was
// stored and what had to go.
void UseBlocks(block_cache& cache,
               std::span<const std::uint64_t> chain,
               std::vector<std::uint64_t>& stored,
               std::vector<std::uint64_t>& evicted);

}  // namespace standin

#endif  // STANDIN_BLOCK_CACHE_H_
