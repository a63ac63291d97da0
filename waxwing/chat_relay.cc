// Runs a completion at one target: sends the request, relays the stream and
// resumes it.
//
// Each event is checked: token N must follow token N-1. A stream that breaks,
// stalls or skips a token is resumed by token offset on a new connection.

#include <algorithm>
#include <boost/asio.hpp>

#include "waxwing/chat_run.h"
#include "waxwing/log.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

constexpr milliseconds kHeaderTimeout{1'500};
// Timeout of the first token: this base plus a multiple of the expected time to
// first token.
constexpr milliseconds kFirstTokenBaseTimeout{2'000};
constexpr int kFirstTokenFactor = 5;
// Timeout of each later token: a multiple of the mean gap, within these limits.
constexpr milliseconds kMinGapTimeout{500};
constexpr milliseconds kMaxGapTimeout{5'000};
constexpr int kGapFactor = 10;
// Weight of the latest gap in the moving average.
constexpr double kGapSmoothing = 0.2;
// Number of consecutive resumes without a new token after which the target has
// failed.
constexpr int kMaxResumesWithoutProgress = 2;

// Maps each priority to two, so that within a priority engines prefer accounts
// that are not dominant.
int TargetPriority(const chat_run& run) {
  return 2 * run.request.priority + (run.is_dominant ? 0 : 1);
}

http_request MakeTargetRequest(const chat_run& run, bool resume_only) {
  attempt_parameters parameters;
  parameters.request_id = run.request.id;
  parameters.attempt = run.attempts;
  parameters.priority = TargetPriority(run);
  parameters.cache_salt = run.request.account;
  parameters.weights_name = run.weights_version;
  parameters.adapter = run.chat.adapter;
  parameters.is_resume_only = resume_only;
  parameters.resume_from_token = run.next_token;
  parameters.delivered = run.delivered;
  return run.state->protocol.write_target_request(
      MakeChatRequest(run.chat.target_body), run.request.inbound, parameters);
}

milliseconds ToMilliseconds(duration d) {
  return std::chrono::duration_cast<milliseconds>(d);
}

// Returns how long to wait for the next part of the stream.
milliseconds ReadTimeout(const chat_run& run, const chat_dispatch& dispatch) {
  if (run.mean_token_gap > duration::zero())
    return std::clamp(ToMilliseconds(run.mean_token_gap * kGapFactor),
                      kMinGapTimeout, kMaxGapTimeout);
  const target_view& view =
      run.state->placement.targets[dispatch.chosen.target];
  const duration expected =
      ExpectedWait(view, 0) +
      FromSeconds(dispatch.uncached_tokens / view.prefill_tokens_per_second);
  return kFirstTokenBaseTimeout + ToMilliseconds(expected * kFirstTokenFactor);
}

void RecordToken(chat_run& run, chat_dispatch& dispatch) {
  const instant now = std::chrono::steady_clock::now();
  if (!dispatch.is_prefilled) {
    dispatch.is_prefilled = true;
    RecordPrefilled(run.state->placement, dispatch.chosen,
                    dispatch.uncached_tokens);
  } else {
    const duration gap = now - run.last_token_at;
    run.mean_token_gap = run.mean_token_gap == duration::zero()
                             ? gap
                             : std::chrono::duration_cast<duration>(
                                   run.mean_token_gap * (1 - kGapSmoothing) +
                                   gap * kGapSmoothing);
  }
  if (run.next_token == 0)
    Observe(run.state->stats, "waxwing_ttft_seconds",
            now - run.request.arrived);
  run.last_token_at = now;
}

void ApplyUsage(chat_run& run,
                chat_dispatch& dispatch,
                const stream_usage& usage) {
  if (dispatch.is_usage_applied)
    return;
  dispatch.is_usage_applied = true;
  UpdateFromResponse(run.state->placement, dispatch.chosen, dispatch.epoch,
                     run.chain, usage.cached_tokens,
                     std::chrono::steady_clock::now());
  Count(run.state->stats, "waxwing_prompt_tokens_total", usage.prompt_tokens);
  Count(run.state->stats, "waxwing_cached_tokens_total", usage.cached_tokens);
}

// Applies one event of the stream and appends to `out` what the caller should
// receive. Skips tokens that have been delivered before. Returns false if the
// event is out of order.
bool ApplyEvent(chat_run& run,
                chat_dispatch& dispatch,
                std::string_view event,
                std::string& out) {
  if (IsDoneEvent(event)) {
    out += event;
    return run.is_finished;
  }
  const auto id = EventId(event);
  if (!id || *id > run.next_token)
    return false;
  if (*id < run.next_token)
    return true;
  if (const auto usage = EventUsage(event)) {
    ApplyUsage(run, dispatch, *usage);
    run.usage = *usage;
    run.is_finished = true;
    out += event;
    return true;
  }
  RecordToken(run, dispatch);
  run.delivered += EscapedContent(event);
  ++run.next_token;
  out += event;
  return true;
}

// Relays bytes to the caller. Returns false if the caller has disconnected,
// except for a claimed ticket: that run continues, so that its response can be
// stored for duplicates of the request.
asio::awaitable<bool> Deliver(chat_run& run, std::string_view bytes) {
  if (run.claimed_ticket)
    run.recorded_stream += bytes;
  if (!run.chat.stream || run.caller_gone)
    co_return true;
  if (!run.stream_started) {
    run.stream_started = true;
    const http_response head = MakeStreamHead(run.request.id);
    run.caller_gone = !co_await BeginStream(run.exchange, head);
  }
  if (!run.caller_gone)
    run.caller_gone = !co_await WriteStream(run.exchange, bytes);
  co_return !run.caller_gone || run.claimed_ticket;
}

// Relays the stream of one attempt until it ends or fails.
asio::awaitable<attempt_result> ReadStream(chat_run& run,
                                           chat_dispatch& dispatch,
                                           http_call& call) {
  std::string buffer;
  // Bytes that complete no event do not extend the wait for the next token.
  std::uint64_t awaited_token = run.next_token;
  instant limit = std::chrono::steady_clock::now() + ReadTimeout(run, dispatch);
  while (true) {
    if (run.next_token != awaited_token) {
      awaited_token = run.next_token;
      limit = std::chrono::steady_clock::now() + ReadTimeout(run, dispatch);
    }
    const auto left = ToMilliseconds(limit - std::chrono::steady_clock::now());
    if (left <= milliseconds(0))
      co_return attempt_result::kStreamFailed;
    const auto has_more =
        co_await ReadSomeBody(run.state->pool, call, left, buffer);
    if (!has_more || !*has_more)
      co_return attempt_result::kStreamFailed;
    std::string_view rest = buffer;
    std::string out;
    bool in_order = true;
    bool done = false;
    for (auto event = ConsumeEvent(rest); !event.empty() && in_order && !done;
         event = ConsumeEvent(rest)) {
      in_order = ApplyEvent(run, dispatch, event, out);
      done = in_order && IsDoneEvent(event);
    }
    buffer.erase(0, buffer.size() - rest.size());
    if (!out.empty() && !co_await Deliver(run, out))
      co_return attempt_result::kCallerGone;
    if (!in_order || buffer.size() > kMaxEventBytes)
      co_return attempt_result::kStreamFailed;
    if (done) {
      // Reads the end of the body, so that the connection returns to the pool.
      std::string discarded;
      const auto ignored = co_await ReadSomeBody(run.state->pool, call,
                                                 kMinGapTimeout, discarded);
      co_return attempt_result::kCompleted;
    }
  }
}

// Updates the target's view from the identity in a response header. Returns
// false if the response is to another request or attempt, or of other weights.
bool ApplyResponseIdentity(chat_run& run,
                           chat_dispatch& dispatch,
                           const http_call& call) {
  const response_info info = run.state->protocol.read_response_head(call.head);
  if (info.request_id != run.request.id || info.attempt != run.attempts) {
    Count(run.state->stats, "waxwing_crossed_answers_total");
    return false;
  }
  target_view& view = run.state->placement.targets[dispatch.chosen.target];
  ApplyIdentity(view, info.boot_id, info.weights_name);
  dispatch.epoch = view.epoch;
  return info.weights_name == run.weights_version;
}

// Makes one attempt at the target: the initial request or a resume.
asio::awaitable<attempt_result> Attempt(chat_run& run,
                                        chat_dispatch& dispatch,
                                        bool resume_only) {
  ++run.attempts;
  Count(run.state->stats, "waxwing_attempts_total");
  const http_request message = MakeTargetRequest(run, resume_only);
  // A pooled connection may be dead, in which case the request is sent again.
  // Therefore only requests that may be repeated use one.
  const http_call_options options{kHeaderTimeout,
                                  !run.claimed_ticket && run.attempts == 1};
  auto call =
      co_await StartCall(run.state->pool, dispatch.address, message, options);
  if (!call) {
    run.was_sent = run.was_sent || call.error().maybe_sent;
    co_return call.error().maybe_sent ? attempt_result::kStreamFailed
                                      : attempt_result::kNotSent;
  }
  run.was_sent = true;
  if (call->head.status != 200) {
    CancelCall(*call);
    co_return attempt_result::kRefused;
  }
  attempt_result result = attempt_result::kStreamFailed;
  if (ApplyResponseIdentity(run, dispatch, *call))
    result = co_await ReadStream(run, dispatch, *call);
  if (result != attempt_result::kCompleted)
    CancelCall(*call);
  co_return result;
}

}  // namespace

asio::awaitable<void> CancelAtTarget(router_ptr state,
                                     endpoint address,
                                     std::string id) {
  const http_request message = state->protocol.write_cancel(id);
  const http_call_options options{kHeaderTimeout, true};
  const auto ignored = co_await Fetch(state->pool, address, message, options);
}

asio::awaitable<attempt_result> RunAtTarget(chat_run& run,
                                            chat_dispatch& dispatch) {
  attempt_result result = co_await Attempt(run, dispatch, false);
  int resumes_without_progress = 0;
  while (result == attempt_result::kStreamFailed &&
         resumes_without_progress < kMaxResumesWithoutProgress) {
    const std::uint64_t tokens_before = run.next_token;
    Count(run.state->stats, "waxwing_resumes_total");
    result = co_await Attempt(run, dispatch, run.claimed_ticket.has_value());
    resumes_without_progress =
        run.next_token > tokens_before ? 0 : resumes_without_progress + 1;
  }
  co_return result;
}

}  // namespace waxwing
