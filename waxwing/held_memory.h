// A bound on the memory that a process uses for what it holds for others: the
// bodies of requests that it reads and of responses that it relays.
//
// Small bodies do not count, so that they are served while large ones have used
// up the memory.

#ifndef WAXWING_HELD_MEMORY_H_
#define WAXWING_HELD_MEMORY_H_

#include <cstddef>
#include <memory>

namespace waxwing {

// Each body may hold this many bytes that do not count.
inline constexpr std::size_t kUncountedBytes = 16 * 1024;

// The bodies that a process holds, in bytes.
struct held_memory {
  std::size_t limit = 64 * 1024 * 1024;
  std::size_t used = 0;
};

// Returns the limit for a process that may use `memory_bytes` of memory in all,
// or any amount if that is 0.
std::size_t HeldMemoryLimit(std::size_t memory_bytes);

// True if a body of `size` bytes can be held now.
bool HasRoom(const held_memory& memory, std::size_t size);

// What one body holds, for the lifetime of this object.
struct held_share {
  std::shared_ptr<held_memory> memory;
  std::size_t counted = 0;

  explicit held_share(std::shared_ptr<held_memory> m);
  ~held_share();
  held_share(const held_share&) = delete;
  held_share& operator=(const held_share&) = delete;
};

// Sets the size of the body. Returns false if all bodies together exceed the
// limit; small ones never fail.
bool UpdateSize(held_share& share, std::size_t size);

}  // namespace waxwing

#endif  // WAXWING_HELD_MEMORY_H_
