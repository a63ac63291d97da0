// Replication of store objects and cache events within an availability zone.
//
// Workload: many VMs that would otherwise each watch the same objects of the
// store and subscribe to the same targets' cache events. Two VMs of a zone, its
// zone watchers, watch the store. They publish each change to the other VMs of
// the zone immediately, and several times a second how recent their data is. A
// VM reads the store itself as soon as it gets no messages from a zone watcher,
// or none of them is up to date. If a target does not accept subscriptions from
// all VMs, one VM of a zone subscribes to its cache events and publishes them
// to the others.

#ifndef WAXWING_REPLICATION_H_
#define WAXWING_REPLICATION_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "waxwing/membership.h"
#include "waxwing/types.h"

namespace waxwing {

// Two, so that a zone's VMs stay up to date when one of them fails.
inline constexpr std::size_t kWatchersPerZone = 2;

// Time between two periodic messages of a zone watcher.
inline constexpr milliseconds kPublishInterval{250};

// A zone watcher that has sent nothing for three intervals counts as failed.
inline constexpr milliseconds kWatcherTimeout{750};

// Returns the zone watchers of a zone, as this VM sees its members: the VMs
// with the largest capacity, since a small one can't send every change to all
// the others in time.
std::vector<std::string> ChooseZoneWatchers(const membership& table,
                                            std::string_view zone);

// What a VM knows of a zone watcher, for one kind of object.
struct watcher_status {
  // When the last message of the zone watcher arrived.
  instant last_contact;
  // When the store last confirmed to the zone watcher that it is up to date.
  instant synced_at;
};

// The store confirms a waiting watch call after its wait, and the next periodic
// message says so. A zone watcher whose data is older than the wait and this
// time has got no response.
inline constexpr milliseconds kMaxConfirmationDelay{300};

// True if the zone watcher is alive and up to date. `watch_wait` is the longest
// wait of its calls to the store.
inline bool IsUpToDate(const watcher_status& watcher,
                       milliseconds watch_wait,
                       instant now) {
  return now < watcher.last_contact + kWatcherTimeout &&
         now < watcher.synced_at + watch_wait + kMaxConfirmationDelay;
}

// Whether a VM subscribes to the events of a cache, and for whom.
enum class cache_subscriber_role {
  kNone,     // another VM of the zone subscribes, or none of the zone
  kForSelf,  // every VM subscribes for itself
  kForZone,  // this VM subscribes and publishes the events to its zone
};

// The VMs among which the subscribers of all caches are chosen. Made once for
// many caches.
struct cache_subscriber_pool {
  // VMs of all zones, and the hashes of the names of their zones.
  std::size_t vms = 0;
  std::vector<std::uint64_t> zones;
  std::uint64_t own_zone = 0;
  // Hashes of the names of this VM and of the VMs of its zone that need the
  // events.
  std::uint64_t self = 0;
  std::vector<std::uint64_t> zone_vms;
};

// `listed_vms` are the VMs of the zone that directory responses list.
cache_subscriber_pool MakeCacheSubscriberPool(
    const membership& table,
    std::string_view zone,
    std::span<const std::string> listed_vms);

// Decides whether this VM subscribes to the cache `cache_id`, which accepts
// `max_subscribers` subscribers at a time (0: any number).
cache_subscriber_role ChooseCacheSubscriberRole(
    const cache_subscriber_pool& pool,
    std::string_view cache_id,
    int max_subscribers);

}  // namespace waxwing

#endif  // WAXWING_REPLICATION_H_
