#include "waxwing/held_memory.h"

#include <algorithm>
#include <utility>

namespace waxwing {
namespace {

// A body that grows occupies up to twice its size, and the process needs memory
// for its own data.
constexpr std::size_t kMemoryDivisor = 4;
constexpr std::size_t kMinLimit = 8 * 1024 * 1024;

std::size_t CountedBytes(std::size_t size) {
  return size > kUncountedBytes ? size - kUncountedBytes : 0;
}

}  // namespace

std::size_t HeldMemoryLimit(std::size_t memory_bytes) {
  if (memory_bytes == 0)
    return held_memory().limit;
  return std::max(kMinLimit, memory_bytes / kMemoryDivisor);
}

bool HasRoom(const held_memory& memory, std::size_t size) {
  const std::size_t counted = CountedBytes(size);
  return counted == 0 || memory.used + counted <= memory.limit;
}

held_share::held_share(std::shared_ptr<held_memory> m) : memory(std::move(m)) {}

held_share::~held_share() {
  memory->used -= counted;
}

bool UpdateSize(held_share& share, std::size_t size) {
  held_memory& memory = *share.memory;
  memory.used -= share.counted;
  share.counted = CountedBytes(size);
  memory.used += share.counted;
  return share.counted == 0 || memory.used <= memory.limit;
}

}  // namespace waxwing
