#include "waxwing/held_memory.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace waxwing {
namespace {

// The process needs memory for its own data, too.
constexpr std::size_t kMemoryDivisor = 4;
constexpr std::size_t kMinLimit = 8 * 1024 * 1024;
// Beyond the limit, for what is small: this part of it.
constexpr std::size_t kSmallDivisor = 4;

// File descriptors reserved for targets, the store, peers and files.
constexpr std::size_t kReservedDescriptors = 1'000;

// An idle connection with its coroutines.
constexpr std::size_t kIdleBytes = 4 * 1024;

constexpr seconds kPeriod{1};
// A request is judged by its progress once it has had this time.
constexpr seconds kGrace{1};
// A request is stalled if less than this part of it arrives in a period.
constexpr std::uint64_t kProgressDivisor = 16;

std::size_t CountedBytes(std::size_t size) {
  return size > kUncountedBytes ? size - kUncountedBytes : 0;
}

bool IsSmall(std::size_t bytes) {
  return bytes <= kSmallBytes;
}

// What may be used in all once a holder of `bytes` is counted.
std::size_t LimitFor(const held_memory& memory, std::size_t bytes) {
  return IsSmall(bytes) ? memory.limit + memory.limit / kSmallDivisor
                        : memory.limit;
}

// Returns the bytes that arrived in the last one to two periods.
std::uint64_t RecentBytes(const connection_load& load, instant now) {
  if (now - load.period_start >= 2 * kPeriod)
    return 0;
  if (now - load.period_start >= kPeriod)
    return load.recent[0];
  return load.recent[0] + load.recent[1];
}

void Release(held_memory& memory, connection_load& load) {
  memory.used -= load.held;
  load.held = 0;
}

// Closes connections until `is_enough` returns true. Returns false if no more
// may be closed.
template <typename Condition>
bool CloseUntil(held_memory& memory,
                const connection_load* requester,
                const memory_demand& demand,
                instant now,
                const Condition& is_enough) {
  if (is_enough())
    return true;
  std::vector<connection_load*> candidates;
  for (connection_load* load : memory.connections) {
    if (load != requester)
      candidates.push_back(load);
  }
  while (!is_enough()) {
    const auto chosen = ChooseConnectionToClose(candidates, demand, now);
    if (!chosen)
      return false;
    connection_load* load = candidates[*chosen];
    candidates[*chosen] = candidates.back();
    candidates.pop_back();
    if (load->close())
      SetPhase(memory, *load, connection_phase::kClosing, now);
  }
  return true;
}

}  // namespace

std::size_t HeldMemoryLimit(std::size_t memory_bytes) {
  if (memory_bytes == 0)
    return held_memory().limit;
  return std::max(kMinLimit, memory_bytes / kMemoryDivisor);
}

std::size_t MaxConnections(std::size_t descriptors, std::size_t memory_bytes) {
  const std::size_t count = descriptors > 2 * kReservedDescriptors
                                ? descriptors - kReservedDescriptors
                                : descriptors / 2;
  return memory_bytes == 0
             ? count
             : std::min(count, memory_bytes / kMemoryDivisor / kUnreadBytes);
}

bool HasRoom(const held_memory& memory, std::size_t bytes) {
  return memory.used + bytes <= memory.limit;
}

bool AddConnection(held_memory& memory, connection_load& load, instant now) {
  const bool has_room = CloseUntil(memory, &load, {kIdleBytes}, now, [&] {
    return memory.open < memory.max_connections;
  });
  if (!has_room || !SetHeld(memory, load, 0, now))
    return false;
  ++memory.open;
  memory.connections.insert(&load);
  load.since = now;
  return true;
}

void RemoveConnection(held_memory& memory, connection_load& load) {
  if (memory.connections.erase(&load) == 0)
    return;
  Release(memory, load);
  if (load.phase != connection_phase::kClosing)
    --memory.open;
}

void SetPhase(held_memory& memory,
              connection_load& load,
              connection_phase phase,
              instant now) {
  if (load.phase == connection_phase::kClosing)
    return;
  load.phase = phase;
  if (phase == connection_phase::kClosing) {
    Release(memory, load);
    --memory.open;
  }
  if (phase == connection_phase::kIdle || phase == connection_phase::kReading) {
    load.since = now;
    load.period_start = now;
    load.received = 0;
    load.remaining = 0;
    load.sends_ahead = false;
    load.recent = {};
  }
}

void RecordArrival(connection_load& load, std::size_t bytes, instant now) {
  if (now - load.period_start >= kPeriod) {
    const bool is_next = now - load.period_start < 2 * kPeriod;
    load.recent = {0, is_next ? load.recent[0] : 0};
    load.period_start = is_next ? load.period_start + kPeriod : now;
  }
  load.recent[0] += bytes;
  load.received += bytes;
}

bool SetHeld(held_memory& memory,
             connection_load& load,
             std::size_t bytes,
             instant now) {
  if (load.phase == connection_phase::kClosing)
    return false;
  const std::size_t held = kIdleBytes + bytes;
  const std::size_t limit = LimitFor(memory, held);
  const bool fits =
      held <= load.held ||
      CloseUntil(memory, &load,
                 {held, load.phase == connection_phase::kServing}, now,
                 [&] { return memory.used - load.held + held <= limit; });
  if (!fits)
    return false;
  memory.used += held - load.held;
  load.held = held;
  return true;
}

bool IsStalled(const connection_load& load, instant now) {
  return load.phase == connection_phase::kReading &&
         now - load.since >= kGrace &&
         RecentBytes(load, now) * kProgressDivisor <
             std::max(load.received, load.remaining);
}

std::optional<std::size_t> ChooseConnectionToClose(
    std::span<const connection_load* const> connections,
    const memory_demand& demand,
    instant now) {
  using index = std::optional<std::size_t>;
  index stalled;
  index idle;
  index reading;
  index sending_ahead;
  const auto keep_largest = [&](index& best, std::size_t i) {
    if (!best || connections[i]->held > connections[*best]->held)
      best = i;
  };
  for (std::size_t i = 0; i < connections.size(); ++i) {
    const connection_load& load = *connections[i];
    switch (load.phase) {
      case connection_phase::kIdle:
        if (!idle || load.since < connections[*idle]->since)
          idle = i;
        break;
      case connection_phase::kReading:
        if (IsStalled(load, now))
          keep_largest(stalled, i);
        else if (demand.is_complete || load.held > demand.bytes)
          keep_largest(reading, i);
        break;
      case connection_phase::kServing:
        if (load.sends_ahead)
          keep_largest(sending_ahead, i);
        break;
      case connection_phase::kClosing:
        break;
    }
  }
  if (stalled || !(IsSmall(demand.bytes) || demand.is_complete))
    return stalled;
  // A caller that has just connected is about to send its request.
  const bool is_idle_long = idle && now - connections[*idle]->since >= kGrace;
  if (is_idle_long || !(reading || sending_ahead))
    return idle;
  return reading ? reading : sending_ahead;
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
  return share.counted == 0 ||
         CloseUntil(memory, nullptr, {size, true},
                    std::chrono::steady_clock::now(),
                    [&] { return memory.used <= memory.limit; });
}

}  // namespace waxwing
