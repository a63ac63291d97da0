// A completion at one target: its request, its stream, its resumes.
//
// The stream is checked event by event: token N must follow token N-1. A stream
// that breaks, falls silent or skips is resumed by token offset on a new
// connection.

#include <algorithm>
#include <boost/asio.hpp>

#include "waxwing/chat_run.h"
#include "waxwing/log.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

constexpr milliseconds kHeaderTimeout{1'500};
constexpr milliseconds kFirstTokenSlack{2'000};
constexpr int kFirstTokenFactor = 5;
constexpr milliseconds kShortestGapTimeout{500};
constexpr milliseconds kLongestGapTimeout{5'000};
constexpr int kGapFactor = 10;
constexpr double kGapSmoothing = 0.2;
// Resumes in a row that brought no new token before the target counts as dead.
constexpr int kFruitlessResumes = 2;

// Within a priority, engines prefer accounts that are not dominant.
int TargetPriority(const chat_run& run) {
  return 2 * run.request.priority + (run.is_dominant ? 0 : 1);
}

http_request MakeTargetRequest(const chat_run& run, bool resume_only) {
  attempt_parameters parameters;
  parameters.request_id = run.request.id;
  parameters.attempt = run.attempts;
  parameters.priority = TargetPriority(run);
  parameters.cache_salt = run.request.account;
  parameters.weights_name = run.version;
  parameters.adapter = run.chat.adapter;
  parameters.is_resume_only = resume_only;
  parameters.resume_from_token = run.next_token;
  parameters.delivered = run.delivered;
  return run.state->protocol.write_target_request(
      MakeChatRequest(run.chat.target_body), run.request.call, parameters);
}

milliseconds ToMilliseconds(duration d) {
  return std::chrono::duration_cast<milliseconds>(d);
}

// Longest silence to accept before the next piece of the stream.
milliseconds SilenceLimit(const chat_run& run, const chat_dispatch& sent) {
  if (run.token_gap > duration::zero())
    return std::clamp(ToMilliseconds(run.token_gap * kGapFactor),
                      kShortestGapTimeout, kLongestGapTimeout);
  const target_view& view = run.state->placement.targets[sent.chosen.target];
  const duration expected =
      ExpectedWait(view, 0) +
      FromSeconds(sent.missed / view.prefill_tokens_per_second);
  return kFirstTokenSlack + ToMilliseconds(expected * kFirstTokenFactor);
}

void NoteTokenArrived(chat_run& run, chat_dispatch& sent) {
  const instant now = std::chrono::steady_clock::now();
  if (!sent.prefilled) {
    sent.prefilled = true;
    RecordPrefilled(run.state->placement, sent.chosen, sent.missed);
  } else {
    const duration gap = now - run.last_token;
    run.token_gap =
        run.token_gap == duration::zero()
            ? gap
            : std::chrono::duration_cast<duration>(
                  run.token_gap * (1 - kGapSmoothing) + gap * kGapSmoothing);
  }
  if (run.next_token == 0)
    Observe(run.state->stats, "waxwing_ttft_seconds",
            now - run.request.arrived);
  run.last_token = now;
}

void LearnFromUsage(chat_run& run,
                    chat_dispatch& sent,
                    const stream_usage& usage) {
  if (sent.learned)
    return;
  sent.learned = true;
  UpdateFromResponse(run.state->placement, sent.chosen, sent.epoch, run.chain,
                     usage.cached_tokens, std::chrono::steady_clock::now());
  Count(run.state->stats, "waxwing_prompt_tokens_total", usage.prompt_tokens);
  Count(run.state->stats, "waxwing_cached_tokens_total", usage.cached_tokens);
}

// Takes in one event; appends what the caller should get to `out`. False if
// the event does not fit the stream so far.
bool TakeInEvent(chat_run& run,
                 chat_dispatch& sent,
                 std::string_view event,
                 std::string& out) {
  if (IsDoneEvent(event)) {
    out += event;
    return run.finished;
  }
  const auto id = EventId(event);
  if (!id || *id > run.next_token)
    return false;
  if (*id < run.next_token)
    return true;
  if (const auto usage = EventUsage(event)) {
    LearnFromUsage(run, sent, *usage);
    run.usage = *usage;
    run.finished = true;
    out += event;
    return true;
  }
  NoteTokenArrived(run, sent);
  run.delivered += EscapedContent(event);
  ++run.next_token;
  out += event;
  return true;
}

// Passes bytes on to the caller. A caller that is gone ends the run, unless
// its ticket was claimed: then the answer is kept for a late copy.
asio::awaitable<bool> Deliver(chat_run& run, std::string_view bytes) {
  if (run.claimed)
    run.recorded += bytes;
  if (!run.chat.stream || run.caller_gone)
    co_return true;
  if (!run.began) {
    run.began = true;
    const http_response head = MakeStreamHead(run.request.id);
    run.caller_gone = !co_await BeginStream(run.exchange, head);
  }
  if (!run.caller_gone)
    run.caller_gone = !co_await WriteStream(run.exchange, bytes);
  co_return !run.caller_gone || run.claimed;
}

// Reads the stream of one attempt to its end.
asio::awaitable<attempt_end> ReadStream(chat_run& run,
                                        chat_dispatch& sent,
                                        http_call& call) {
  std::string buffer;
  while (true) {
    const auto more = co_await ReadPiece(run.state->pool, call,
                                         SilenceLimit(run, sent), buffer);
    if (!more || !*more)
      co_return attempt_end::kBroken;
    std::string_view rest = buffer;
    std::string out;
    bool in_order = true;
    bool done = false;
    for (auto event = TakeEvent(rest); !event.empty() && in_order && !done;
         event = TakeEvent(rest)) {
      in_order = TakeInEvent(run, sent, event, out);
      done = in_order && IsDoneEvent(event);
    }
    buffer.erase(0, buffer.size() - rest.size());
    if (!out.empty() && !co_await Deliver(run, out))
      co_return attempt_end::kCallerGone;
    if (!in_order || buffer.size() > kMaxEventBytes)
      co_return attempt_end::kBroken;
    if (done) {
      // Reads the end of the body, so that the connection can be used again.
      std::string nothing;
      const auto end = co_await ReadPiece(run.state->pool, call,
                                          kShortestGapTimeout, nothing);
      co_return attempt_end::kDone;
    }
  }
}

// Takes in the identity that an answer's header carries. False if the answer
// is not of this attempt.
bool TakeInIdentity(chat_run& run, chat_dispatch& sent, const http_call& call) {
  const response_info facts = run.state->protocol.read_response_head(call.head);
  if (facts.request_id != run.request.id || facts.attempt != run.attempts) {
    Count(run.state->stats, "waxwing_crossed_answers_total");
    return false;
  }
  target_view& view = run.state->placement.targets[sent.chosen.target];
  ApplyIdentity(view, facts.boot_id, facts.weights_name);
  sent.epoch = view.epoch;
  return facts.weights_name == run.version;
}

// One connection to the target: the first one, or a resume.
asio::awaitable<attempt_end> Attempt(chat_run& run,
                                     chat_dispatch& sent,
                                     bool resume_only) {
  ++run.attempts;
  Count(run.state->stats, "waxwing_attempts_total");
  const http_request message = MakeTargetRequest(run, resume_only);
  // Only a request that may be repeated uses a connection that may be dead.
  const http_call_options options{kHeaderTimeout,
                                  !run.claimed && run.attempts == 1};
  auto call =
      co_await StartCall(run.state->pool, sent.address, message, options);
  if (!call) {
    run.sent = run.sent || call.error().sent;
    co_return call.error().sent ? attempt_end::kBroken : attempt_end::kNotSent;
  }
  run.sent = true;
  if (call->head.status != 200) {
    CancelCall(*call);
    co_return attempt_end::kRefused;
  }
  attempt_end end = attempt_end::kBroken;
  if (TakeInIdentity(run, sent, *call))
    end = co_await ReadStream(run, sent, *call);
  if (end != attempt_end::kDone)
    CancelCall(*call);
  co_return end;
}

}  // namespace

asio::awaitable<void> CancelAtTarget(router_ptr state,
                                     endpoint address,
                                     std::string id) {
  const http_request message = state->protocol.write_cancel(id);
  const http_call_options options{kHeaderTimeout, true};
  const auto ignored = co_await Fetch(state->pool, address, message, options);
}

asio::awaitable<attempt_end> RunAtTarget(chat_run& run, chat_dispatch& sent) {
  attempt_end end = co_await Attempt(run, sent, false);
  int fruitless = 0;
  while (end == attempt_end::kBroken && fruitless < kFruitlessResumes) {
    const std::uint64_t before = run.next_token;
    Count(run.state->stats, "waxwing_resumes_total");
    end = co_await Attempt(run, sent, run.claimed.has_value());
    fruitless = run.next_token > before ? 0 : fruitless + 1;
  }
  co_return end;
}

}  // namespace waxwing
