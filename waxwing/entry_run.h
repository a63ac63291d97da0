// State of one forwarded request and of one attempt at a target. Not part of
// the public interface.

#ifndef WAXWING_ENTRY_RUN_H_
#define WAXWING_ENTRY_RUN_H_

#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "waxwing/entry_state.h"
#include "waxwing/forwarded_request.h"
#include "waxwing/hash.h"
#include "waxwing/stream_builds.h"

namespace waxwing {

enum class forward_outcome {
  kDone,        // a target's response was sent to the caller
  kNotRun,      // certainly has not run
  kFailed,      // an error of the target that may be retried elsewhere
  kBroken,      // may have run; no complete response
  kTimedOut,    // the deadline has passed
  kWithdrawn,   // not started by the limit of the target's weights, as far as
                // this VM knows
  kCallerGone,  // the caller has disconnected
};

// Why a request is not sent, for the caller.
struct send_refusal {
  std::string_view reason;
  duration retry_after{};
};

// A trial that the trial issuer has permitted.
struct trial_permit {
  std::uint64_t number = 0;
  std::string issuer;
  std::vector<suspect_key> keys;
};

// What a request has been charged to its account, and which VM keeps the
// bucket.
struct account_charge {
  std::string vm;
  charge_role role = charge_role::kLimiter;
  double amount = 0;
};

// Maximum number of times that a VM sends a request to targets. If that many
// refuse it, the service as a whole has no capacity.
inline constexpr int kMaxSends = 4;

// A request of a caller while it is being forwarded.
struct forward_run {
  entry_ptr state;
  http_exchange& exchange;
  inbound_request request;
  std::shared_ptr<const route_table> table;
  // Age of what this VM knew of the configuration when the request arrived.
  std::optional<duration> config_age;
  const route* matched_route = nullptr;
  account_info account;
  // Equal for the copies of a request that a caller sends under several IDs.
  hash128 fingerprint;
  std::string service;
  // The model by which targets are chosen; empty if any of them may run the
  // request on its only one.
  std::string model;
  std::vector<suspect_key> suspect_keys;
  // The current attempt is a trial.
  std::optional<trial_permit> trial;
  // The current attempt; null between attempts.
  doubtful_attempt* doubt = nullptr;
  // Targets that ended while they may have been running this request.
  int ends_in_doubt = 0;
  std::optional<send_refusal> refused;
  std::optional<account_charge> charge;
  // The accounts with which the request shares cache entries, and the
  // configuration that says so: the newest one at the last choice of a target.
  std::string cache_group;
  std::shared_ptr<const route_table> cache_group_table;
  prefix_chain chain;
  // The prompt's segments with their cache keys, by cache salt.
  std::map<std::string, std::vector<cached_segment>, std::less<>>
      cached_segments;
  instant arrived;
  instant deadline;
  http_abort abort;
  bool caller_gone = false;
  // The process ends: nothing more is sent, and what waits is refused.
  bool is_cut_short = false;
  // Requests sent; targets that may have run the request; and those of them
  // that accepted no connection afterwards.
  int sends = 0;
  int possible_runs = 0;
  int possible_runs_at_gone = 0;
  // Of the route's attempts, those that the VM that forwarded the request has
  // used.
  int attempts_before = 0;
  // Number of the current attempt at a target, counted over all VMs that the
  // request comes to.
  std::uint32_t attempt_number = 0;
  // Set if another VM has forwarded the request to this one.
  std::optional<forwarded_request> forwarded;
  // Targets to which no connection came about.
  int unreached = 0;
  // The request is forwarded, whatever this VM has found out from others.
  bool prefers_peer = false;
  // Other VMs were tried; none of them could serve the request.
  bool is_declined = false;
  bool peers_failed = false;
  // Counted in the retry budget.
  bool is_counted = false;
  // Index of the last target that failed, which is not tried next; or -1.
  int failed_target = -1;
  // The caller has received the head of a stream, and its events up to
  // `last_event_id`.
  bool stream_started = false;
  std::uint64_t last_event_id = 0;
  // The caller may have an event without an ID, so it is not known where
  // another target would have to go on.
  bool has_unnumbered_event = false;
  // The target that began the stream, once the caller has an event of it.
  std::optional<stream_origin> origin;
  // Set if other VMs had to be told before that where the stream would begin.
  // They may miss a later record, so it begins at no other build.
  std::optional<std::string> told_build;
  // For the log: time to the first byte, the longest pause between events, and
  // the state of the target when it was chosen.
  std::optional<duration> time_to_first_byte;
  duration longest_pause{};
  instant last_delivery;
  std::string target_id;
  std::string target_build;
  std::uint32_t cached_tokens = 0;
  int target_in_flight = 0;
  int target_waiting = 0;
  std::string cache_source;
  std::optional<double> target_rate;
  // For the log, of the last attempt: the weights version that the target was
  // expected to have, the time since this VM learned of a newer one (empty if
  // it knew none), and the time from sending to the first byte of the response.
  std::int64_t weights_version = 0;
  std::optional<duration> outdated_for;
  // Age of what this VM knew of targets when it chose one.
  std::optional<duration> targets_age;
  std::optional<duration> time_to_start;
  // The last attempt, listed in the entry's state until it starts.
  pending_start start;
  // Set while the request is in the dispatch queue.
  dispatch_waiter* waiter = nullptr;
  // Prompt tokens counted against the prefill window until the response begins.
  double window_tokens = 0;
  duration queue_time{};
  // The error response of the last target, sent to the caller if no further
  // target is tried.
  std::optional<http_response> failure_response;
};

// The target chosen for an attempt.
struct target_choice {
  placement chosen;
  engine_choice engine;
  // The target has stated a request rate, and this VM has a permit to send it
  // one request.
  bool has_permit = false;
};

// One attempt at a target.
struct dispatch {
  placement chosen;
  engine_choice engine;
  listed_target target;
  // The model that the target runs the request on, and the version of its
  // weights. Empty and 0 if that is not known.
  model_weights weights;
  std::uint32_t uncached_tokens = 0;
  std::uint32_t epoch = 0;
  instant started;
  bool has_permit = false;
  // Time for the request to start at the target, counted from `started`, if its
  // weights are outdated.
  std::optional<duration> time_to_start;
  bool is_prefilled = false;
  // For the log: why the target's response is missing or incomplete.
  std::string failure;
  // The connection to the target broke after the request may have been sent.
  bool connection_broke = false;
  // No connection to the target came about.
  bool is_unreached = false;
  // The target has begun to respond, and the caller has an event of it.
  bool has_response = false;
  bool has_delivered = false;
};

// --- entry_forward.cc

std::string_view NameOf(forward_outcome outcome);

// Returns how many of the route's attempts the request has used.
int UsedAttempts(const forward_run& run);

// Returns the time until the request's deadline, at least 1 ms.
milliseconds TimeLeft(const forward_run& run);

// --- entry_dispatch.cc

// Computes with whom the request shares cache entries, and the prompt's prefix
// chain, whose head determines the home target. Has an effect again if a newer
// configuration has come into force: the request may have waited meanwhile.
void PreparePrompt(forward_run& run);

// Returns the engine that the request would be sent to now.
std::optional<engine_choice> ChooseEngineFor(forward_run& run,
                                             bool is_last_resort);

// Chooses a target. Returns std::nullopt if none can serve the request.
std::optional<target_choice> ChooseTarget(forward_run& run);

// Counts the request as in flight at the target until FinishDispatch().
dispatch BeginDispatch(forward_run& run, const target_choice& choice);

// Returns what is sent to the target in addition to the caller's request.
attempt_parameters MakeRunOrder(forward_run& run, const dispatch& attempt);

// Returns the origin of a stream that begins with this attempt.
stream_origin OriginAt(const dispatch& attempt);

// True if the attempt's index in the placement list still refers to the same
// target.
bool IsCurrent(const entry_state& state, const dispatch& attempt);

// Updates the target's load from the one reported in a response.
void UpdateTargetLoad(entry_state& state,
                      const dispatch& attempt,
                      const response_info& facts);

// Records that the target has begun to respond.
void MarkResponding(forward_run& run, dispatch& attempt);

// Record that the prompt has been prefilled, and that its segments are now
// cached at the target.
void MarkPrefilled(entry_state& state, dispatch& attempt);
void RecordCachedSegments(forward_run& run, const dispatch& attempt);

// Removes the request's tokens from the prefill window. `time_to_first_byte` is
// empty if the target has not responded.
void ReleaseWindowTokens(forward_run& run,
                         std::optional<duration> time_to_first_byte);

// Ends the accounting of an attempt, whatever its outcome.
void FinishDispatch(forward_run& run,
                    dispatch& attempt,
                    forward_outcome outcome);

// True if the request has a prompt and the weights of its target are known.
bool DependsOnWeights(const forward_run& run, const dispatch& attempt);

// --- entry_streams.cc

// True if the request continues a stream that the caller has received in part.
bool IsTakenUp(const forward_run& run);

// Finds out where the stream began that the request continues. Returns false if
// that is not known, so that the request must not be sent.
boost::asio::awaitable<bool> FindOrigin(forward_run& run);

// Call before the attempt is sent. Connects to the VMs that will get the record
// of the stream that it may begin.
void ConnectToRecordKeepers(const forward_run& run, const dispatch& attempt);

// Records that a stream begins with this attempt, whose first event is about to
// be sent to the caller.
void RecordStreamStart(forward_run& run, const dispatch& attempt);

// True if the attempt begins a stream at a build at which other VMs do not yet
// expect any, because no other target can be used.
bool BeginsEarly(const forward_run& run, const dispatch& attempt);

// Tells other VMs where the attempt will begin a stream, and waits until one of
// them has the record. Returns false if none confirms that, so that the stream
// must not begin there.
boost::asio::awaitable<bool> AnnounceStreamStart(forward_run& run,
                                                 const dispatch& attempt);

// True if the target has started again, or has another build, by a record that
// was read after it was chosen for the attempt.
bool HasRestarted(const entry_state& state, const dispatch& attempt);

// True if the stream may have begun at a later start of its target than the one
// that was known when the request was sent.
bool IsOriginInDoubt(const forward_run& run);

// Call when the request has ended.
void ForgetRunningStream(forward_run& run);

// --- entry_permits.cc

// Chooses a target, and obtains a permit if that has stated a request rate.
// Returns std::nullopt if no target can serve the request now.
boost::asio::awaitable<std::optional<target_choice>> ChoosePermittedTarget(
    forward_run& run);

// --- entry_accounts.cc

// Charges the request to its account, if that has a limit. Returns why the
// request is refused, if it is.
struct charge_refusal {
  unsigned status = 0;
  std::string_view reason;
  duration retry_after{};
};
boost::asio::awaitable<std::optional<charge_refusal>> ChargeAccount(
    forward_run& run);

// Returns the charge of a request that has not run.
void RefundCharge(forward_run& run);

// --- entry_suspects.cc

// Determines what the request has in common with others.
void FindSuspectKeys(forward_run& run);

// Waits until the request may be sent, as a trial if its keys are suspected.
// Returns false if it may not; `run.refused` says why.
boost::asio::awaitable<bool> AdmitSuspect(forward_run& run);

// Ends the trial of the current attempt, if it is one.
void FinishTrial(forward_run& run);

// Lists an attempt as doubtful for the lifetime of this object.
struct doubtful_listing {
  forward_run& run;
  doubtful_attempt listed;

  doubtful_listing(forward_run& run, const dispatch& attempt);
  ~doubtful_listing();
  doubtful_listing(const doubtful_listing&) = delete;
  doubtful_listing& operator=(const doubtful_listing&) = delete;
};

// Records that the target has survived the request, which clears its keys.
void MarkSurvived(forward_run& run, const dispatch& attempt);

// Finds out whether the target of an attempt whose connection broke has ended,
// and reports its end.
boost::asio::awaitable<void> InvestigateBreak(forward_run& run,
                                              const dispatch& attempt);

// True if a response that has ended with its connection is not complete,
// because the target itself has ended.
boost::asio::awaitable<bool> IsCutByEnd(forward_run& run,
                                        const dispatch& attempt,
                                        const http_call& call);

// --- entry_peers.cc

// Records that the request got no connection to its target.
void ObserveUnreached(forward_run& run, const dispatch& attempt);

// True if the request should be sent to another VM instead of a target.
bool ShouldForward(const forward_run& run);

// Sends the request to other VMs until one has run it, and relays its response.
boost::asio::awaitable<forward_outcome> RunAtPeers(forward_run& run);

// --- entry_relay.cc

// Returns the outcome of a response that is too long.
forward_outcome RejectLongResponse(forward_run& run, std::size_t size);

// True if a caller takes a response with this status as a statement that its
// request has not run and never will.
bool PromisesNotRun(unsigned status);

// Sends the head of a stream to the caller. Returns false if the caller has
// disconnected.
boost::asio::awaitable<bool> DeliverHead(forward_run& run,
                                         const http_call& call);

// Sends the request to the target and relays its response.
boost::asio::awaitable<forward_outcome> RunAtTarget(forward_run& run,
                                                    dispatch& attempt);

}  // namespace waxwing

#endif  // WAXWING_ENTRY_RUN_H_
