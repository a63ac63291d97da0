// Request rates that targets state: a target in trouble names the number of
// requests per second that it takes from all VMs together.

#ifndef WAXWING_TARGET_RATE_H_
#define WAXWING_TARGET_RATE_H_

#include <cstdint>
#include <optional>

#include "waxwing/types.h"

namespace waxwing {

// What is known of the rate that one incarnation of a target takes. VMs that
// hear of several statements keep the one with the highest sequence number, so
// that all of them end with the same.
struct stated_rate {
  // Empty if the target takes any number of requests.
  std::optional<double> per_second;
  std::uint64_t sequence = 0;
  // When this VM last heard of the rate, from the target or from another VM.
  instant heard_at;
};

// Returns the rate of a peer's message, where a negative one means any number
// of requests.
std::optional<double> ReadPeerRate(double per_second);

// Records what a response of the target says; `per_second` is empty if it
// states no rate. A response to a request that was sent before this VM heard of
// the rate may be older than the statement and does not end it. Returns true if
// the rate has changed.
bool RecordStatement(stated_rate& known,
                     std::optional<double> per_second,
                     instant sent,
                     instant now);

// Applies a statement that another VM has heard. Returns true if it is newer
// than the known one.
bool MergeStatement(stated_rate& known, const stated_rate& other, instant now);

}  // namespace waxwing

#endif  // WAXWING_TARGET_RATE_H_
