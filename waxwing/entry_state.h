// The state that the entry's files share. Not part of the public interface.

#ifndef WAXWING_ENTRY_STATE_H_
#define WAXWING_ENTRY_STATE_H_

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "waxwing/agent.h"
#include "waxwing/cache_map.h"
#include "waxwing/cache_saves.h"
#include "waxwing/engine_choice.h"
#include "waxwing/entry.h"
#include "waxwing/feed.h"
#include "waxwing/http_server.h"
#include "waxwing/lease.h"
#include "waxwing/metrics.h"
#include "waxwing/pacing.h"
#include "waxwing/peer_link.h"
#include "waxwing/placement.h"
#include "waxwing/retry.h"
#include "waxwing/rollout.h"
#include "waxwing/supervisor.h"

namespace waxwing {

// A target as listed, and its place in the placement's list.
struct listed_target {
  target_record record;
  std::uint32_t index = 0;
  // Missing from the store since it came back; dropped at this time unless it
  // is listed again.
  std::optional<instant> drop_at;
};

// A coroutine that waits for its turn; lives in its frame.
struct turn_waiter {
  boost::asio::steady_timer signal;
  bool is_granted = false;
  bool is_refused = false;

  explicit turn_waiter(boost::asio::any_io_executor executor)
      : signal(executor) {}
};

// How far one kind of object has been read.
struct watch_position {
  std::uint64_t revision = 0;
  bool is_listed = false;
  instant last_answer;
  // Since when calls have failed, if they do.
  std::optional<instant> lost_since;
};

// A reader of this VM's zone that tells it of the store.
struct feed_source {
  peer_link link;
  bool is_dialling = false;
  // When this VM last asked to be told.
  instant asked;
  instant heard;
  std::map<object_kind, instant> current_at;
};

// A VM that this one tells of the store.
struct feed_follower {
  peer_link link;
  instant heard;
};

// Changes of one target's cache that the VMs of the zone have yet to be told.
struct untold_changes {
  bool is_whole = false;
  std::vector<cached_segment> changes;
};

// Requests of one service that wait for their turn. Both lists run in step.
struct turn_queue {
  prefill_window at_engines;
  std::vector<queued_request> turns;
  std::vector<turn_waiter*> waiters;
};

struct entry_state {
  boost::asio::any_io_executor executor;
  entry_options options;
  dialect spoken;
  supervisor root;
  http_server callers;
  http_server readiness;
  http_server directory;
  http_pool pool;
  agent members;
  object_store store;
  metrics stats;
  std::mt19937_64 random;
  instant started;
  bool is_draining = false;
  // No answer names this VM any more; what still comes is refused.
  bool is_closed = false;
  // Invariant: the version never falls.
  std::shared_ptr<const route_table> table = std::make_shared<route_table>();
  std::map<object_kind, watch_position> watches;
  // VMs of this zone that read the store for it, this one perhaps included.
  std::vector<std::string> readers;
  // By VM.
  std::map<std::string, feed_source> sources;
  std::map<std::string, feed_follower> followers;
  // Objects as last read, for peers.
  std::map<object_kind, std::map<std::string, stored_object>> objects;
  placement_state placement;
  cache_map caches;
  // Followers of cache events that run, by address.
  std::set<endpoint> followed;
  // Caches that this VM follows for its zone, by address.
  std::map<endpoint, untold_changes> untold;
  // Links on which a VM of the zone has been told of all of them.
  std::map<std::string, peer_link> told;
  // False after a failure of the cache store, until it answers again.
  bool is_store_usable = false;
  std::map<std::string, listed_target, std::less<>> targets;
  // By model.
  std::map<std::string, weights_history, std::less<>> goals;
  // By service.
  std::map<std::string, retry_budget, std::less<>> retries;
  cache_saves saved;
  // By service.
  std::map<std::string, turn_queue, std::less<>> queues;
  lease_view lease;
  std::map<std::string, rollout_progress, std::less<>> rollouts;
};

using entry_ptr = std::shared_ptr<entry_state>;

// --- entry_forward.cc

boost::asio::awaitable<void> ForwardRequest(entry_ptr state,
                                            http_exchange& exchange);

// --- entry_targets.cc

// Brings the placement's list in line with a record, new or changed.
void InstallTarget(entry_state& state, const target_record& record);

// Notes that a target has other weights than its record says.
void NoteWeights(entry_state& state,
                 std::string_view target,
                 std::int64_t version);

// No new work for the target.
void RetireTarget(entry_state& state, const std::string& id);

// Brings zones, weights and rollouts into the targets' costs.
void RefreshTargets(entry_state& state, instant now);

// --- entry_turns.cc

// Waits until the turn's work may be sent to the service's engines, and counts
// it as sent. False: it must be refused, or its caller has left.
boost::asio::awaitable<bool> WaitForTurn(entry_ptr state,
                                         std::string service,
                                         queued_request turn,
                                         turn_waiter& waiter);

// Brings the smallest window in line with the engines and VMs there are.
void SetSmallestWindow(entry_state& state,
                       std::string_view service,
                       turn_queue& queue);

// Tokens of all requests that wait for their turn.
double WaitingTokens(const turn_queue& queue);

// Gives turns as far as there is room, and refuses what has become hopeless.
void GrantTurns(entry_state& state, std::string_view service);

// --- entry_watch.cc

boost::asio::awaitable<void> WatchKind(entry_ptr state, object_kind kind);

// Takes in one object of the store, or its removal.
void TakeInObject(entry_state& state,
                  object_kind kind,
                  const stored_object& object,
                  bool is_removed);

// Drops the objects of a kind that a whole list lacks.
void DropMissing(entry_state& state,
                 object_kind kind,
                 const object_list& listed);

// True if the entry can serve: it knows a configuration.
bool CanServe(const entry_state& state);

// --- entry_caches.cc

// Follows the cache events of the targets and stores in use.
boost::asio::awaitable<void> FollowCaches(entry_ptr state);

// The cache at an address: a target's index or kCacheStore.
std::optional<std::uint32_t> CacheAt(const entry_state& state,
                                     const endpoint& address);
std::uint32_t EpochOfCache(const entry_state& state, std::uint32_t index);

// Notes changes of a cache, by its own events or as a follower tells them.
void NoteCacheChanges(entry_state& state,
                      std::uint32_t index,
                      bool is_whole,
                      std::span<const cached_segment> changes);

// --- entry_cache_feed.cc

// Keeps changes that the other VMs of the zone are to be told.
void AddUntold(entry_state& state,
               const endpoint& address,
               bool is_whole,
               std::span<const cached_segment> changes);

void TakeInCacheChanges(entry_state& state, const wire::cache_changesT& told);

// Tells the other VMs of the zone of the caches that this one follows for them.
boost::asio::awaitable<void> TellCaches(entry_ptr state);

// --- entry_feed.cc

// Serves peers that ask for the store's objects, and takes in what they tell.
void ShareWithPeers(const entry_ptr& state);

// Tells the VMs that follow this one what the store has just told it, or all
// that it has of a kind.
void TellFollowers(entry_state& state,
                   object_kind kind,
                   const object_changes& changes);
void TellFollowersAll(entry_state& state, object_kind kind);

// True if a reader of the zone keeps this VM up to date on a kind of object.
bool IsTold(const entry_state& state,
            object_kind kind,
            milliseconds longest_read,
            instant now);

// Follows the readers of the zone, and tells those that follow this VM how far
// it has read.
boost::asio::awaitable<void> KeepFeed(entry_ptr state);

// Asks peers for the store's objects until the store itself has answered.
boost::asio::awaitable<void> AskPeers(entry_ptr state);

// --- entry_rollout.cc

boost::asio::awaitable<void> KeepWeights(entry_ptr state);

// VMs that take callers, this one included.
std::size_t CountServingVms(const entry_state& state);

}  // namespace waxwing

#endif  // WAXWING_ENTRY_STATE_H_
