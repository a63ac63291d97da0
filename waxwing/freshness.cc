#include "waxwing/freshness.h"

#include <algorithm>

namespace waxwing {

void RecordTick(stall_tracker& tracker, instant now) {
  if (tracker.last_tick != instant{} && now > tracker.last_tick + kMinStall) {
    tracker.stalled_since = tracker.last_tick;
    tracker.stalled_until = now;
  }
  tracker.last_tick = now;
}

instant EarliestArrival(const stall_tracker& tracker, instant now) {
  if (tracker.last_tick == instant{})
    return now;
  if (now > tracker.last_tick + kMinStall)
    return tracker.last_tick;
  const bool is_backlog = tracker.stalled_until != instant{} &&
                          now <= tracker.stalled_until + kStallBacklog;
  return is_backlog ? tracker.stalled_since : now;
}

instant EarliestChange(instant confirmed_at,
                       instant call_began,
                       instant arrived) {
  const duration gap = std::max(duration{}, call_began - confirmed_at);
  return std::max(confirmed_at, arrived - gap);
}

}  // namespace waxwing
