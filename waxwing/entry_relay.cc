// One attempt: sends the request to a target and relays the response to the
// caller.
//
// A response that is not a stream is relayed once it is complete. Of a stream
// only complete events are relayed, each once and in order, so that it can be
// resumed.

#include <boost/asio.hpp>
#include <boost/beast/core/string.hpp>

#include "waxwing/entry_run.h"
#include "waxwing/log.h"
#include "waxwing/sse.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

// Responses to other requests that are skipped before the connection is closed.
constexpr int kMaxSkippedResponses = 3;
// Responses with a lower status are followed by the final one.
constexpr unsigned kFirstFinalStatus = 200;
// A request whose kept connection fails later than this is placed anew instead
// of being sent to the same target again.
constexpr milliseconds kMaxResendDelay{200};

// A lost packet would be sent again only a second later, so waiting longer is
// of no use.
constexpr milliseconds kConnectTimeout{250};

constexpr std::string_view kEventStream = "text/event-stream";

// A target that sends a further event has survived the first one.
constexpr int kEventsToSurvive = 2;

bool IsStream(const forward_run& run) {
  return run.matched_route->kind == route_kind::kStream;
}

// Lists an attempt as not started for the lifetime of this object, or until
// MarkStarted().
struct pending_start_listing {
  forward_run& run;

  pending_start_listing(forward_run& listed, const dispatch& attempt)
      : run(listed) {
    // A withdrawn attempt leaves the abort flag set.
    if (!run.caller_gone && !run.is_cut_short)
      run.abort = {};
    run.start = {};
    const target_record& record = attempt.target.record;
    run.start.request_id = run.request.id;
    run.start.target = record.id;
    run.start.sent_at = attempt.started;
    run.start.abort = &run.abort;
    run.start.may_repeat = MayRepeat(*run.matched_route);
    if (DependsOnWeights(run, attempt)) {
      run.start.model = attempt.weights.model;
      run.start.weights_version = attempt.weights.version;
      run.start.has_target_deadline =
          attempt.time_to_start && !run.start.may_repeat;
    }
    run.state->pending_starts.insert(&run.start);
  }
  ~pending_start_listing() { run.state->pending_starts.erase(&run.start); }
  pending_start_listing(const pending_start_listing&) = delete;
  pending_start_listing& operator=(const pending_start_listing&) = delete;
};

void MarkStarted(forward_run& run) {
  run.state->pending_starts.erase(&run.start);
}

}  // namespace

forward_outcome RejectLongResponse(forward_run& run, std::size_t size) {
  Count(run.state->stats, "waxwing_responses_too_long_total");
  LogWarning("response_too_long", {{"request", run.request.id},
                                   {"target", run.target_id},
                                   {"bytes", size},
                                   {"held", run.state->held->used}});
  return forward_outcome::kBroken;
}

namespace {

// Returns the headers of a target's response that are passed on. A VM that
// forwarded the request would take a declining header for this VM's own.
http_headers RelayedHeaders(const forward_run& run, const http_call& call) {
  http_headers out =
      run.state->protocol.filter_response_headers(call.head.headers);
  if (run.forwarded)
    std::erase_if(out, [](const http_header& header) {
      return boost::beast::iequals(header.name, kDeclinedHeader);
    });
  return out;
}

}  // namespace

bool PromisesNotRun(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

asio::awaitable<bool> DeliverHead(forward_run& run, const http_call& call) {
  run.stream_started = true;
  run.time_to_first_byte = std::chrono::steady_clock::now() - run.arrived;
  Observe(run.state->stats, "waxwing_ttft_seconds", *run.time_to_first_byte);
  http_response head{call.head.status, RelayedHeaders(run, call), ""};
  co_return co_await BeginStream(run.exchange, std::move(head));
}

namespace {

bool IsPastDeadline(const forward_run& run) {
  return std::chrono::steady_clock::now() >= run.deadline;
}

// Returns the outcome of an attempt that failed with `error`.
forward_outcome FailureOutcome(forward_run& run,
                               dispatch& attempt,
                               const http_error& error) {
  attempt.failure = std::string(NameOf(error.failure)) + ": " + error.detail;
  attempt.connection_broke = error.maybe_sent && !run.start.is_cut_off &&
                             !run.is_cut_short &&
                             (error.failure == http_failure::kClosed ||
                              error.failure == http_failure::kConnect);
  if (run.caller_gone)
    return forward_outcome::kCallerGone;
  if (run.start.is_cut_off)
    return error.maybe_sent ? forward_outcome::kBroken
                            : forward_outcome::kNotRun;
  if (run.start.is_withdrawn)
    return error.maybe_sent ? forward_outcome::kWithdrawn
                            : forward_outcome::kNotRun;
  if (IsPastDeadline(run))
    return forward_outcome::kTimedOut;
  return error.maybe_sent ? forward_outcome::kBroken : forward_outcome::kNotRun;
}

// Relays a response that is not a stream, once it is complete.
asio::awaitable<forward_outcome> RelayResponse(forward_run& run,
                                               dispatch& attempt,
                                               http_call& call) {
  http_response response;
  response.status = call.head.status;
  response.headers = RelayedHeaders(run, call);
  held_share held(run.state->held);
  while (true) {
    const bool is_late = IsPastDeadline(run);
    const auto more = co_await ReadSomeBody(run.state->pool, call,
                                            TimeLeft(run), response.body);
    if (!more)
      co_return FailureOutcome(run, attempt, more.error());
    if (!*more)
      break;
    if (!UpdateSize(held, response.body.capacity()))
      co_return RejectLongResponse(run, response.body.size());
    if (is_late)
      co_return forward_outcome::kTimedOut;
  }
  if (co_await IsCutByEnd(run, attempt, call)) {
    attempt.connection_broke = true;
    co_return forward_outcome::kBroken;
  }
  MarkSurvived(run, attempt);
  if (PromisesNotRun(response.status)) {
    attempt.failure = "refused without stating that it has not run";
    co_return forward_outcome::kFailed;
  }
  if (response.status >= 500 && MayRepeat(*run.matched_route)) {
    run.failure_response = std::move(response);
    co_return forward_outcome::kFailed;
  }
  const bool delivered = co_await Respond(run.exchange, std::move(response));
  co_return delivered ? forward_outcome::kDone : forward_outcome::kCallerGone;
}

// Relays complete events; the caller never gets a part of one.
asio::awaitable<bool> DeliverEvents(forward_run& run,
                                    dispatch& attempt,
                                    const http_call& call,
                                    std::string_view events) {
  attempt.has_delivered = true;
  RecordStreamStart(run, attempt);
  if (!run.origin)
    run.origin = OriginAt(attempt);
  const instant now = std::chrono::steady_clock::now();
  if (run.stream_started)
    run.longest_pause = std::max(run.longest_pause, now - run.last_delivery);
  run.last_delivery = now;
  if (!run.stream_started && !co_await DeliverHead(run, call))
    co_return false;
  co_return co_await WriteStream(run.exchange, events);
}

// Returns the outcome of an attempt at a target that may have started again
// before it ran the request.
forward_outcome RejectRestartedTarget(forward_run& run,
                                      const dispatch& attempt) {
  Count(run.state->stats, "waxwing_restarted_targets_rejected_total");
  LogWarning("target_restarted",
             {{"request", run.request.id},
              {"target", attempt.target.record.id},
              {"build", attempt.target.record.build},
              {"incarnation", attempt.target.record.incarnation}});
  return forward_outcome::kBroken;
}

bool IsEventStream(const http_response& head) {
  return boost::beast::iequals(
      FindHeader(head.headers, "Content-Type").substr(0, kEventStream.size()),
      kEventStream);
}

asio::awaitable<forward_outcome> RelayStream(forward_run& run,
                                             dispatch& attempt,
                                             http_call& call) {
  std::string buffer;
  held_share held(run.state->held);
  int received_events = 0;
  while (true) {
    const bool is_late = IsPastDeadline(run);
    const auto more =
        co_await ReadSomeBody(run.state->pool, call, TimeLeft(run), buffer);
    if (!more)
      co_return FailureOutcome(run, attempt, more.error());
    MarkStarted(run);
    run.state->last_target_data = std::chrono::steady_clock::now();
    if (!attempt.is_prefilled)
      RecordCachedSegments(run, attempt);
    MarkPrefilled(*run.state, attempt);
    if (run.matched_route->can_resume && !attempt.has_delivered &&
        HasRestarted(*run.state, attempt))
      co_return RejectRestartedTarget(run, attempt);
    if (!*more)
      break;
    std::string_view rest = buffer;
    std::string events;
    for (auto event = ConsumeEvent(rest); !event.empty();
         event = ConsumeEvent(rest)) {
      ++received_events;
      const auto id = EventId(event);
      if (id && *id <= run.last_event_id)
        continue;
      if (id)
        run.last_event_id = *id;
      else if (!IsComment(event))
        run.has_unnumbered_event = true;
      events += event;
    }
    if (received_events >= kEventsToSurvive)
      MarkSurvived(run, attempt);
    buffer.erase(0, buffer.size() - rest.size());
    if (buffer.size() > kMaxEventBytes || !UpdateSize(held, buffer.capacity()))
      co_return RejectLongResponse(run, buffer.size());
    if (!events.empty() && !co_await DeliverEvents(run, attempt, call, events))
      co_return forward_outcome::kCallerGone;
    if (is_late)
      co_return forward_outcome::kTimedOut;
  }
  // Of a stream that goes on after its last event, only the end is left. An
  // empty response that is no stream is not its end.
  const bool goes_on = run.stream_started || IsTakenUp(run);
  const bool has_stream = received_events > 0 || IsEventStream(call.head);
  if (!buffer.empty() || !goes_on || !has_stream ||
      co_await IsCutByEnd(run, attempt, call)) {
    attempt.connection_broke = true;
    co_return forward_outcome::kBroken;
  }
  MarkSurvived(run, attempt);
  const bool delivered =
      (run.stream_started || co_await DeliverHead(run, call)) &&
      co_await EndStream(run.exchange);
  co_return delivered ? forward_outcome::kDone : forward_outcome::kCallerGone;
}

// Records that a call has failed before any response, if that shows that the
// target is not reached.
void NoteUnreached(forward_run& run,
                   dispatch& attempt,
                   const http_error& error) {
  const bool is_own_end =
      run.caller_gone || run.start.is_withdrawn || run.start.is_cut_off;
  attempt.is_unreached = !error.maybe_sent && !run.start.is_withdrawn &&
                         error.failure != http_failure::kMalformed;
  // Targets also reset connections beyond their limit, but then others respond.
  const bool is_reset = error.failure == http_failure::kClosed &&
                        run.state->last_target_data < attempt.started;
  if (is_own_end || (error.failure != http_failure::kConnect && !is_reset))
    return;
  ObserveNoConnection(*run.state, attempt.target.record.id, attempt.started);
}

// Responses that were read from the connection of a call and skipped.
struct skipped_responses {
  int count = 0;
  // One of them had no ID: it may be the response to this request.
  bool has_unnamed = false;
};

enum class response_match { kOwn, kOther, kUncertain };

// Finds out whether the call's response is the one to this request. A refusal
// is only if it certainly is: if it has the request's ID, or if nothing else
// was sent or received on its connection.
response_match MatchResponse(const forward_run& run,
                             const http_call& call,
                             const response_info& facts,
                             const skipped_responses& skipped) {
  const bool is_named = facts.request_id == run.request.id;
  const bool is_final = call.head.status >= kFirstFinalStatus;
  if (!facts.not_run)
    return is_named && is_final ? response_match::kOwn : response_match::kOther;
  if (is_named)
    return skipped.has_unnamed ? response_match::kUncertain
                               : response_match::kOwn;
  if (!facts.request_id.empty())
    return response_match::kOther;
  return call.is_on_new_connection && skipped.count == 0
             ? response_match::kOwn
             : response_match::kUncertain;
}

// Reads responses from the connection up to the one to this request. Fails if a
// refusal may be the one to another request.
asio::awaitable<tl::expected<response_info, http_error>>
FindOwnResponse(forward_run& run, const dispatch& attempt, http_call& call) {
  skipped_responses skipped;
  while (skipped.count <= kMaxSkippedResponses) {
    response_info facts = run.state->protocol.read_response_head(call.head);
    if (IsCurrent(*run.state, attempt))
      ObserveResponse(*run.state, attempt.target.record.id, run.request.id,
                      facts);
    const response_match match = MatchResponse(run, call, facts, skipped);
    if (match == response_match::kOwn)
      co_return facts;
    Count(run.state->stats, "waxwing_foreign_answers_total");
    LogWarning("response_mismatch",
               {{"request", run.request.id},
                {"answer_to", facts.request_id},
                {"status", call.head.status},
                {"uncertain", match == response_match::kUncertain}});
    if (match == response_match::kUncertain)
      co_return tl::unexpected(
          http_error{http_failure::kMalformed, true,
                     "a refusal that may be of another request"});
    ++skipped.count;
    const bool is_final = call.head.status >= kFirstFinalStatus;
    skipped.has_unnamed =
        skipped.has_unnamed || (is_final && facts.request_id.empty());
    const auto next =
        co_await SkipResponse(run.state->pool, call, TimeLeft(run));
    if (!next)
      co_return tl::unexpected(next.error());
  }
  co_return tl::unexpected(http_error{http_failure::kMalformed, true,
                                      "only responses to other requests"});
}

// What a target may send ahead of the caller that reads its response.
constexpr int kTargetWindow = 16 * 1024;

}  // namespace

asio::awaitable<forward_outcome> RunAtTarget(forward_run& run,
                                             dispatch& attempt) {
  const http_request message = run.state->protocol.write_target_request(
      run.exchange.request, run.request, MakeRunOrder(run, attempt));
  http_call_options options;
  options.header_timeout = TimeLeft(run);
  // On a new connection the request is sent once, as a permit or a trial
  // allows.
  options.reuse =
      MayRepeat(*run.matched_route) && !attempt.has_permit && !run.trial;
  options.max_resend_delay = kMaxResendDelay;
  options.connect_timeout = kConnectTimeout;
  options.abort = &run.abort;
  options.body = run.exchange.request.body;
  options.receive_window = kTargetWindow;
  const pending_start_listing listing(run, attempt);
  ++run.sends;
  auto call = co_await StartCall(run.state->pool, attempt.target.record.address,
                                 message, options);
  if (!call) {
    NoteUnreached(run, attempt, call.error());
    if (call.error().maybe_sent) {
      ++run.possible_runs;
      if (call.error().failure == http_failure::kConnect)
        ++run.possible_runs_at_gone;
    }
    co_return FailureOutcome(run, attempt, call.error());
  }
  run.state->last_target_data = std::chrono::steady_clock::now();
  if (call->is_on_new_connection)
    ObserveConnection(*run.state, attempt.target.record.id);
  const auto facts = co_await FindOwnResponse(run, attempt, *call);
  if (!facts) {
    ++run.possible_runs;
    CancelCall(*call);
    co_return FailureOutcome(run, attempt, facts.error());
  }
  MarkResponding(run, attempt);
  if (IsCurrent(*run.state, attempt))
    ObserveStatedRate(*run.state, attempt.target.record.id, run.request.id,
                      *facts, attempt.started);
  UpdateTargetLoad(*run.state, attempt, *facts);
  if (facts->weights_version && IsCurrent(*run.state, attempt))
    RecordTargetWeights(*run.state, attempt.target.record.id, run.model,
                        *facts->weights_version);
  if (facts->not_run) {
    run.possible_runs += call->was_sent_before ? 1 : 0;
    CancelCall(*call);
    // Another target has the address now; the intended one is gone.
    if (!facts->target.empty() && facts->target != attempt.target.record.id &&
        IsCurrent(*run.state, attempt))
      DropTarget(*run.state, attempt.target.record.id, {"target", {}});
    attempt.failure = "refused by target";
    co_return forward_outcome::kNotRun;
  }
  ++run.possible_runs;
  forward_outcome outcome = forward_outcome::kBroken;
  if (IsStream(run) && call->head.status == 200)
    outcome = co_await RelayStream(run, attempt, *call);
  else if (!run.stream_started)
    outcome = co_await RelayResponse(run, attempt, *call);
  if (outcome != forward_outcome::kDone)
    CancelCall(*call);
  co_return outcome;
}

}  // namespace waxwing
