// What a VM reads by itself, and what others of its availability zone tell it.
//
// Load that this answers: many VMs that would each watch the same objects of
// the store and the same targets' caches. Two VMs of a zone read the store and
// tell the others of each change at once, and several times a second how far
// they have read; a VM reads by itself as soon as no reader is heard of, or
// none is up to date. A target's cache events are followed by one VM of a zone,
// which tells the others, where the target can't take all of them.

#ifndef WAXWING_FEED_H_
#define WAXWING_FEED_H_

#include <cstddef>
#include <string_view>

#include "waxwing/membership.h"
#include "waxwing/types.h"

namespace waxwing {

// Two, so that the loss of one leaves a zone's VMs up to date.
inline constexpr std::size_t kWatchersPerZone = 2;

// Between two messages of a reader.
inline constexpr milliseconds kPublishInterval{250};

// A reader that has been silent for three periods counts as gone.
inline constexpr milliseconds kWatcherTimeout{750};

// What a VM knows of a reader with regard to one kind of object.
struct watcher_status {
  // When the reader was last heard.
  instant last_contact;
  // When the store last told the reader that it is up to date.
  instant synced_at;
};

// True if the reader can be relied on. `read_timeout` is how long a reader's
// call to the store may take before it counts as lost.
inline bool IsUpToDate(const watcher_status& watcher,
                       milliseconds read_timeout,
                       instant now) {
  return now < watcher.last_contact + kWatcherTimeout &&
         now < watcher.synced_at + read_timeout + kWatcherTimeout;
}

enum class cache_subscriber_role {
  kNone,     // another VM follows the target, or none of the zone
  kForSelf,  // all VMs follow it
  kForZone,  // this VM follows it and tells the others of its zone
};

// This VM's duty for the target called `source`, which takes `most` followers
// at a time (0: any number).
cache_subscriber_role ChooseCacheSubscriberRole(const membership& table,
                                                std::string_view cache_id,
                                                std::string_view zone,
                                                int max_subscribers);

}  // namespace waxwing

#endif  // WAXWING_FEED_H_
