// Leases: which agent holds a duty, with a fencing number.
//
// A lease is an object in the platform's store. Its holder counts the term from
// before it sent the renewal, on its own monotonic clock, and stops
// kLeaseMargin before the end. A candidate counts from when it first saw the
// object's current version; once that has not changed for the term and the
// longest order in flight, it takes the lease over with the next fencing
// number. Both clocks run only forward, and no wall clock is compared.
//
// The holder checks HoldsLease() immediately before each order. A holder that
// was paused after that check can still send an old order; engines that honour
// fencing numbers refuse it, and for the others the new holder keeps comparing
// the engine's real state with the desired one and repairs it.

#ifndef WAXWING_LEASE_H_
#define WAXWING_LEASE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "waxwing/json.h"
#include "waxwing/types.h"

namespace waxwing {

inline constexpr milliseconds kLeaseTerm{5'000};
inline constexpr milliseconds kLeaseRenewalInterval{1'500};
inline constexpr milliseconds kLeaseMargin{500};
inline constexpr milliseconds kMaxOrderDuration{1'000};

// The times of one lease.
struct lease_timing {
  milliseconds term = kLeaseTerm;
  milliseconds renewal_interval = kLeaseRenewalInterval;
  // The holder stops this long before the term ends.
  milliseconds margin = kLeaseMargin;
  // Time without a change after which another may take the lease.
  milliseconds takeover_timeout = kLeaseTerm + kMaxOrderDuration;
};

// The stored object.
struct lease_record {
  std::string holder;
  std::uint64_t incarnation = 0;
  std::uint64_t fencing_token = 0;
  // Rises with each renewal: a store may pass over a write that changes
  // nothing, and then nobody would see that the holder lives.
  std::uint64_t renewals = 0;

  bool operator==(const lease_record&) const = default;
};

// What one agent knows of a lease.
struct lease_view {
  lease_timing timing;
  std::string self;
  std::uint64_t incarnation = 0;
  // Last seen state of the object; version 0: absent.
  lease_record record;
  std::uint64_t version = 0;
  // When that version was first seen here.
  instant version_seen_at;
  // When the last renewal that took effect was sent.
  std::optional<instant> renewal_sent_at;
};

// What the agent should do next about the lease.
enum class lease_action {
  kWait,     // somebody else holds it
  kAcquire,  // put NextLeaseRecord() on condition of `version`
  kRenew,    // the same, as the holder
};

std::string WriteLease(const lease_record& record);
tl::expected<lease_record, json_error> ReadLease(std::string_view text);

// Notes what a read of the object showed. If it shows this agent as holder, a
// put whose answer was lost has taken effect; `sent` is when it was sent.
void ObserveLease(lease_view& view,
                  const lease_record& record,
                  std::uint64_t version,
                  instant now,
                  std::optional<instant> put_sent_at);

lease_action NextLeaseAction(const lease_view& view, instant now);

// The record to store for kAcquire or kRenew.
lease_record NextLeaseRecord(const lease_view& view, lease_action action);

// True if an order may be sent at `now`.
bool HoldsLease(const lease_view& view, instant now);

}  // namespace waxwing

#endif  // WAXWING_LEASE_H_
