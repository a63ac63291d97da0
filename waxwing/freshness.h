// Bounds on when a change was made that a VM learns of late.
//
// Workload: time limits on changes of the store count from their
// acknowledgement. A VM that learns of a change over an uninterrupted watch may
// take that moment for the time of the change. After an interruption (a failed
// call, lost history, a change of source, a VM that stood still) the change may
// have been made at any time since the VM was last up to date, and is taken to
// be that old.

#ifndef WAXWING_FRESHNESS_H_
#define WAXWING_FRESHNESS_H_

#include <optional>

#include "waxwing/types.h"

namespace waxwing {

// Detects that this process stood still, because its VM was suspended or the
// process got no processor time. All times are of a clock that keeps running
// meanwhile.
struct stall_tracker {
  instant last_tick;
  // The last stall.
  instant stalled_since;
  instant stalled_until;
};

// Time without a tick that counts as a stall.
inline constexpr milliseconds kMinStall{500};
// Messages that arrived during a stall are handled within this time after it.
inline constexpr milliseconds kStallBacklog{200};

// Records that the process is running. Expected several times per kMinStall.
void RecordTick(stall_tracker& tracker, instant now);

// The earliest time at which a message can have arrived that is handled at
// `now`.
instant EarliestArrival(const stall_tracker& tracker, instant now);

// Determines how long messages of one sender are held up on their way, for
// example by a partition that delays the bytes of a connection. The clocks of
// the two sides need not agree.
struct transit_tracker {
  // The least difference between arrival and sending in the current period and
  // in the one before.
  std::optional<duration> least;
  std::optional<duration> least_before;
  instant period_began;
};

// Clocks of two VMs drift apart by a few milliseconds in this time.
inline constexpr seconds kTransitPeriod{60};

// Records a message, and returns by how much longer it was on its way than the
// fastest one lately.
duration RecordTransit(transit_tracker& tracker, instant sent, instant arrived);

// The earliest time at which a change can have been made that a watch call
// returns: the call began at `call_began`, when this VM had all changes up to
// `confirmed_at`, and returned the change at `arrived`.
instant EarliestChange(instant confirmed_at,
                       instant call_began,
                       instant arrived);

}  // namespace waxwing

#endif  // WAXWING_FRESHNESS_H_
