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

std::vector<std::string> ChooseZoneWatchers(const membership& table,
                                            std::string_view zone) {
  std::vector<std::string> out = ChooseVmsInZone(
      table, "store/" + std::string(zone), zone, table.members.size());
  const auto capacity = [&](const std::string& vm) {
    return table.members.at(vm).data.request_capacity;
  };
  std::stable_sort(out.begin(), out.end(),
                   [&](const std::string& a, const std::string& b) {
                     return capacity(a) > capacity(b);
                   });
  out.resize(std::min(out.size(), kWatchersPerZone));
  return out;
}

cache_subscriber_pool MakeCacheSubscriberPool(
    const membership& table,
    std::string_view zone,
    std::span<const std::string> listed_vms) {
  cache_subscriber_pool out;
  out.self = Hash64(table.self);
  out.own_zone = Hash64(zone);
  std::set<std::string_view> zones;
  for (const auto& [vm, record] : table.members) {
    if (record.data.status != member_status::kAlive && vm != table.self)
      continue;
    ++out.vms;
    zones.insert(record.data.zone);
  }
  for (const std::string_view name : zones)
    out.zones.push_back(Hash64(name));
  for (const std::string& vm : listed_vms)
    out.zone_vms.push_back(Hash64(vm));
  return out;
}

cache_subscriber_role ChooseCacheSubscriberRole(
    const cache_subscriber_pool& pool,
    std::string_view cache_id,
    int max_subscribers) {
  const auto capacity = static_cast<std::size_t>(std::max(0, max_subscribers));
  const std::size_t subscriber_limit =
      capacity > kReservedSubscriptions ? capacity - kReservedSubscriptions : 1;
  if (max_subscribers == 0 || pool.vms <= subscriber_limit)
    return cache_subscriber_role::kForSelf;
  const std::uint64_t key = Hash64(cache_id);
  const std::uint64_t own = RendezvousWeight(key, pool.own_zone);
  const auto zones_ahead = static_cast<std::size_t>(std::count_if(
      pool.zones.begin(), pool.zones.end(),
      [&](std::uint64_t other) { return RendezvousWeight(key, other) > own; }));
  if (zones_ahead >= subscriber_limit)
    return cache_subscriber_role::kNone;
  const auto chosen = RendezvousPick(key, pool.zone_vms, 1);
  return !chosen.empty() && pool.zone_vms[chosen.front()] == pool.self
             ? cache_subscriber_role::kForZone
             : cache_subscriber_role::kNone;
}

}  // namespace waxwing
