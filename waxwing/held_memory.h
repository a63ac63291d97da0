// A bound on the memory that a process uses for what it holds for others: the
// connections of callers, the requests that it reads and the responses of
// targets that it relays.
//
// When the memory is used up, the connection that holds most and moves least is
// closed. Requests in progress are closed for it only if their callers send
// more behind them; otherwise a new one is refused. What is large may use a
// part of the memory only, so that small requests are served while large ones
// have used up that part.

#ifndef WAXWING_HELD_MEMORY_H_
#define WAXWING_HELD_MEMORY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <span>

#include "waxwing/types.h"

namespace waxwing {

// Each response may hold this many bytes that do not count.
inline constexpr std::size_t kUncountedBytes = 16 * 1024;

// Bytes that a connection may have received and that were not read yet. They do
// not count, either.
inline constexpr std::size_t kUnreadBytes = 8 * 1024;

// A connection or response that holds more may not use all of the memory.
inline constexpr std::size_t kSmallBytes = 64 * 1024;

enum class connection_phase {
  kIdle,     // waits for a request
  kReading,  // a part of a request has arrived
  kServing,  // the request was read, and its response is not complete
  kClosing,  // is being closed
};

// What one connection of a caller holds, and how far its request has come.
struct connection_load {
  connection_phase phase = connection_phase::kIdle;
  // Bytes that it holds in the memory.
  std::size_t held = 0;
  // When its request, or its wait for one, began.
  instant since;
  // Bytes of the request that have arrived, and those announced to follow.
  std::uint64_t received = 0;
  std::uint64_t remaining = 0;
  // While the request is in progress, its caller has sent bytes behind it.
  bool sends_ahead = false;
  // Bytes that arrived in the current period and in the one before.
  std::array<std::uint64_t, 2> recent{};
  instant period_start;
  // Closes it; what it holds is no longer counted afterwards. Returns false,
  // and changes nothing, if it is no longer idle.
  std::function<bool()> close;
};

// What a process holds for others, in bytes.
struct held_memory {
  std::size_t limit = 64 * 1024 * 1024;
  std::size_t used = 0;
  // Connections of callers at all ports; those that are open, and how many may
  // be. Connections that are being closed do not count.
  std::size_t max_connections = 4'096;
  std::size_t open = 0;
  std::set<connection_load*> connections;
};

// Returns the limit for a process that may use `memory_bytes` of memory in all,
// or any amount if that is 0.
std::size_t HeldMemoryLimit(std::size_t memory_bytes);

// Returns how many connections of callers a process may have that may use
// `descriptors` file descriptors and `memory_bytes` of memory (0: any amount).
std::size_t MaxConnections(std::size_t descriptors, std::size_t memory_bytes);

// True if `bytes` more fit without closing a connection.
bool HasRoom(const held_memory& memory, std::size_t bytes);

// Starts and stops counting a connection. AddConnection() returns false if
// there are too many connections or too little memory; what it needs has then
// not been counted.
bool AddConnection(held_memory& memory, connection_load& load, instant now);
void RemoveConnection(held_memory& memory, connection_load& load);

// Moves the connection to another phase.
void SetPhase(held_memory& memory,
              connection_load& load,
              connection_phase phase,
              instant now);

// Records that bytes of a request have arrived.
void RecordArrival(connection_load& load, std::size_t bytes, instant now);

// Sets what the connection holds, and closes other connections until it fits.
// Returns false if it does not fit; what this one holds is then as before, but
// others may have been closed.
bool SetHeld(held_memory& memory,
             connection_load& load,
             std::size_t bytes,
             instant now);

// True if the request that a connection sends makes no progress that would
// complete it in time.
bool IsStalled(const connection_load& load, instant now);

// What needs memory.
struct memory_demand {
  // All that it will hold.
  std::size_t bytes = 0;
  // A request that has been read completely, or a response. It goes before
  // requests that are still being read.
  bool is_complete = false;
};

// Returns the index of the connection that is closed for `demand`, if any may
// be closed: of the stalled ones the one that holds most. For what is small or
// complete also, in this order: the one that has been idle longest, if it has
// been for a while; the one whose request is being read that holds most, and
// more than the demand unless that is complete; the one that holds most of
// those that send ahead; and the one that has been idle longest.
std::optional<std::size_t> ChooseConnectionToClose(
    std::span<const connection_load* const> connections,
    const memory_demand& demand,
    instant now);

// What one response holds, for the lifetime of this object.
struct held_share {
  std::shared_ptr<held_memory> memory;
  std::size_t counted = 0;

  explicit held_share(std::shared_ptr<held_memory> m);
  ~held_share();
  held_share(const held_share&) = delete;
  held_share& operator=(const held_share&) = delete;
};

// Sets the size of the response, and closes connections of callers until it
// fits. Returns false if it does not fit; small ones never fail.
bool UpdateSize(held_share& share, std::size_t size);

}  // namespace waxwing

#endif  // WAXWING_HELD_MEMORY_H_
