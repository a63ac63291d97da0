// Flow control of prefill work: how many prompt tokens a VM keeps outstanding
// at the engines of a service, and which queued request is dispatched next.
//
// Engines prefill prompts one after the other. Sending more than they can
// prefill within the latency objective delays every response, whereas requests
// queued here can still be reordered. The window adapts to the time to first
// byte: it shrinks while that exceeds a share of the objective and grows while
// it is short. The VM therefore needs to know neither the engines' speed nor
// the load from other VMs.
//
// Designed for: more prompts than the engines can prefill in time, for seconds,
// after a loss of engines or of their caches. Requests that can still meet
// their objective are dispatched first, the newest of them before the others:
// the oldest first would make each one wait until it is nearly late. Late
// requests are dispatched as capacity allows, and refused as soon as the new
// ones are expected to leave none before their callers are gone.

#ifndef WAXWING_PACING_H_
#define WAXWING_PACING_H_

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

#include "waxwing/types.h"

namespace waxwing {

struct prefill_window {
  // Prompt tokens that may be outstanding: sent, but not prefilled yet.
  double size = 60'000;
  // The window never shrinks below this: the VM's share of the tokens that the
  // engines prefill in a short time.
  double min_size = 6'000;
  double outstanding = 0;
  // Moving averages of the prompt tokens of a request, and of these times its
  // objective in seconds.
  double mean_tokens = 0;
  double mean_token_seconds = 0;
  // Moving average of the time from dispatch to the first byte.
  duration time_to_first_byte = milliseconds(100);
  // Prompt tokens of the requests that arrive per second, as a moving average
  // at the time of the last one.
  double arriving_tokens_per_second = 0;
  instant last_arrival;
  instant last_shrunk;
  // Of the requests that can be in time, and of the late ones, the more urgent
  // go first.
  bool ranks_by_priority = false;
};

// A request that waits to be dispatched.
struct queued_request {
  double tokens = 0;
  // 0 is the most urgent.
  std::int64_t priority = 0;
  instant arrived;
  // A response that begins by this time meets the objective.
  instant objective_deadline;
  // If dispatched after this time, the caller is gone before the response.
  instant dispatch_deadline;
  // Continues a stream of which the caller has a part.
  bool is_continuation = false;
};

// Returns the minimum window of one of `vms` VMs: an equal share of the tokens
// that the engines, which prefill `tokens_per_second` in all, prefill in half
// of the requests' objective. In overload, a request that is dispatched at once
// then still meets its objective. The minimum also allows for the varying
// number of requests at a VM that has few at a time, because a VM can't know
// that the other VMs have fewer at that moment.
double MinWindowSize(const prefill_window& window,
                     double tokens_per_second,
                     std::size_t vms);

// Records the arrival of a request.
void RecordArrival(prefill_window& window, double tokens, instant now);

// True if a request of `tokens` fits in the window. Any request does if none is
// outstanding.
bool HasCapacity(const prefill_window& window, double tokens);

void RecordPrefillSent(prefill_window& window,
                       double tokens,
                       duration objective);

// Records the first byte of a response, `elapsed` after the request was sent,
// and adapts the window.
void RecordFirstByte(prefill_window& window,
                     double tokens,
                     duration elapsed,
                     duration objective,
                     instant now);

// Records that a request is no longer outstanding, because it ended without a
// response.
void RecordPrefillEnded(prefill_window& window, double tokens);

// Returns the index of the request to dispatch next, or std::nullopt if there
// is none: first those that continue a stream, so that what its caller has is
// not lost; of the requests that can still meet their objective the newest,
// else the late one with the earliest objective deadline; among equal ones by
// objective deadline and priority.
std::optional<std::size_t> PickNextRequest(
    const prefill_window& window,
    std::span<const queued_request> waiting,
    instant now);

// True if the request can no longer be dispatched in time and must be refused.
bool IsPastDispatchDeadline(const queued_request& request, instant now);

// Estimates the time until `tokens` of queued work have been dispatched, from
// the rate at which responses begin.
duration EstimateDispatchDelay(const prefill_window& window, double tokens);

// Returns the indices of the requests that would miss their dispatch deadline
// because of the requests ahead of them, including those expected to arrive
// ahead of late ones. They should be refused now rather than when the deadline
// has passed.
std::vector<std::size_t> FindUndispatchable(
    const prefill_window& window,
    std::span<const queued_request> waiting,
    instant now);

}  // namespace waxwing

#endif  // WAXWING_PACING_H_
