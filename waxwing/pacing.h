// How much prompt work a VM keeps at the engines of a service, and which
// waiting request goes next.
//
// Engines read prompts one after the other. What is sent beyond what they can
// read within the objective makes every answer late; what waits here can still
// be put in order. The window follows the time to the first byte: it shrinks
// while that exceeds its share of the objective and grows while it is short, so
// it needs to know neither the engines' speed nor what other VMs send.
//
// Load that this answers: more prompts than the engines can read in time, for
// seconds, after a loss of engines or of their caches. Those that can still be
// in time go first; those that can't are served as far as there is room, and
// refused when their callers would be gone before an answer.

#ifndef WAXWING_PACING_H_
#define WAXWING_PACING_H_

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

#include "waxwing/types.h"

namespace waxwing {

struct prefill_window {
  // Prompt tokens that may be unread at the engines.
  double size = 60'000;
  // The window never shrinks below this: the VM's share of what the engines
  // read in a short time.
  double min_size = 6'000;
  double outstanding = 0;
  // Mean work of a request, a moving average.
  double mean_tokens = 0;
  // Time from sending to the first byte, a moving average.
  duration time_to_first_byte = milliseconds(100);
  instant last_shrunk;
};

// A request that waits for its turn.
struct queued_request {
  double tokens = 0;
  // 0 is the most urgent.
  int priority = 0;
  instant arrived;
  // Answered by then it is within its objective.
  instant objective_deadline;
  // Sent after this time its caller is gone before the answer.
  instant dispatch_deadline;
};

// The window below which a VM's does not shrink. `share` is its part of the
// tokens that the engines read in a short time, `mean_tokens` the mean work of
// a request. A VM with few requests at a time must bear that their number
// varies, since it can't know that the other VMs have fewer just then.
double MinWindowSize(double share, double mean_tokens);

// True if work of `tokens` may be sent. One request may always be under way.
bool HasCapacity(const prefill_window& window, double tokens);

void RecordPrefillSent(prefill_window& window, double tokens);

// Notes the first byte of an answer, `took` after the request was sent.
void RecordFirstByte(prefill_window& window,
                     double tokens,
                     duration elapsed,
                     duration objective,
                     instant now);

// Notes the end of a request that was never answered.
void RecordPrefillEnded(prefill_window& window, double tokens);

// The one that goes next: in time before late, then the one whose time runs out
// first, then by rank.
std::optional<std::size_t> PickNextRequest(
    const prefill_window& window,
    std::span<const queued_request> waiting,
    instant now);

// True if the request must be refused now.
bool IsPastDispatchDeadline(const queued_request& request, instant now);

// Time until work of `tokens` that waits has been sent, by the rate at which
// answers begin.
duration EstimateDispatchDelay(const prefill_window& window, double tokens);

// Those that would be sent too late behind the ones that go before them, and
// are to be refused now rather than when their time is up.
std::vector<std::size_t> FindUndispatchable(
    const prefill_window& window,
    std::span<const queued_request> waiting,
    instant now);

}  // namespace waxwing

#endif  // WAXWING_PACING_H_
