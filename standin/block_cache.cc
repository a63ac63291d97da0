#include "standin/block_cache.h"

#include "waxwing/hash.h"

namespace standin {

std::vector<std::uint64_t> BlockHashes(std::string_view prompt,
                                       std::uint64_t salt) {
  std::vector<std::uint64_t> chain;
  std::uint64_t hash = salt;
  while (prompt.size() >= kBytesPerBlock) {
    hash = waxwing::Hash64(prompt.substr(0, kBytesPerBlock), hash);
    chain.push_back(hash);
    prompt.remove_prefix(kBytesPerBlock);
  }
  return chain;
}

std::size_t CachedBlocks(const block_cache& cache,
                         std::span<const std::uint64_t> chain) {
  std::size_t count = 0;
  while (count < chain.size() && cache.blocks.contains(chain[count]))
    ++count;
  return count;
}

void UseBlocks(block_cache& cache,
               std::span<const std::uint64_t> chain,
               std::vector<std::uint64_t>& stored,
               std::vector<std::uint64_t>& evicted) {
  // From last to first, so that the start of the prompt is evicted last.
  for (std::size_t i = chain.size(); i-- > 0;) {
    const auto found = cache.blocks.find(chain[i]);
    if (found != cache.blocks.end()) {
      cache.lru.splice(cache.lru.begin(), cache.lru, found->second);
      continue;
    }
    cache.lru.push_front(chain[i]);
    cache.blocks[chain[i]] = cache.lru.begin();
    stored.push_back(chain[i]);
  }
  while (cache.blocks.size() > cache.capacity) {
    evicted.push_back(cache.lru.back());
    cache.blocks.erase(cache.lru.back());
    cache.lru.pop_back();
  }
}

}  // namespace standin
