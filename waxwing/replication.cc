#include "waxwing/replication.h"

#include <algorithm>
#include <set>
#include <string>

#include "waxwing/hash.h"

namespace waxwing {
namespace {

// Subscriptions of a cache that stay unused, as a reserve for VMs whose member
// tables differ from this VM's.
constexpr std::size_t kReservedSubscriptions = 3;

}  // namespace

cache_subscriber_role ChooseCacheSubscriberRole(const membership& table,
                                                std::string_view cache_id,
                                                std::string_view zone,
                                                int max_subscribers) {
  std::size_t alive = 0;
  std::set<std::string_view> zones;
  for (const auto& [vm, record] : table.members) {
    if (record.data.status != member_status::kAlive && vm != table.self)
      continue;
    ++alive;
    zones.insert(record.data.zone);
  }
  const auto capacity = static_cast<std::size_t>(std::max(0, max_subscribers));
  const std::size_t subscriber_limit =
      capacity > kReservedSubscriptions ? capacity - kReservedSubscriptions : 1;
  if (max_subscribers == 0 || alive <= subscriber_limit)
    return cache_subscriber_role::kForSelf;
  const std::uint64_t key = Hash64(cache_id);
  const std::uint64_t own = RendezvousWeight(key, Hash64(zone));
  const auto zones_ahead = static_cast<std::size_t>(
      std::count_if(zones.begin(), zones.end(), [&](std::string_view other) {
        return RendezvousWeight(key, Hash64(other)) > own;
      }));
  if (zones_ahead >= subscriber_limit)
    return cache_subscriber_role::kNone;
  const auto chosen = ChooseVmsInZone(table, cache_id, zone, 1);
  return !chosen.empty() && chosen.front() == table.self
             ? cache_subscriber_role::kForZone
             : cache_subscriber_role::kNone;
}

}  // namespace waxwing
