// One attempt: the request to the target, its answer to the caller.
//
// An answer that is not a stream is passed on when it is whole. Of a stream
// only whole events are passed on, each once and in order, so that it can be
// resumed.

#include <boost/asio.hpp>

#include "waxwing/entry_run.h"
#include "waxwing/log.h"
#include "waxwing/sse.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

// Answers of other requests that are skipped before the connection is given up.
constexpr int kMostSkipped = 3;
constexpr std::size_t kLargestBody = 16 * 1024 * 1024;

bool IsStream(const forward_run& run) {
  return run.path->kind == route_kind::kStream;
}

// The end of a call that failed on the way.
run_end EndOfFailure(const forward_run& run, const http_error& error) {
  if (run.caller_gone)
    return run_end::kCallerGone;
  if (std::chrono::steady_clock::now() >= run.deadline)
    return run_end::kTimedOut;
  return error.sent ? run_end::kBroken : run_end::kNotRun;
}

// Passes on a whole answer that is not a stream.
asio::awaitable<run_end> RelayWhole(forward_run& run, http_call& call) {
  http_response answer;
  answer.status = call.head.status;
  answer.headers = run.state->spoken.answer_headers(call.head.headers);
  while (true) {
    const auto more =
        co_await ReadPiece(run.state->pool, call, TimeLeft(run), answer.body);
    if (!more)
      co_return EndOfFailure(run, more.error());
    if (!*more)
      break;
    if (answer.body.size() > kLargestBody)
      co_return run_end::kBroken;
  }
  if (answer.status >= 500 && MayRepeat(*run.path)) {
    run.failure = std::move(answer);
    co_return run_end::kFailed;
  }
  const bool delivered = co_await Respond(run.exchange, std::move(answer));
  co_return delivered ? run_end::kDone : run_end::kCallerGone;
}

// Passes events on; the caller never gets a part of one.
asio::awaitable<bool> DeliverEvents(forward_run& run,
                                    const http_call& call,
                                    std::string_view events) {
  const instant now = std::chrono::steady_clock::now();
  if (run.began)
    run.longest_pause = std::max(run.longest_pause, now - run.last_delivery);
  run.last_delivery = now;
  if (!run.began) {
    run.began = true;
    run.first_byte = now - run.arrived;
    Observe(run.state->stats, "waxwing_ttft_seconds", *run.first_byte);
    http_response head{call.head.status,
                       run.state->spoken.answer_headers(call.head.headers), ""};
    if (!co_await BeginStream(run.exchange, std::move(head)))
      co_return false;
  }
  co_return co_await WriteStream(run.exchange, events);
}

asio::awaitable<run_end> RelayStream(forward_run& run,
                                     dispatch& sent,
                                     http_call& call) {
  std::string buffer;
  while (true) {
    const auto more =
        co_await ReadPiece(run.state->pool, call, TimeLeft(run), buffer);
    if (!more)
      co_return EndOfFailure(run, more.error());
    if (!sent.prefilled)
      NotePartsHeld(run, sent);
    MarkPrefilled(*run.state, sent);
    if (!*more)
      break;
    std::string_view rest = buffer;
    std::string events;
    for (auto event = TakeEvent(rest); !event.empty();
         event = TakeEvent(rest)) {
      const auto id = EventId(event);
      if (id && *id <= run.last_event)
        continue;
      if (id)
        run.last_event = *id;
      events += event;
    }
    buffer.erase(0, buffer.size() - rest.size());
    if (buffer.size() > kMaxEventBytes)
      co_return run_end::kBroken;
    if (!events.empty() && !co_await DeliverEvents(run, call, events))
      co_return run_end::kCallerGone;
  }
  if (!buffer.empty() || !run.began)
    co_return run_end::kBroken;
  const bool delivered = co_await EndStream(run.exchange);
  co_return delivered ? run_end::kDone : run_end::kCallerGone;
}

// Finds the answer of this request among what the connection brings.
asio::awaitable<tl::expected<answer_facts, http_error>> FindOwnAnswer(
    forward_run& run,
    http_call& call) {
  for (int skipped = 0; skipped <= kMostSkipped; ++skipped) {
    answer_facts facts = run.state->spoken.read_answer(call.head);
    const bool is_unshared = facts.request_id == run.request.id ||
                             (facts.request_id.empty() && facts.not_run);
    if (is_unshared)
      co_return facts;
    Count(run.state->stats, "waxwing_foreign_answers_total");
    LogWarning("foreign_answer",
               {{"request", run.request.id}, {"answer_to", facts.request_id}});
    const auto next = co_await SkipAnswer(run.state->pool, call, TimeLeft(run));
    if (!next)
      co_return tl::unexpected(next.error());
  }
  co_return tl::unexpected(
      http_error{http_failure::kMalformed, true, "only foreign answers"});
}

}  // namespace

asio::awaitable<run_end> RunAtTarget(forward_run& run, dispatch& sent) {
  const http_request message = run.state->spoken.write_run(
      run.exchange.request, run.request, MakeOrder(run, sent));
  http_call_options options;
  options.header_timeout = TimeLeft(run);
  options.reuse = MayRepeat(*run.path);
  options.abort = &run.abort;
  ++run.sends;
  auto call = co_await StartCall(run.state->pool, sent.target.record.address,
                                 message, options);
  if (!call) {
    if (call.error().sent) {
      ++run.runs;
      if (call.error().failure == http_failure::kConnect)
        ++run.runs_at_ended;
    }
    co_return EndOfFailure(run, call.error());
  }
  const auto facts = co_await FindOwnAnswer(run, *call);
  if (!facts) {
    ++run.runs;
    CancelCall(*call);
    co_return EndOfFailure(run, facts.error());
  }
  MarkHeard(run, sent);
  LearnLoad(*run.state, sent, *facts);
  if (facts->weights_version && IsCurrent(*run.state, sent))
    NoteWeights(*run.state, sent.target.record.id, *facts->weights_version);
  if (facts->not_run) {
    run.runs += call->was_sent_before ? 1 : 0;
    CancelCall(*call);
    // Another target has the address now: the one that was meant is gone.
    if (!facts->target.empty() && facts->target != sent.target.record.id &&
        IsCurrent(*run.state, sent))
      RetireTarget(*run.state, sent.target.record.id);
    co_return run_end::kNotRun;
  }
  ++run.runs;
  run_end end = run_end::kBroken;
  if (IsStream(run) && call->head.status == 200)
    end = co_await RelayStream(run, sent, *call);
  else if (!run.began)
    end = co_await RelayWhole(run, *call);
  if (end != run_end::kDone)
    CancelCall(*call);
  co_return end;
}

}  // namespace waxwing
