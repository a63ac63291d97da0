#include "waxwing/feed.h"

#include <algorithm>
#include <set>
#include <string>

#include "waxwing/hash.h"

namespace waxwing {
namespace {

// Calls kept free of the followers that a target takes, for VMs that see other
// members than this one does.
constexpr std::size_t kSpareFollowers = 3;

}  // namespace

cache_duty ChooseCacheDuty(const membership& table,
                           std::string_view source,
                           std::string_view zone,
                           int most) {
  std::size_t alive = 0;
  std::set<std::string_view> zones;
  for (const auto& [vm, record] : table.members) {
    if (record.data.status != member_status::kAlive && vm != table.self)
      continue;
    ++alive;
    zones.insert(record.data.zone);
  }
  const auto room = static_cast<std::size_t>(std::max(0, most));
  const std::size_t followers =
      room > kSpareFollowers ? room - kSpareFollowers : 1;
  if (most == 0 || alive <= followers)
    return cache_duty::kForSelf;
  const std::uint64_t key = Hash64(source);
  const std::uint64_t own = RendezvousWeight(key, Hash64(zone));
  const auto ahead = static_cast<std::size_t>(
      std::count_if(zones.begin(), zones.end(), [&](std::string_view other) {
        return RendezvousWeight(key, Hash64(other)) > own;
      }));
  if (ahead >= followers)
    return cache_duty::kNone;
  const auto chosen = ChooseInZone(table, source, zone, 1);
  return !chosen.empty() && chosen.front() == table.self ? cache_duty::kForZone
                                                         : cache_duty::kNone;
}

}  // namespace waxwing
