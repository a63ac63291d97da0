// One forwarded request and its attempt at one target. Not part of the public
// interface.

#ifndef WAXWING_ENTRY_RUN_H_
#define WAXWING_ENTRY_RUN_H_

#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "waxwing/entry_state.h"

namespace waxwing {

enum class forward_outcome {
  kDone,        // the caller has an answer of a target
  kNotRun,      // certain not to have run
  kFailed,      // a target's own failure that may be tried elsewhere
  kBroken,      // may have run; no whole answer
  kTimedOut,    // the time was up
  kCallerGone,  // nobody waits for an answer
};

struct forward_run {
  entry_ptr state;
  http_exchange& exchange;
  inbound_request request;
  std::shared_ptr<const route_table> table;
  const route* matched_route = nullptr;
  account_info account;
  std::string service;
  prefix_chain chain;
  // The parts as cached under a salt, by weights version.
  std::map<std::string, std::vector<cached_part>, std::less<>> cached_segments;
  instant arrived;
  instant deadline;
  http_abort abort;
  bool caller_gone = false;
  // Requests sent, targets that may have run it, and those of them that could
  // not be reached any more afterwards.
  int sends = 0;
  int possible_runs = 0;
  int possible_runs_at_gone = 0;
  int failed_target = -1;
  // The caller has the head of a stream, and its events up to `last_event`.
  bool stream_started = false;
  std::uint64_t last_event_id = 0;
  // Figures for the log: time to the first byte, the longest pause between
  // events, and what was known of the target when it was chosen.
  std::optional<duration> time_to_first_byte;
  duration longest_pause{};
  instant last_delivery;
  std::string target_id;
  std::uint32_t cached_tokens = 0;
  int target_in_flight = 0;
  int target_waiting = 0;
  std::string cache_source;
  // Set while the request waits for its turn.
  dispatch_waiter* waiter = nullptr;
  // Work counted at the engines until the answer begins.
  double window_tokens = 0;
  duration queue_time{};
  // Kept while another target is tried.
  std::optional<http_response> failure_response;
};

// One attempt at a target.
struct dispatch {
  placement chosen;
  engine_choice engine;
  listed_target target;
  std::uint32_t uncached_tokens = 0;
  std::uint32_t epoch = 0;
  instant started;
  bool is_prefilled = false;
  // The target has begun to answer.
  bool has_response = false;
};

// --- entry_forward.cc

std::string_view NameOf(forward_outcome outcome);

// Time until the request's deadline, 1 ms at least.
milliseconds TimeLeft(const forward_run& run);

// --- entry_dispatch.cc

// Computes the prompt's chain, whose head chooses the home.
void PreparePrompt(forward_run& run);

// The engine that the request would be sent to now.
std::optional<engine_choice> ChooseEngineFor(forward_run& run,
                                             bool is_last_resort);

// Chooses a target and counts the request there; FinishDispatch() is owed.
// Nothing if no target serves the request.
std::optional<dispatch> ChooseTarget(forward_run& run);

// What the target is told beside the caller's request.
run_order MakeRunOrder(forward_run& run, const dispatch& attempt);

// True if the dispatch still speaks of the target that is at its place.
bool IsCurrent(const entry_state& state, const dispatch& attempt);

// Notes the load that an answer tells.
void UpdateTargetLoad(entry_state& state,
                      const dispatch& attempt,
                      const answer_facts& facts);

// Notes that the target has begun to answer.
void MarkResponding(forward_run& run, dispatch& attempt);

// Notes that the prompt has been read, and that its parts are held there.
void MarkPrefilled(entry_state& state, dispatch& attempt);
void RecordCachedSegments(forward_run& run, const dispatch& attempt);

// Counts the request's work at the engines no longer.
void ReleaseWindowTokens(forward_run& run,
                         std::optional<duration> time_to_first_byte);

// Accounting after the target has been left, for whatever reason.
void FinishDispatch(forward_run& run,
                    dispatch& attempt,
                    forward_outcome outcome);

// --- entry_relay.cc

// Sends the request to the target and passes its answer on.
boost::asio::awaitable<forward_outcome> RunAtTarget(forward_run& run,
                                                    dispatch& attempt);

}  // namespace waxwing

#endif  // WAXWING_ENTRY_RUN_H_
