// Permits to send requests to targets that state a request rate.
//
// The rate is one for all VMs together, and no VM sees what the others send.
// One VM therefore hands out a permit for each request: the target's permit
// issuer, chosen by rendezvous hashing of the target over the present VMs,
// those of the target's zone first. A VM without a permit sends nothing to the
// target.
//
// The sum holds while the VMs disagree about who is present. A new issuer
// starts without permits and, as long as an earlier one may still be in office,
// at half the rate. Each issuer hands out only the share of the rate that
// corresponds to the VMs that it sees, so that the sides of a partition
// together keep to it.
//
// Designed for: rates far below one request per VM and second. Higher rates
// cost a message and its response per request.

#ifndef WAXWING_SEND_PERMITS_H_
#define WAXWING_SEND_PERMITS_H_

#include <optional>
#include <string>
#include <string_view>

#include "waxwing/membership.h"
#include "waxwing/types.h"

namespace waxwing {

// Permits of one target, at its issuer.
struct permit_bucket {
  double permits = 0;
  // When `permits` was last updated, and when this VM became the issuer; empty
  // before the first request.
  std::optional<instant> updated;
  instant started;
  // When the last VM that was refused a permit is to ask again.
  instant last_return;
};

// Unused permits that are kept.
inline constexpr double kMaxPermits = 2;

// A target that states a lower rate, or zero, gets requests at this rate per
// second, because only its responses tell when the limit has ended.
inline constexpr double kMinPermitRate = 0.25;

// A VM that is refused a permit asks again after at most this time.
inline constexpr milliseconds kMaxPermitWait{2'000};

// Takes a permit out of a bucket that fills at `per_second`. Returns
// std::nullopt if there was one, else the time after which to ask again; the
// VMs that are refused are told times at which they do not all return together.
std::optional<duration> TakePermit(permit_bucket& bucket,
                                   double per_second,
                                   instant now);

// Returns the VM that issues the permits of a target in `zone`. Empty if no VM
// is present.
std::string ChoosePermitIssuer(const membership& table,
                               std::string_view target,
                               std::string_view zone);

// Returns the share of the VMs that are present, out of those present or lost.
double PresentShare(const membership& table);

}  // namespace waxwing

#endif  // WAXWING_SEND_PERMITS_H_
