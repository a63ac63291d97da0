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

enum class run_end {
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
  const route* path = nullptr;
  account_info account;
  std::string service;
  prefix_chain chain;
  // The parts as cached under a salt, by weights version.
  std::map<std::string, std::vector<cached_segment>, std::less<>> parts;
  instant arrived;
  instant deadline;
  http_abort abort;
  bool caller_gone = false;
  // Requests sent, targets that may have run it, and those of them that could
  // not be reached any more afterwards.
  int sends = 0;
  int runs = 0;
  int runs_at_ended = 0;
  int avoid = -1;
  // The caller has the head of a stream, and its events up to `last_event`.
  bool began = false;
  std::uint64_t last_event = 0;
  // Figures for the log: time to the first byte, the longest pause between
  // events, and what was known of the target when it was chosen.
  std::optional<duration> first_byte;
  duration longest_pause{};
  instant last_delivery;
  std::string target;
  std::uint32_t cached_tokens = 0;
  int in_flight = 0;
  int waiting = 0;
  std::string cache_source;
  // Set while the request waits for its turn.
  turn_waiter* waiter = nullptr;
  // Work counted at the engines until the answer begins.
  double paced_tokens = 0;
  duration queued{};
  // Kept while another target is tried.
  std::optional<http_response> failure;
};

// One attempt at a target.
struct dispatch {
  placement chosen;
  engine_choice engine;
  listed_target target;
  std::uint32_t missed = 0;
  std::uint32_t epoch = 0;
  instant started;
  bool prefilled = false;
  // The target has begun to answer.
  bool heard = false;
};

// --- entry_forward.cc

std::string_view NameOf(run_end end);

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
run_order MakeOrder(forward_run& run, const dispatch& sent);

// True if the dispatch still speaks of the target that is at its place.
bool IsCurrent(const entry_state& state, const dispatch& sent);

// Notes the load that an answer tells.
void LearnLoad(entry_state& state,
               const dispatch& sent,
               const answer_facts& facts);

// Notes that the target has begun to answer.
void MarkHeard(forward_run& run, dispatch& sent);

// Notes that the prompt has been read, and that its parts are held there.
void MarkPrefilled(entry_state& state, dispatch& sent);
void NotePartsHeld(forward_run& run, const dispatch& sent);

// Counts the request's work at the engines no longer.
void EndPacedWork(forward_run& run, std::optional<duration> first_byte);

// Accounting after the target has been left, for whatever reason.
void FinishDispatch(forward_run& run, dispatch& sent, run_end end);

// --- entry_relay.cc

// Sends the request to the target and passes its answer on.
boost::asio::awaitable<run_end> RunAtTarget(forward_run& run, dispatch& sent);

}  // namespace waxwing

#endif  // WAXWING_ENTRY_RUN_H_
