// The state that the entry's files share. Not part of the public interface.

#ifndef WAXWING_ENTRY_STATE_H_
#define WAXWING_ENTRY_STATE_H_

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "waxwing/agent.h"
#include "waxwing/cache_map.h"
#include "waxwing/cache_saves.h"
#include "waxwing/engine_choice.h"
#include "waxwing/entry.h"
#include "waxwing/http_server.h"
#include "waxwing/lease.h"
#include "waxwing/metrics.h"
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

// How far one kind of object has been read.
struct watch_position {
  std::uint64_t revision = 0;
  bool is_listed = false;
  instant last_answer;
  // Since when calls have failed, if they do.
  std::optional<instant> lost_since;
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
  placement_state placement;
  cache_map caches;
  // Followers of cache events that run, by address.
  std::set<endpoint> followed;
  // False after a failure of the cache store, until it answers again.
  bool is_store_usable = false;
  std::map<std::string, listed_target, std::less<>> targets;
  // By model.
  std::map<std::string, weights_history, std::less<>> goals;
  // By service.
  std::map<std::string, retry_budget, std::less<>> retries;
  cache_saves saved;
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

// --- entry_watch.cc

boost::asio::awaitable<void> WatchKind(entry_ptr state, object_kind kind);

// True if the entry can serve: it knows a configuration.
bool CanServe(const entry_state& state);

// --- entry_caches.cc

// Follows the cache events of the targets and stores in use.
boost::asio::awaitable<void> FollowCaches(entry_ptr state);

// --- entry_rollout.cc

boost::asio::awaitable<void> KeepWeights(entry_ptr state);

// VMs that take callers, this one included.
std::size_t CountServingVms(const entry_state& state);

}  // namespace waxwing

#endif  // WAXWING_ENTRY_STATE_H_
