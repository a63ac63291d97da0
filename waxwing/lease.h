// Leases with fencing tokens, for roles that at most one VM may have at a time.
//
// A lease is an object in a store with conditional writes. The holder measures
// the term from the time just before it sent the last successful renewal, on
// its own monotonic clock, and stops acting lease_timing::margin before the
// term ends. A candidate measures from the time it first saw the object's
// current version. If that version has not changed for the term plus the
// longest time an order can be in flight, the candidate acquires the lease with
// the next fencing token. Each VM uses only its own monotonic clock; wall
// clocks are never compared.
//
// The holder checks HoldsLease() immediately before it sends each order. A
// holder that is paused between the check and the send can still send an
// outdated order. Engines that honour fencing tokens reject it. For other
// engines the new holder keeps comparing the engine's actual state with the
// desired state and corrects any difference.

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

struct lease_timing {
  milliseconds term = kLeaseTerm;
  milliseconds renewal_interval = kLeaseRenewalInterval;
  // The holder stops acting this long before the term ends.
  milliseconds margin = kLeaseMargin;
  // Another VM may acquire the lease after the object has not changed for this
  // long.
  milliseconds takeover_timeout = kLeaseTerm + kMaxOrderDuration;
};

// The lease object as stored.
struct lease_record {
  std::string holder;
  std::uint64_t incarnation = 0;
  std::uint64_t fencing_token = 0;
  // Incremented by each renewal. A store may ignore a write that changes
  // nothing; candidates would then not see that the holder is alive.
  std::uint64_t renewals = 0;

  bool operator==(const lease_record&) const = default;
};

// One VM's view of a lease.
struct lease_view {
  lease_timing timing;
  // Name of this VM.
  std::string self;
  std::uint64_t incarnation = 0;
  // The object as last read. Version 0: the object does not exist.
  lease_record record;
  std::uint64_t version = 0;
  // When this VM first saw that version.
  instant version_seen_at;
  // When the last successful acquisition or renewal was sent.
  std::optional<instant> renewal_sent_at;
  // The store's era, 0 if it states none. The fencing tokens of an era are
  // larger than those of all earlier ones.
  std::uint64_t era = 0;
  // An object that does not exist in this era is created after this time: the
  // holder of an earlier era may not have learned of the loss.
  instant create_at;
  // The holder at the end of the last era may acquire the lease again until
  // then, as nobody else can have held it.
  instant reacquire_until;
};

// Forgets the lease of an earlier era of the store. `timing` must be up to
// date.
void StartLeaseEra(lease_view& view, std::uint64_t era, instant now);

// What this VM should do next about the lease.
enum class lease_action {
  kWait,     // nothing for now
  kAcquire,  // put NextLeaseRecord() if the object still has `version`
  kRenew,    // likewise, as the current holder
};

std::string WriteLease(const lease_record& record);
tl::expected<lease_record, json_error> ReadLease(std::string_view text);

// A put of a lease record by this VM.
struct lease_put {
  lease_record record;
  instant sent_at;
};

// Records the object as read from the store, or as written by this VM. If it is
// the record of `put`, the put took effect, even if its response was lost, and
// counts as the last renewal. An older record of this VM does not: the put may
// have been refused.
void ObserveLease(lease_view& view,
                  const lease_record& record,
                  std::uint64_t version,
                  instant now,
                  const std::optional<lease_put>& put);

// Records that the object can't be read, since another writer has replaced it.
// Its holder is unknown; the largest fencing token that the store can have held
// takes the place of its token, so that later ones are larger than all before.
void ObserveUnreadableLease(lease_view& view,
                            std::uint64_t version,
                            instant now);

lease_action NextLeaseAction(const lease_view& view, instant now);

// The record to store for kAcquire or kRenew.
lease_record NextLeaseRecord(const lease_view& view, lease_action action);

// True if an order may be sent at `now`.
bool HoldsLease(const lease_view& view, instant now);

}  // namespace waxwing

#endif  // WAXWING_LEASE_H_
