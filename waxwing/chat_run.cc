// One chat completion, from the queue to the last byte.
//
// The stream of a target is checked event by event: token N must follow token
// N-1. A stream that breaks, falls silent or skips is resumed at the same
// target by token offset on a new connection; if that target is gone, an
// idempotent request is replayed on another one of the same weights version,
// which gets the tokens already delivered. The caller sees one gapless stream,
// or an explicit error event at its end.

#include <algorithm>
#include <boost/asio.hpp>

#include "waxwing/log.h"
#include "waxwing/router_state.h"
#include "waxwing/sse.h"

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
constexpr int kMostAttempts = 6;

enum class attempt_end {
  kDone,
  kCallerGone,
  kNotSent,  // no byte of the request has left
  kRefused,  // the target answered with an error status
  kBroken,   // the stream ended early, fell silent or was out of order
};

// State of the run over all its attempts.
struct chat_run {
  router_ptr state;
  http_exchange& exchange;
  const admitted_request& request;
  const chat_request& chat;
  std::optional<ticket_id> claimed;
  std::string version;
  prefix_chain chain;
  // Next token to deliver; all before it have been.
  std::uint64_t next_token = 0;
  // Token texts so far, escaped as in JSON.
  std::string delivered;
  // The whole stream as sent, for the ledger; only if a ticket was claimed.
  std::string recorded;
  stream_usage usage;
  bool finished = false;
  bool began = false;
  bool caller_gone = false;
  bool sent = false;
  bool is_dominant = false;
  int attempts = 0;
  duration token_gap{};
  instant last_token;
};

// One dispatch to one target, over its resumes.
struct dispatch {
  placement chosen;
  std::uint32_t epoch = 0;
  std::uint32_t missed = 0;
  endpoint address;
  instant started;
  bool prefilled = false;
  bool learned = false;
};

// Within a priority, engines prefer accounts that are not dominant.
int TargetPriority(const chat_run& run) {
  return 2 * run.request.priority + (run.is_dominant ? 0 : 1);
}

http_request MakeTargetRequest(const chat_run& run, bool resume_only) {
  http_request out{"POST", "/v1/chat/completions", {}, run.chat.target_body};
  out.headers = {{"Content-Type", "application/json"},
                 {"X-Request-Id", run.request.id},
                 {"X-Attempt", std::to_string(run.attempts)},
                 {"X-Priority", std::to_string(TargetPriority(run))},
                 {"X-Cache-Salt", run.request.account},
                 {"X-Expect-Version", run.version}};
  if (!run.chat.adapter.empty())
    out.headers.push_back({"X-Adapter", run.chat.adapter});
  if (resume_only)
    out.headers.push_back({"X-Resume-Only", "true"});
  if (run.next_token > 0) {
    out.headers.push_back({"X-Resume-From", std::to_string(run.next_token)});
    out.body.pop_back();
    out.body += ",\"delivered\":\"" + run.delivered + "\"}";
  }
  return out;
}

milliseconds ToMilliseconds(duration d) {
  return std::chrono::duration_cast<milliseconds>(d);
}

// Longest silence to accept before the next piece of the stream.
milliseconds SilenceLimit(const chat_run& run, const dispatch& sent) {
  if (run.token_gap > duration::zero())
    return std::clamp(ToMilliseconds(run.token_gap * kGapFactor),
                      kShortestGapTimeout, kLongestGapTimeout);
  const target_view& view = run.state->placement.targets[sent.chosen.target];
  const duration expected =
      ExpectedWait(view, 0) +
      FromSeconds(sent.missed / view.prefill_tokens_per_second);
  return kFirstTokenSlack + ToMilliseconds(expected * kFirstTokenFactor);
}

void NoteTokenArrived(chat_run& run, dispatch& sent) {
  const instant now = std::chrono::steady_clock::now();
  if (!sent.prefilled) {
    sent.prefilled = true;
    NotePrefilled(run.state->placement, sent.chosen, sent.missed);
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

void LearnFromUsage(chat_run& run, dispatch& sent, const stream_usage& usage) {
  if (sent.learned)
    return;
  sent.learned = true;
  LearnFromAnswer(run.state->placement, sent.chosen, sent.epoch, run.chain,
                  usage.cached_tokens, std::chrono::steady_clock::now());
  Count(run.state->stats, "waxwing_prompt_tokens_total", usage.prompt_tokens);
  Count(run.state->stats, "waxwing_cached_tokens_total", usage.cached_tokens);
}

// Takes in one event; appends what the caller should get to `out`. False if
// the event does not fit the stream so far.
bool TakeInEvent(chat_run& run,
                 dispatch& sent,
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
    http_response head{200,
                       {{"Content-Type", "text/event-stream"},
                        {std::string(kHeaderRequestId), run.request.id}},
                       ""};
    run.caller_gone = !co_await BeginStream(run.exchange, head);
  }
  if (!run.caller_gone)
    run.caller_gone = !co_await WriteStream(run.exchange, bytes);
  co_return !run.caller_gone || run.claimed;
}

// Reads the stream of one attempt to its end.
asio::awaitable<attempt_end> ReadStream(chat_run& run,
                                        dispatch& sent,
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
bool TakeInIdentity(chat_run& run, dispatch& sent, const http_call& call) {
  const auto& headers = call.head.headers;
  if (FindHeader(headers, "X-Request-Id") != run.request.id ||
      FindHeader(headers, "X-Attempt") != std::to_string(run.attempts)) {
    Count(run.state->stats, "waxwing_crossed_answers_total");
    return false;
  }
  target_view& view = run.state->placement.targets[sent.chosen.target];
  const std::string boot(FindHeader(headers, "X-Boot-Id"));
  const std::string version(FindHeader(headers, "X-Weights-Version"));
  ApplyIdentity(view, std::strtoull(boot.c_str(), nullptr, 10), version);
  sent.epoch = view.epoch;
  return version == run.version;
}

// One connection to the target: the first one, or a resume.
asio::awaitable<attempt_end> Attempt(chat_run& run,
                                     dispatch& sent,
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

// Tells a target to stop a run that is no longer wanted.
asio::awaitable<void> CancelAtTarget(router_ptr state,
                                     endpoint address,
                                     std::string id) {
  const http_request message{"POST", "/v1/cancel?id=" + id, {}, ""};
  const http_call_options options{kHeaderTimeout, true};
  const auto ignored = co_await Fetch(state->pool, address, message, options);
}

// Runs the request at one target: the first attempt, then resumes for as long
// as they bring new tokens.
asio::awaitable<attempt_end> RunAtTarget(chat_run& run, dispatch& sent) {
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

dispatch MakeDispatch(const chat_run& run, const placement& chosen) {
  const target_view& view = run.state->placement.targets[chosen.target];
  dispatch out;
  out.chosen = chosen;
  out.epoch = view.epoch;
  out.missed =
      run.chain.tokens - std::min(run.chain.tokens, chosen.cached_tokens);
  out.address = view.address;
  out.started = std::chrono::steady_clock::now();
  return out;
}

// Accounting after the target has been left, for whatever reason.
void FinishDispatch(chat_run& run, const dispatch& sent, attempt_end end) {
  router_state& state = *run.state;
  const instant now = std::chrono::steady_clock::now();
  if (!sent.prefilled)
    NotePrefilled(state.placement, sent.chosen, sent.missed);
  NoteFinished(state.placement, sent.chosen);
  NoteEnded(state.usage, run.request.account);
  target_view& view = state.placement.targets[sent.chosen.target];
  if (end == attempt_end::kDone) {
    NoteSuccess(view, now - sent.started);
  } else if (end != attempt_end::kCallerGone) {
    NoteFailure(view, sent.started, now);
    LogInfo("attempt_failed", {{"request", run.request.id},
                               {"target", view.name},
                               {"end", static_cast<int>(end)},
                               {"delivered", run.next_token}});
  }
  if (run.sent && end != attempt_end::kDone && end != attempt_end::kNotSent)
    asio::co_spawn(state.executor,
                   CancelAtTarget(run.state, sent.address, run.request.id),
                   asio::detached);
  GrantTargets(state);
}

// True if the request may go to another target after this end.
bool MayGoElsewhere(chat_run& run, attempt_end end) {
  if (run.attempts >= kMostAttempts)
    return false;
  if (run.claimed && run.sent)
    return false;
  if (std::chrono::steady_clock::now() >= run.request.deadline)
    return false;
  // A target that could not be reached has cost nothing.
  return end == attempt_end::kNotSent ||
         MayRetry(*run.state, run.request.account);
}

// Tries targets until the answer is whole. Fails with what to tell the caller.
asio::awaitable<tl::expected<void, api_error>> RunToEnd(chat_run& run) {
  int avoid = -1;
  while (true) {
    placement_request wanted{&run.chain, run.chat.model, run.version, avoid, 0};
    const double work = WorkTokens(run.chain.tokens, run.chat.max_tokens);
    auto chosen = co_await WaitForTarget(run.state, run.request, wanted, work);
    if (!chosen) {
      api_error error = chosen.error();
      if (run.sent)
        error.outcome = ran::kUnknown;
      co_return tl::unexpected(error);
    }
    run.is_dominant = chosen->is_dominant;
    dispatch sent = MakeDispatch(run, chosen->chosen);
    const attempt_end end = co_await RunAtTarget(run, sent);
    FinishDispatch(run, sent, end);
    if (end == attempt_end::kDone || end == attempt_end::kCallerGone)
      co_return tl::expected<void, api_error>();
    if (!MayGoElsewhere(run, end))
      co_return tl::unexpected(api_error{502,
                                         "target_failed",
                                         "the target did not complete it",
                                         run.sent ? ran::kUnknown : ran::kNo,
                                         {}});
    avoid = static_cast<int>(chosen->chosen.target);
    Count(run.state->stats, "waxwing_retries_total");
  }
}

std::string WholeAnswer(const chat_run& run) {
  const std::string prompt = std::to_string(run.usage.prompt_tokens);
  return "{\"id\":\"chatcmpl-" + run.request.id +
         "\",\"object\":\"chat.completion\",\"model\":\"" + run.chat.model +
         "\",\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\","
         "\"content\":\"" +
         run.delivered +
         "\"},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":" +
         prompt + ",\"completion_tokens\":" + std::to_string(run.next_token) +
         ",\"prompt_tokens_details\":{\"cached_tokens\":" +
         std::to_string(run.usage.cached_tokens) + "}}}";
}

asio::awaitable<void> SendSuccess(chat_run& run) {
  if (run.caller_gone)
    co_return;
  if (run.chat.stream) {
    co_await EndStream(run.exchange);
    co_return;
  }
  http_response answer = JsonResponse(200, WholeAnswer(run));
  answer.headers.push_back({std::string(kHeaderRequestId), run.request.id});
  co_await Respond(run.exchange, answer);
}

asio::awaitable<void> SendFailure(chat_run& run, const api_error& error) {
  if (run.caller_gone)
    co_return;
  if (run.began) {
    const std::string event = ErrorEvent(error);
    co_await WriteStream(run.exchange, event);
    co_await EndStream(run.exchange);
    co_return;
  }
  http_response answer = ErrorResponse(error);
  co_await Respond(run.exchange, answer);
}

// Writes the outcome of a claimed ticket; corrects the error's outcome.
asio::awaitable<void> SettleClaimed(chat_run& run, api_error* error) {
  if (!error) {
    kept_answer answer{200, "application/json", "", true};
    if (run.chat.stream)
      answer.content_type = "text/event-stream";
    answer.body = run.chat.stream ? run.recorded : WholeAnswer(run);
    co_await SettleAnswered(run.state, *run.claimed, std::move(answer));
  } else if (error->outcome == ran::kNo) {
    error->outcome = co_await SettleRefused(run.state, *run.claimed);
  } else {
    co_await SettleUnknown(run.state, *run.claimed);
  }
}

// The weights version to use: the account's own, or for an account without a
// pin another one that a target serves now.
std::string ChooseVersion(const router_state& state,
                          const std::string& account,
                          const std::string& model) {
  const config& active = *state.active;
  std::string wanted = VersionForAccount(active, account, model);
  const auto owner = active.accounts.find(account);
  if (owner != active.accounts.end() && owner->second.pins.contains(model))
    return wanted;
  std::string other;
  for (const target_view& view : state.placement.targets) {
    if (!view.usable || view.serves != model)
      continue;
    if (view.version == wanted)
      return wanted;
    other = view.version;
  }
  return other.empty() ? wanted : other;
}

}  // namespace

asio::awaitable<void> RunChat(router_ptr state,
                              http_exchange& exchange,
                              const admitted_request& request,
                              const chat_request& chat,
                              std::optional<ticket_id> claimed) {
  chat_run run{state, exchange, request, chat, claimed};
  run.version = ChooseVersion(*state, request.account, chat.model);
  run.chain = ComputePrefix(
      {request.account, chat.model, run.version, chat.adapter}, chat.messages);
  const double work = WorkTokens(run.chain.tokens, chat.max_tokens);
  tl::expected<void, api_error> result =
      TakeAccountTokens(*state, request.account, work);
  const bool took_tokens = result.has_value();
  bool noted = true;
  if (result && claimed)
    noted = co_await NoteDispatched(state, *claimed);
  if (!noted)
    result = tl::unexpected(api_error{503, "agent_unavailable",
                                      "the VM's agent does not answer",
                                      ran::kNo, seconds(1)});
  if (result)
    result = co_await RunToEnd(run);
  api_error* error = result ? nullptr : &result.error();
  if (error && took_tokens && error->outcome == ran::kNo)
    ReturnAccountTokens(*state, request.account, work);
  if (claimed)
    co_await SettleClaimed(run, error);
  Observe(state->stats, "waxwing_request_seconds",
          std::chrono::steady_clock::now() - request.arrived);
  if (error)
    co_await SendFailure(run, *error);
  else
    co_await SendSuccess(run);
}

}  // namespace waxwing
