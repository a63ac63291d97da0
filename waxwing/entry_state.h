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

#include "waxwing/account_limits.h"
#include "waxwing/agent.h"
#include "waxwing/cache_map.h"
#include "waxwing/cache_saves.h"
#include "waxwing/crash_suspects.h"
#include "waxwing/engine_choice.h"
#include "waxwing/entry.h"
#include "waxwing/freshness.h"
#include "waxwing/held_memory.h"
#include "waxwing/http_server.h"
#include "waxwing/lease.h"
#include "waxwing/metrics.h"
#include "waxwing/pacing.h"
#include "waxwing/peer_choice.h"
#include "waxwing/peer_link.h"
#include "waxwing/placement.h"
#include "waxwing/replication.h"
#include "waxwing/retry.h"
#include "waxwing/rollout.h"
#include "waxwing/send_permits.h"
#include "waxwing/shared_load.h"
#include "waxwing/store_era.h"
#include "waxwing/stored_streams.h"
#include "waxwing/stream_builds.h"
#include "waxwing/supervisor.h"
#include "waxwing/target_reach.h"
#include "waxwing/vm_selection.h"

namespace waxwing {

// Where a change came from, for the log, and when it was made.
struct change_source {
  // "list" or "watch" of the store, "target", or the VM that has passed it on.
  std::string_view name;
  // The change was made after this time, if that is known.
  std::optional<instant> made_after;
};

// A target as listed in the store, and its index in the placement list.
struct listed_target {
  // The versions of its weights may be assumptions, see `reported_weights`.
  target_record record;
  std::uint32_t index = 0;
  // By model: the newest weights version that the store or the target itself
  // has stated. An assumed version is newer.
  std::map<std::string, std::int64_t, std::less<>> reported_weights;
  // By model: after the target has refuted an assumption, the next one is made
  // no sooner.
  std::map<std::string, instant, std::less<>> next_assumption_at;
  // When this start of the target was first listed, on a clock that keeps
  // running while the VM is suspended.
  instant listed_at;
  // The target itself has stated that it is leaving.
  bool has_stated_departure = false;
  // Set if the target is missing from the store after an outage: it is dropped
  // at this time unless it is listed again.
  std::optional<instant> drop_at;
};

// A target that was removed from the list.
struct removed_target {
  std::int64_t incarnation = 0;
  instant removed_at;
};

// A coroutine that waits in a dispatch queue. Owned by the coroutine frame.
struct dispatch_waiter {
  boost::asio::steady_timer wakeup;
  bool is_dispatched = false;
  bool is_refused = false;

  explicit dispatch_waiter(boost::asio::any_io_executor executor)
      : wakeup(executor) {}
};

// How far one kind of object has been read from the store.
struct watch_position {
  // This VM has all changes up to this revision, and knows none after it.
  std::uint64_t revision = 0;
  // At most `revision`: this VM knows no change after it. The store's revision
  // also increases by changes of other kinds.
  std::uint64_t changed_revision = 0;
  bool is_listed = false;
  // The store has lost changes of which this VM knew, and has not been listed
  // since.
  bool has_lost_changes = false;
  // This VM has all changes that the store made before this time. On a clock
  // that keeps running while the VM is suspended; empty until the first list.
  std::optional<instant> confirmed_at;
  // The same, as far as this VM has read the store itself and so has published
  // the changes to its subscribers.
  std::optional<instant> published_at;
  // On the same clock: when the last call began that failed right after another
  // one. It used a new connection, so the store itself was out of reach, while
  // a single failure may be that of a connection alone.
  instant unreachable_at;
  // Since when calls to the store have failed, if they do.
  std::optional<instant> unavailable_since;
  // The store itself was out of reach at some time since then, not only one
  // connection to it. Records of live targets may have expired meanwhile.
  bool is_outage = false;
  // No source has confirmed for some time that this VM has all changes.
  bool is_unconfirmed = false;
};

// A zone watcher that this VM is subscribed to.
struct replication_upstream {
  peer_link link;
  bool is_connecting = false;
  // It is no watcher of this VM's zone.
  bool is_outside = false;
  // When this VM last sent or renewed its subscription, and when it last
  // requested objects that it had missed.
  instant last_subscribed;
  instant last_requested;
  instant last_contact;
  // When the watcher's data was last up to date, by kind of object.
  std::map<object_kind, instant> current_at;
  transit_tracker transit;
  // Request rate of the zone, if the watcher knows it.
  std::optional<double> zone_requests_per_second;
};

// A VM that is subscribed to this one as a zone watcher.
struct replication_subscriber {
  peer_link link;
  instant last_contact;
  double requests_per_second = 0;
};

// The VMs that this one follows while neither the store nor a watcher of its
// zone serves it.
struct outside_source {
  bool is_needed = false;
  std::vector<std::string> vms;
  // Counts the choices of VMs.
  std::size_t attempt = 0;
  instant chosen_at;
};

// Requests that callers send to the VMs of this zone, and the VMs that
// directory responses therefore list.
struct zone_load {
  // Requests that this VM has received, in all and at the last update.
  std::uint64_t requests = 0;
  std::uint64_t requests_at_update = 0;
  instant updated;
  // Moving average of this VM's own requests per second.
  double own_rate = 0;
  peak_rate peak;
  // Empty if neither this VM nor a zone watcher knows it.
  std::optional<double> requests_per_second;
  // VMs of this zone, largest capacity first.
  std::vector<std::string> listed_vms;
  // Number of listed VMs in all zones.
  std::size_t total_listed = 1;
};

// A KV cache store of the configuration.
struct cache_store {
  // Index in the cache map.
  std::uint32_t index = 0;
  // Hash of its address, for rendezvous hashing.
  std::uint64_t address_hash = 0;
  std::string service;
  std::string zone;
  double link_mbps = 0;
  int max_event_subscribers = 0;
  // False until the store responds, to this VM or to the one of the zone that
  // is subscribed to it, and after a failure until it responds again.
  bool is_usable = false;
  cache_saves saves;
};

// Changes of one cache that have not been published to the VMs of the zone yet.
struct cache_change_batch {
  // The cache has responded, or has failed, since the last batch.
  bool is_due = false;
  bool is_lost = false;
  bool is_snapshot = false;
  std::vector<cached_segment> changes;
};

// Requests of one service that wait to be dispatched. `requests` and `waiters`
// have the same length and order.
struct dispatch_queue {
  prefill_window flow_control;
  std::vector<queued_request> requests;
  std::vector<dispatch_waiter*> waiters;
};

// A request that was sent to a target and has not started there. `model` and
// `weights_version` are set if it depends on the target's weights.
struct pending_start {
  std::string request_id;
  std::string target;
  std::string model;
  // The engine refuses to start the request on any other weights version.
  std::int64_t weights_version = 0;
  instant sent_at;
  // The engine itself refuses to start the request after the time limit, so its
  // refusal is awaited.
  bool has_target_deadline = false;
  // Closes the connection to the engine.
  http_abort* abort = nullptr;
  bool is_withdrawn = false;
  bool may_repeat = false;
  // This VM does not reach the target.
  bool is_cut_off = false;
};

// A coroutine that waits for a permit. Owned by the coroutine frame.
struct permit_waiter {
  boost::asio::steady_timer wakeup;
  bool has_response = false;
  // Time after which to ask again; empty if the permit is granted.
  std::optional<duration> wait;

  explicit permit_waiter(boost::asio::any_io_executor executor)
      : wakeup(executor) {}
};

// An attempt, and whether its target has survived it. Owned by the coroutine
// frame.
struct doubtful_attempt {
  std::string target;
  std::int64_t incarnation = 0;
  std::vector<suspect_key> keys;
  std::vector<suspect_key> trial_keys;
  std::int64_t weights_version = 0;
  bool has_survived = false;
};

// Whether a target to which connections broke still accepts new ones.
struct end_check {
  std::int64_t incarnation = 0;
  instant started;
  std::optional<bool> has_ended;
  // Cancelled when the result is known.
  boost::asio::steady_timer done;

  explicit end_check(boost::asio::any_io_executor executor) : done(executor) {}
};

// A coroutine that waits for the trial issuer's response. Owned by the
// coroutine frame.
struct trial_waiter {
  boost::asio::steady_timer wakeup;
  bool is_granted = false;
  std::vector<suspect_key> cleared_keys;

  explicit trial_waiter(boost::asio::any_io_executor executor)
      : wakeup(executor) {}
};

// A coroutine that waits for the replies of record keepers. Owned by the
// coroutine frame.
struct stream_query_waiter {
  boost::asio::steady_timer wakeup;
  // VMs that have not replied, and those of them that were linked.
  std::set<std::string> awaited;
  std::set<std::string> awaited_linked;
  // VMs that should have the record.
  std::set<std::string> keepers;
  std::size_t other_vms = 0;
  instant limit;
  // Of the records in the replies, the one with the highest attempt, and when
  // the first one arrived.
  std::optional<stream_record> record;
  instant recorded_at;
  stream_replies replies;

  explicit stream_query_waiter(boost::asio::any_io_executor executor)
      : wakeup(executor) {}
};

// A coroutine that waits for the response of an account's limiter. Owned by the
// coroutine frame.
struct charge_waiter {
  boost::asio::steady_timer wakeup;
  // Empty if the limiter has not decided.
  std::optional<charge_decision> decision;

  explicit charge_waiter(boost::asio::any_io_executor executor)
      : wakeup(executor) {}
};

// Limits of accounts: the buckets that this VM keeps in each role, by account,
// and its requests to other VMs.
struct account_charges {
  std::map<charge_role, std::map<std::string, account_bucket, std::less<>>>
      buckets;
  // By number of the request.
  std::map<std::uint64_t, charge_waiter*> waiters;
  std::uint64_t next_number = 1;
  // VMs that have not responded are not asked before this time.
  std::map<std::string, instant, std::less<>> silent_until;
};

// What this VM keeps in the store about its streams, and what it has read of
// the other VMs' (stored_streams.h).
struct stream_storage {
  // The stored object of this VM.
  std::uint64_t revision = 0;
  stored_streams written;
  instant written_at;
  // Streams of this VM's previous run.
  std::map<stream_key, stored_stream> inherited;
  // When the last read of the objects of all VMs began, and whether it was
  // complete.
  std::optional<instant> read_at;
  bool is_reading = false;
  bool is_read = false;
  // The last read found no object that can't be read.
  bool is_complete = false;
};

struct forward_run;

struct entry_state {
  explicit entry_state(boost::asio::any_io_executor e)
      : executor(e), probes_due(e) {}

  boost::asio::any_io_executor executor;
  entry_options options;
  protocol_adapter protocol;
  supervisor root;
  http_server caller_server;
  http_server readiness_server;
  http_server directory_server;
  http_pool pool;
  agent membership_agent;
  object_store store;
  // Highest era that the store or a peer has stated.
  std::uint64_t store_era = 0;
  metrics stats;
  std::mt19937_64 random;
  // On a clock that keeps running while the VM is suspended.
  instant started;
  stall_tracker stalls;
  bool is_draining = false;
  // Directory responses that list this VM have expired; new requests are
  // refused.
  bool is_closed = false;
  // Invariant: the version never decreases.
  std::shared_ptr<const route_table> table = std::make_shared<route_table>();
  std::map<object_kind, watch_position> watches;
  // The requests that are being forwarded. Owned by coroutine frames.
  std::set<forward_run*> runs;
  // VMs that watch the store for this zone, possibly including this one.
  std::vector<std::string> zone_watchers;
  zone_load caller_load;
  // By VM.
  std::map<std::string, replication_upstream> upstreams;
  outside_source outside;
  std::map<std::string, replication_subscriber> subscribers;
  // Objects as last read, to be sent to peers.
  std::map<object_kind, std::map<std::string, stored_object>> objects;
  placement_state placement;
  cache_map caches;
  // The VMs that may subscribe to cache events.
  cache_subscriber_pool cache_subscribers;
  // First calls to caches that wait for a response.
  int first_cache_calls = 0;
  // Caches whose events this VM is subscribed to.
  std::set<endpoint> subscribed_caches;
  // Changes of the caches that this VM is subscribed to on behalf of its zone.
  std::map<endpoint, cache_change_batch> pending_changes;
  // By VM of the zone: the link over which it was sent a snapshot of all these
  // caches.
  std::map<std::string, peer_link> synced_links;
  // By address.
  std::map<endpoint, cache_store> cache_stores;
  std::uint32_t next_cache_store = kFirstCacheStore;
  std::map<std::string, listed_target, std::less<>> targets;
  std::map<std::string, removed_target, std::less<>> removed_targets;
  // Records that the store has brought back from an older copy, of targets that
  // had left or started again: the revision in this era, by target.
  std::map<std::string, std::uint64_t, std::less<>> outdated_records;
  // By model.
  std::map<std::string, weights_history, std::less<>> desired_weights;
  std::set<pending_start*> pending_starts;
  target_reach reach;
  // When any target last sent data to this VM.
  instant last_target_data;
  // Targets to which a connection is being tried.
  std::set<std::string, std::less<>> probing;
  // Expires when targets are to be probed.
  boost::asio::steady_timer probes_due;
  // VMs to which requests are forwarded.
  peer_loads peers;
  shared_load zone_load_told;
  // A target has stated how much slower than usual its machine is.
  bool states_slowdown = false;
  // By target, at its permit issuer.
  std::map<std::string, permit_bucket, std::less<>> permit_buckets;
  // By number of the request for the permit.
  std::map<std::uint64_t, permit_waiter*> permit_waiters;
  std::uint64_t next_permit_number = 1;
  account_charges charges;
  suspect_table suspects;
  std::set<const doubtful_attempt*> doubtful_attempts;
  // By target.
  std::map<std::string, std::shared_ptr<end_check>> end_checks;
  // By number of the request for the trial.
  std::map<std::uint64_t, trial_waiter*> trial_waiters;
  std::uint64_t next_trial_number = 1;
  // Requests that wait for a trial.
  std::size_t trial_waiting = 0;
  // By service with streams that can be taken up again.
  std::map<std::string, build_history, std::less<>> builds;
  // Services whose streams are recorded at other VMs.
  std::map<std::string, bool, std::less<>> recorded_services;
  // How long a stream can be taken up after it has begun.
  duration stream_lifetime{};
  stream_table stream_records;
  stream_storage stream_store;
  // Streams that this VM has begun and that have not ended.
  std::map<stream_key, stream_record> running_streams;
  // By number of the query.
  std::map<std::uint64_t, stream_query_waiter*> stream_queries;
  std::uint64_t next_stream_query = 1;
  // Holds as last read from the store.
  std::map<suspect_key, hold> stored_holds;
  // By service.
  std::map<std::string, retry_budget, std::less<>> retry_budgets;
  // Bodies of requests and responses.
  std::shared_ptr<held_memory> held = std::make_shared<held_memory>();
  // By service.
  std::map<std::string, dispatch_queue, std::less<>> dispatch_queues;
  lease_view lease;
  std::map<std::string, rollout_progress, std::less<>> rollouts;
};

using entry_ptr = std::shared_ptr<entry_state>;

// --- entry_forward.cc

// Ends all requests that are being forwarded: those that have not been sent are
// refused, the others get what is known of them.
void CutRunsShort(entry_state& state);

boost::asio::awaitable<void> ForwardRequest(entry_ptr state,
                                            http_exchange& exchange);

// --- entry_targets.cc

// Adds a target to the placement list, or updates it, from its record. The
// caller updates the costs with RefreshTargets(), once for all changed records.
void AddOrUpdateTarget(entry_state& state,
                       const target_record& record,
                       const change_source& source = {});

// Records the weights version that a target states itself for a request that
// names `requested`, which may be empty.
void RecordTargetWeights(entry_state& state,
                         std::string_view target,
                         std::string_view requested,
                         std::int64_t version);

// True if this incarnation of the target was removed recently.
bool WasRemoved(const entry_state& state, const target_record& record);

// True if the record is of an earlier incarnation than the listed target's.
bool IsEarlierStart(const entry_state& state, const target_record& record);

// Removes a target from the list; it gets no new requests.
void DropTarget(entry_state& state,
                const std::string& id,
                const change_source& source = {});

// Updates the costs of all targets by zone, responsiveness, weights and
// rollouts, and drops targets whose `drop_at` has passed.
void RefreshTargets(entry_state& state, instant now);

// Returns the time left for a request to start on the target's weights, or
// empty if these are the newest.
std::optional<duration> TimeToStart(const entry_state& state,
                                    std::string_view model,
                                    std::int64_t weights_version);

// Withdraws the requests that have not started by the limit of their weights.
void WithdrawLateStarts(entry_state& state);

// --- entry_queue.cc

// Waits until the request may be sent to the service's engines, and counts its
// tokens as sent. Returns false if the request must be refused, or if its
// caller has disconnected.
boost::asio::awaitable<bool> WaitForDispatch(entry_ptr state,
                                             std::string service,
                                             queued_request request,
                                             dispatch_waiter& waiter);

// Updates the minimum size of the prefill window from the prefill rates of the
// engines and the number of VMs that callers use.
void UpdateWindowMinimum(entry_state& state,
                         std::string_view service,
                         dispatch_queue& queue);

// Returns the tokens of all queued requests.
double QueuedTokens(const dispatch_queue& queue);

// Dispatches queued requests while the prefill window has capacity, and refuses
// those that cannot be dispatched before their deadline.
void DispatchQueuedRequests(entry_state& state, std::string_view service);

// --- entry_watch.cc

boost::asio::awaitable<void> WatchKind(entry_ptr state, object_kind kind);

// Longest wait of a call that watches a kind of object.
milliseconds WatchWait(object_kind kind);

// Logs when the data of this VM has not been confirmed for some time, and when
// it is again.
void CheckConfirmations(entry_state& state);

// Applies an object of the store, or its removal. The caller updates the costs
// of the targets with RefreshTargets(), once for all applied objects.
void ApplyObject(entry_state& state,
                 object_kind kind,
                 const stored_object& object,
                 bool is_removed,
                 const change_source& source);

// Drops the objects of a kind that are missing from a complete list.
void DropMissing(entry_state& state,
                 object_kind kind,
                 const object_list& listed,
                 const change_source& source = {});

// Returns the time since the store is known to have confirmed that this VM has
// all changes of a kind, or empty if it never has.
std::optional<duration> KnowledgeAge(const entry_state& state,
                                     object_kind kind);

// Returns the time since a change was made at most, in milliseconds, or -1 if
// that is not known.
std::int64_t LatenessMs(const change_source& source);

// True if the entry can serve, that is, if it has a configuration.
bool CanServe(const entry_state& state);

// --- entry_notices.cc

// Records what a response of the target says about its departure or a pause,
// and tells other VMs. `request_id` is for the log.
void ObserveResponse(entry_state& state,
                     std::string_view target,
                     std::string_view request_id,
                     const response_info& facts);

// Records the rate of requests that the target states in its response to a
// request that was sent to it at `sent`.
void ObserveStatedRate(entry_state& state,
                       std::string_view target,
                       std::string_view request_id,
                       const response_info& facts,
                       instant sent);

// Applies what a target has told the VM `peer`.
void HandleTargetNotice(entry_state& state,
                        std::string_view peer,
                        const wire::target_noticeT& notice);

// Applies what another VM knows of the rate that a target states, and passes it
// on if it is news.
void LearnRate(entry_state& state,
               const listed_target& target,
               std::string_view peer,
               const stated_rate& rate);

// Sends a VM that has just connected what targets have stated.
void SendKnownNotices(const entry_state& state, const peer_link& link);

// Returns a hash over the departures that targets have stated, or 0 if there
// are none. Sends them to a VM that knows others.
std::uint64_t DeparturesHash(const entry_state& state);
void SendKnownDepartures(const entry_state& state, const peer_link& link);

// --- entry_permits.cc

// Handle a peer's request for a permit, and the response to one of this VM.
void HandlePermitRequest(entry_state& state,
                         const peer_link& link,
                         const wire::permit_requestT& request);
void HandlePermitResponse(entry_state& state,
                          const wire::permit_responseT& response);

// --- entry_accounts.cc

// Drops the buckets of accounts that have no limit any more.
void UpdateAccountLimits(entry_state& state);

// Handle a VM's request to charge an account, the response to one of this VM,
// and the return of a charge.
void HandleChargeRequest(entry_state& state,
                         const peer_link& link,
                         const wire::charge_requestT& request);
void HandleChargeResponse(entry_state& state,
                          const wire::charge_responseT& response);
void HandleChargeRefund(entry_state& state, const wire::charge_refundT& refund);

// --- entry_shared_load.cc

// True if the VMs of a zone tell each other what they have sent: where targets
// state that their machines change pace, or accounts compete for limited room.
bool SharesLoad(const entry_state& state);

// Tells the other VMs of the zone what this one has outstanding at targets.
boost::asio::awaitable<void> RunLoadSharing(entry_ptr state);

void HandleLoadNotice(entry_state& state,
                      std::string_view peer,
                      const wire::load_noticeT& notice);

// --- entry_suspects.cc

// Handles a message of a peer about ends, survivals, holds or trials.
void HandleSuspectMessage(entry_state& state,
                          const peer_link& link,
                          const wire::messageUnion& message);

// Sends a VM that has just connected the holds and the ends that count.
void SendKnownSuspects(const entry_state& state, const peer_link& link);

// Applies a hold that was read from the store.
void ApplyHoldObject(entry_state& state, const stored_object& object);

// Writes holds to the store, as the trial issuer of their service.
boost::asio::awaitable<void> RunHoldWriter(entry_ptr state);

// --- entry_streams.cc

// Determines from the configuration which services have streams that can be
// taken up again, and for how long.
void UpdateResumableServices(entry_state& state);

// Updates what this VM knows of the builds of services, from its list of
// targets.
void ObserveTargetBuilds(entry_state& state);

// Drops old records of streams, and sends those of running streams to their
// keepers when that becomes necessary.
void MaintainStreamRecords(const entry_ptr& state);

void HandleStreamRecord(entry_state& state,
                        const wire::stream_recordT& message);
void HandleStreamQuery(entry_state& state,
                       const peer_link& link,
                       const wire::stream_queryT& query);
void HandleStreamReply(entry_state& state,
                       const peer_link& link,
                       const wire::stream_replyT& reply);

// --- entry_stored_streams.cc

// Writes the origins of running streams to the store while services have
// several builds.
boost::asio::awaitable<void> RunStreamWriter(entry_ptr state);

// Reads what all VMs have stored about their streams, unless that has been done
// just now. If `must_be_new`, waits for a read that begins after this call.
// Returns false if the store does not respond.
boost::asio::awaitable<bool> ReadStoredStreamsOfAll(entry_ptr state,
                                                    bool must_be_new);

// --- entry_peers.cc

// Record that a new connection to a target was established, or that one which
// was begun at `started` was not.
void ObserveConnection(entry_state& state, std::string_view target);
void ObserveNoConnection(entry_state& state,
                         std::string_view target,
                         instant started);

// True if requests to a service should be forwarded to other VMs.
bool ReachesTooFewTargets(const entry_state& state, std::string_view service);

// True if this VM gets a connection to another target, or there is none.
boost::asio::awaitable<bool> ReachesOthers(entry_ptr state, std::string target);

// Probes targets that can't be reached, and those that are silent.
boost::asio::awaitable<void> RunReachProbes(entry_ptr state);

// --- entry_era.cc

// Records the era that a response of the store, or a peer's message, states.
// Returns false if the message is of an older era and must be ignored.
bool ObserveEra(entry_state& state, std::uint64_t era);

// The same for the result of a call to the store.
template <typename T>
bool ObserveEra(entry_state& state,
                const tl::expected<T, store_error>& result) {
  return ObserveEra(state, result ? result->era : result.error().era);
}

// --- entry_caches.cc

// Keeps this VM subscribed to the cache events of the targets and cache stores
// in use.
boost::asio::awaitable<void> SubscribeToCaches(entry_ptr state);

// Updates the list of cache stores from the configuration.
void UpdateCacheStores(entry_state& state);

// Returns the index of the target or cache store at an address.
std::optional<std::uint32_t> FindCache(const entry_state& state,
                                       const endpoint& address);
std::uint32_t CacheEpoch(const entry_state& state, std::uint32_t index);

// Applies changes of a cache, received from the cache itself or from the VM
// that is subscribed to it.
void ApplyCacheChanges(entry_state& state,
                       const endpoint& address,
                       std::uint32_t index,
                       bool is_snapshot,
                       std::span<const cached_segment> changes);

// Records whether the cache store at an address responds. Has no effect if
// there is none.
void SetStoreUsable(entry_state& state,
                    const endpoint& address,
                    bool is_usable);

// --- entry_cache_replication.cc

// Queues changes to be published to the other VMs of the zone. The first ones
// of a cache are replaced by all of its segments.
void AddPendingChanges(entry_state& state,
                       const endpoint& address,
                       bool is_snapshot,
                       std::span<const cached_segment> changes);

// Queues the message to the other VMs of the zone that a cache store does not
// respond.
void AddPendingLoss(entry_state& state, const endpoint& address);

// Applies cache changes that another VM of the zone has published.
void HandleCacheChanges(entry_state& state,
                        const wire::cache_changesT& message);

// Publishes changes of the caches that this VM is subscribed to on behalf of
// its zone.
boost::asio::awaitable<void> RunCachePublisher(entry_ptr state);

// --- entry_replication.cc

// Handles replication messages of peers: sends them the store's objects on
// request, and applies the objects and cache changes that they send.
void HandlePeerMessages(const entry_ptr& state);

// Publish to the subscribers of this VM what the store has just returned, or
// all known objects of a kind.
// The changes follow what the store held at revision `after`; they were made
// after `made_after`, if that is known.
void PublishChanges(entry_state& state,
                    object_kind kind,
                    const object_changes& changes,
                    std::uint64_t after,
                    std::optional<instant> made_after);
void PublishSnapshot(entry_state& state, object_kind kind);

// True if this VM watches the store for its zone.
bool IsZoneWatcher(const entry_state& state);

// True if a watcher of its own zone keeps this VM up to date on a kind of
// object.
bool IsSynced(const entry_state& state,
              object_kind kind,
              milliseconds watch_wait,
              instant now);

// Keeps this VM subscribed to the zone watchers, and reports to its own
// subscribers how recent its data is.
boost::asio::awaitable<void> RunReplication(entry_ptr state);

// Requests the store's objects from peers until configuration and targets are
// known.
boost::asio::awaitable<void> RunPeerBootstrap(entry_ptr state);

// --- entry_directory.cc

// Updates the request rate of the zone and the VMs that are listed.
void UpdateListedVms(entry_state& state, instant now);

// Responds to a caller that asks which VMs to use.
boost::asio::awaitable<void> HandleDirectory(entry_ptr state,
                                             http_exchange& exchange);

// TTL of directory responses.
milliseconds DirectoryTtl(const entry_state& state);

// --- entry_rollout.cc

boost::asio::awaitable<void> RunRollout(entry_ptr state);

lease_timing RolloutLeaseTiming(const entry_state& state);

// Returns the number of VMs that accept callers, at least 1.
std::size_t CountServingVms(const entry_state& state);

}  // namespace waxwing

#endif  // WAXWING_ENTRY_STATE_H_
