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

duration RecordTransit(transit_tracker& tracker,
                       instant sent,
                       instant arrived) {
  const duration difference = arrived - sent;
  if (!tracker.least || arrived >= tracker.period_began + kTransitPeriod) {
    tracker.least_before = tracker.least;
    tracker.least = difference;
    tracker.period_began = arrived;
  }
  tracker.least = std::min(*tracker.least, difference);
  return difference -
         std::min(*tracker.least, tracker.least_before.value_or(difference));
}

instant EarliestChange(instant confirmed_at,
                       instant call_began,
                       instant arrived) {
  const duration gap = std::max(duration{}, call_began - confirmed_at);
  return std::max(confirmed_at, arrived - gap);
}

}  // namespace waxwing
