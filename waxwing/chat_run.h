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
  kNotSent,       // no byte of the request has left
  kRefused,       // the target answered with an error status
  kStreamFailed,  // the stream ended early, fell silent or was out of order
};

// State of the run over all its attempts.
struct chat_run {
  router_ptr state;
  http_exchange& exchange;
  const admitted_request& request;
  const chat_request& chat;
  std::optional<ticket_id> claimed_ticket;
  std::string weights_version;
  prefix_chain chain;
  // Next token to deliver; all before it have been.
  std::uint64_t next_token = 0;
  // Token texts so far, escaped as in JSON.
  std::string delivered;
  // The whole stream as sent, for the ledger; only if a ticket was claimed.
  std::string recorded_stream;
  stream_usage usage;
  bool is_finished = false;
  bool stream_started = false;
  bool caller_gone = false;
  bool was_sent = false;
  bool is_dominant = false;
  int attempts = 0;
  duration mean_token_gap{};
  instant last_token_at;
};

// One dispatch to one target, over its resumes.
struct chat_dispatch {
  placement chosen;
  std::uint32_t epoch = 0;
  std::uint32_t uncached_tokens = 0;
  endpoint address;
  instant started;
  bool is_prefilled = false;
  bool is_usage_applied = false;
};

// --- chat_relay.cc

// Runs the request at one target: the first attempt, then resumes for as long
// as they bring new tokens.
boost::asio::awaitable<attempt_result> RunAtTarget(chat_run& run,
                                                   chat_dispatch& dispatch);

// Tells a target to stop a run that is no longer wanted.
boost::asio::awaitable<void> CancelAtTarget(router_ptr state,
                                            endpoint address,
                                            std::string id);

}  // namespace waxwing

#endif  // WAXWING_CHAT_RUN_H_
