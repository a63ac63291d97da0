// One chat completion, from the queue to the last byte.
//
// A target that breaks is resumed there (chat_relay.cc); if it is gone, an
// idempotent request is replayed on another one of the same weights version,
// which gets the tokens already delivered. The caller sees one gapless stream,
// or an explicit error event at its end.

#include <algorithm>
#include <boost/asio.hpp>

#include "waxwing/chat_run.h"
#include "waxwing/log.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

constexpr int kMostAttempts = 6;

chat_dispatch MakeDispatch(const chat_run& run, const placement& chosen) {
  const target_view& view = run.state->placement.targets[chosen.target];
  chat_dispatch out;
  out.chosen = chosen;
  out.epoch = view.epoch;
  out.missed =
      run.chain.tokens - std::min(run.chain.tokens, chosen.cached_tokens);
  out.address = view.address;
  out.started = std::chrono::steady_clock::now();
  return out;
}

// Accounting after the target has been left, for whatever reason.
void FinishDispatch(chat_run& run, const chat_dispatch& sent, attempt_end end) {
  router_state& state = *run.state;
  const instant now = std::chrono::steady_clock::now();
  if (!sent.prefilled)
    RecordPrefilled(state.placement, sent.chosen, sent.missed);
  RecordFinished(state.placement, sent.chosen);
  RecordEnded(state.usage, run.request.account);
  target_view& view = state.placement.targets[sent.chosen.target];
  if (end == attempt_end::kDone) {
    RecordSuccess(view, now - sent.started);
  } else if (end != attempt_end::kCallerGone) {
    RecordFailure(view, sent.started, now);
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
        error.outcome = run_outcome::kUnknown;
      co_return tl::unexpected(error);
    }
    run.is_dominant = chosen->is_dominant;
    chat_dispatch sent = MakeDispatch(run, chosen->chosen);
    const attempt_end end = co_await RunAtTarget(run, sent);
    FinishDispatch(run, sent, end);
    if (end == attempt_end::kDone || end == attempt_end::kCallerGone)
      co_return tl::expected<void, api_error>();
    if (!MayGoElsewhere(run, end))
      co_return tl::unexpected(
          api_error{502,
                    "target_failed",
                    "the target did not complete it",
                    run.sent ? run_outcome::kUnknown : run_outcome::kNotRun,
                    {}});
    avoid = static_cast<int>(chosen->chosen.target);
    Count(run.state->stats, "waxwing_retries_total");
  }
}

std::string WholeAnswer(const chat_run& run) {
  return WriteCompletion({run.request.id, run.chat.model, run.delivered,
                          run.next_token, run.usage});
}

asio::awaitable<void> SendSuccess(chat_run& run) {
  if (run.caller_gone)
    co_return;
  if (run.chat.stream) {
    co_await EndStream(run.exchange);
    co_return;
  }
  http_response answer = JsonResponse(200, WholeAnswer(run));
  AddRequestId(answer, run.request.id);
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
    stored_response answer{200, "application/json", "", true};
    if (run.chat.stream)
      answer.content_type = "text/event-stream";
    answer.body = run.chat.stream ? run.recorded : WholeAnswer(run);
    co_await SettleAnswered(run.state, *run.claimed, std::move(answer));
  } else if (error->outcome == run_outcome::kNotRun) {
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
    if (!view.is_in_service || view.serves != model)
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
                                      run_outcome::kNotRun, seconds(1)});
  if (result)
    result = co_await RunToEnd(run);
  api_error* error = result ? nullptr : &result.error();
  if (error && took_tokens && error->outcome == run_outcome::kNotRun)
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
