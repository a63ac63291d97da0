// One chat completion and its attempts at targets. Not part of the public
// interface.

#ifndef WAXWING_CHAT_RUN_H_
#define WAXWING_CHAT_RUN_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "waxwing/router_state.h"
#include "waxwing/sse.h"

namespace waxwing {

enum class attempt_result {
  kCompleted,
  kCallerGone,
  kNotSent,       // no byte of the request was sent
  kRefused,       // the target responded with a status other than 200
  kStreamFailed,  // no valid response, or its stream broke or stalled
};

// State of a completion over all attempts.
struct chat_run {
  router_ptr state;
  http_exchange& exchange;
  const admitted_request& request;
  const chat_request& chat;
  std::optional<ticket_id> claimed_ticket;
  std::string weights_version;
  prefix_chain chain;
  // Index of the next token to deliver.
  std::uint64_t next_token = 0;
  // Text of the tokens before `next_token`, escaped as in JSON.
  std::string delivered;
  // The complete stream, stored in the ledger if a ticket was claimed.
  std::string recorded_stream;
  stream_usage usage;
  // True once the event with the usage has arrived.
  bool is_finished = false;
  // True once the response header has been sent to a streaming caller.
  bool stream_started = false;
  bool caller_gone = false;
  // True if a target may have received the request.
  bool was_sent = false;
  bool is_dominant = false;
  int attempts = 0;
  // Moving average of the time between two tokens.
  duration mean_token_gap{};
  instant last_token_at;
};

// One dispatch to one target, including its resumes.
struct chat_dispatch {
  placement chosen;
  std::uint32_t epoch = 0;
  // Prompt tokens that the target is expected to prefill.
  std::uint32_t uncached_tokens = 0;
  endpoint address;
  instant started;
  bool is_prefilled = false;
  bool is_usage_applied = false;
};

// --- chat_relay.cc

// Runs the request at one target: the first attempt, followed by resumes while
// they make progress.
boost::asio::awaitable<attempt_result> RunAtTarget(chat_run& run,
                                                   chat_dispatch& dispatch);

// Asks a target to cancel a run.
boost::asio::awaitable<void> CancelAtTarget(router_ptr state,
                                            endpoint address,
                                            std::string id);

}  // namespace waxwing

#endif  // WAXWING_CHAT_RUN_H_
