// Runs a chat completion from the queue to the end of its response.
//
// A stream that breaks is resumed at the same target (chat_relay.cc). If that
// fails, an idempotent request is replayed on another target with the same
// weights version, which receives the tokens delivered so far. The caller sees
// one contiguous stream, which ends with an error event if the run fails.

#include <algorithm>
#include <boost/asio.hpp>

#include "waxwing/chat_run.h"
#include "waxwing/log.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

// Number of attempts, including resumes, after which a request isn't replayed
// on another target.
constexpr int kMaxAttempts = 6;

chat_dispatch MakeDispatch(const chat_run& run, const placement& chosen) {
  const target_view& view = run.state->placement.targets[chosen.target];
  chat_dispatch out;
  out.chosen = chosen;
  out.epoch = view.epoch;
  out.uncached_tokens =
      run.chain.tokens - std::min(run.chain.tokens, chosen.cached_tokens);
  out.address = view.address;
  out.started = std::chrono::steady_clock::now();
  return out;
}

// Updates the accounting after a dispatch has ended, successfully or not, and
// cancels the run at the target if it may still be in progress.
void FinishDispatch(chat_run& run,
                    const chat_dispatch& dispatch,
                    attempt_result result) {
  router_state& state = *run.state;
  const instant now = std::chrono::steady_clock::now();
  if (!dispatch.is_prefilled)
    RecordPrefilled(state.placement, dispatch.chosen, dispatch.uncached_tokens);
  RecordFinished(state.placement, dispatch.chosen);
  RecordEnded(state.usage, run.request.account);
  target_view& view = state.placement.targets[dispatch.chosen.target];
  if (result == attempt_result::kCompleted) {
    RecordSuccess(view, now - dispatch.started);
  } else if (result != attempt_result::kCallerGone) {
    RecordFailure(view, dispatch.started, now);
    LogInfo("attempt_failed", {{"request", run.request.id},
                               {"target", view.name},
                               {"end", static_cast<int>(result)},
                               {"delivered", run.next_token}});
  }
  if (run.was_sent && result != attempt_result::kCompleted &&
      result != attempt_result::kNotSent)
    asio::co_spawn(state.executor,
                   CancelAtTarget(run.state, dispatch.address, run.request.id),
                   asio::detached);
  GrantTargets(state);
}

// Returns true if the request may be replayed on another target. Takes a retry
// from the account's budget unless the request was not sent.
bool MayReplay(chat_run& run, attempt_result result) {
  if (run.attempts >= kMaxAttempts)
    return false;
  if (run.claimed_ticket && run.was_sent)
    return false;
  if (std::chrono::steady_clock::now() >= run.request.deadline)
    return false;
  // A request that was not sent has put no load on a target.
  return result == attempt_result::kNotSent ||
         TryTakeRetry(*run.state, run.request.account);
}

// Tries targets until the response is complete. Fails with the error to send to
// the caller.
asio::awaitable<tl::expected<void, api_error>> RunWithReplays(chat_run& run) {
  int failed_target = -1;
  while (true) {
    placement_request requirements{&run.chain, run.chat.model,
                                   run.weights_version, failed_target, 0};
    const double work =
        EstimateWorkTokens(run.chain.tokens, run.chat.max_tokens);
    auto granted =
        co_await WaitForTarget(run.state, run.request, requirements, work);
    if (!granted) {
      api_error error = granted.error();
      if (run.was_sent)
        error.outcome = run_outcome::kUnknown;
      co_return tl::unexpected(error);
    }
    run.is_dominant = granted->is_dominant;
    chat_dispatch dispatch = MakeDispatch(run, granted->chosen);
    const attempt_result result = co_await RunAtTarget(run, dispatch);
    FinishDispatch(run, dispatch, result);
    if (result == attempt_result::kCompleted ||
        result == attempt_result::kCallerGone)
      co_return tl::expected<void, api_error>();
    if (!MayReplay(run, result))
      co_return tl::unexpected(
          api_error{502,
                    "target_failed",
                    "the target did not complete it",
                    run.was_sent ? run_outcome::kUnknown : run_outcome::kNotRun,
                    {}});
    failed_target = static_cast<int>(granted->chosen.target);
    Count(run.state->stats, "waxwing_retries_total");
  }
}

std::string MakeCompletionBody(const chat_run& run) {
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
  http_response response = JsonResponse(200, MakeCompletionBody(run));
  AddRequestId(response, run.request.id);
  co_await Respond(run.exchange, response);
}

asio::awaitable<void> SendFailure(chat_run& run, const api_error& error) {
  if (run.caller_gone)
    co_return;
  if (run.stream_started) {
    const std::string event = ErrorEvent(error);
    co_await WriteStream(run.exchange, event);
    co_await EndStream(run.exchange);
    co_return;
  }
  http_response response = ErrorResponse(error);
  co_await Respond(run.exchange, response);
}

// Records the outcome of a claimed ticket. `error` is null on success. If the
// agent does not acknowledge a refusal, the error's outcome becomes kUnknown.
asio::awaitable<void> RecordTicketOutcome(chat_run& run, api_error* error) {
  if (!error) {
    stored_response response{200, "application/json", "", true};
    if (run.chat.stream)
      response.content_type = "text/event-stream";
    response.body =
        run.chat.stream ? run.recorded_stream : MakeCompletionBody(run);
    co_await RecordTicketCompletion(run.state, *run.claimed_ticket,
                                    std::move(response));
  } else if (error->outcome == run_outcome::kNotRun) {
    error->outcome =
        co_await RecordTicketRefusal(run.state, *run.claimed_ticket);
  } else {
    co_await RecordTicketUnknown(run.state, *run.claimed_ticket);
  }
}

// Returns the weights version to use: the one assigned to the account or, if no
// target serves it and the account isn't pinned, another version that a target
// serves.
std::string ChooseWeightsVersion(const router_state& state,
                                 const std::string& account,
                                 const std::string& model) {
  const config& active = *state.active_config;
  std::string assigned = VersionForAccount(active, account, model);
  const auto found = active.accounts.find(account);
  if (found != active.accounts.end() && found->second.pins.contains(model))
    return assigned;
  std::string served_version;
  for (const target_view& view : state.placement.targets) {
    if (!view.is_in_service || view.serves != model)
      continue;
    if (view.version == assigned)
      return assigned;
    served_version = view.version;
  }
  return served_version.empty() ? assigned : served_version;
}

}  // namespace

asio::awaitable<void> RunChat(router_ptr state,
                              http_exchange& exchange,
                              const admitted_request& request,
                              const chat_request& chat,
                              std::optional<ticket_id> claimed_ticket) {
  chat_run run{state, exchange, request, chat, claimed_ticket};
  run.weights_version =
      ChooseWeightsVersion(*state, request.account, chat.model);
  run.chain = ComputePrefix(
      {request.account, chat.model, run.weights_version, chat.adapter},
      chat.messages);
  const double work = EstimateWorkTokens(run.chain.tokens, chat.max_tokens);
  tl::expected<void, api_error> result =
      TakeAccountTokens(*state, request.account, work);
  const bool took_tokens = result.has_value();
  bool dispatch_recorded = true;
  if (result && claimed_ticket)
    dispatch_recorded = co_await RecordTicketDispatch(state, *claimed_ticket);
  if (!dispatch_recorded)
    result = tl::unexpected(api_error{503, "agent_unavailable",
                                      "the VM's agent does not answer",
                                      run_outcome::kNotRun, seconds(1)});
  if (result)
    result = co_await RunWithReplays(run);
  api_error* error = result ? nullptr : &result.error();
  if (error && took_tokens && error->outcome == run_outcome::kNotRun)
    ReturnAccountTokens(*state, request.account, work);
  if (claimed_ticket)
    co_await RecordTicketOutcome(run, error);
  Observe(state->stats, "waxwing_request_seconds",
          std::chrono::steady_clock::now() - request.arrived);
  if (error)
    co_await SendFailure(run, *error);
  else
    co_await SendSuccess(run);
}

}  // namespace waxwing
