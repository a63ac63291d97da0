// One call to a plain service.
//
// An idempotent call that fails is tried at another target within the account's
// retry budget. A non-idempotent one is sent once, on a connection of its own:
// if that can't be made, no byte has left and another target may be tried; any
// later failure leaves the outcome unknown.

#include <algorithm>
#include <boost/asio.hpp>

#include "waxwing/log.h"
#include "waxwing/router_state.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

constexpr milliseconds kLongestCall{30'000};
constexpr int kMostAttempts = 4;

http_request MakeTargetRequest(const router_state& state,
                               const http_request& from,
                               const admitted_request& request,
                               const service_call& call) {
  attempt_parameters parameters;
  parameters.request_id = request.id;
  parameters.account = request.account;
  return state.protocol.write_target_request(MakeServiceRequest(from, call),
                                             request.call, parameters);
}

// The usable target of the service with the fewest calls of this router in
// flight, other than the one that has just failed.
std::optional<placement> ChooseTarget(const router_state& state,
                                      std::string_view service,
                                      int avoid,
                                      instant now) {
  std::optional<placement> best;
  for (std::uint32_t i = 0; i < state.placement.targets.size(); ++i) {
    const target_view& view = state.placement.targets[i];
    if (view.serves != service || !IsUsable(view, now) ||
        static_cast<int>(i) == avoid)
      continue;
    if (!best ||
        InFlight(view) < InFlight(state.placement.targets[best->target]))
      best = placement{i, 0, now, true};
  }
  return best;
}

// Time left until the request's deadline, within bounds.
milliseconds TimeLeft(const admitted_request& request) {
  const auto left = std::chrono::duration_cast<milliseconds>(
      request.deadline - std::chrono::steady_clock::now());
  return std::clamp(left, milliseconds(1), kLongestCall);
}

struct service_result {
  http_response answer;
  std::optional<api_error> error;
};

asio::awaitable<service_result> CallTargets(const router_ptr& state,
                                            const http_request& message,
                                            const admitted_request& request,
                                            const service_call& call,
                                            bool once) {
  int avoid = -1;
  bool sent = false;
  for (int attempt = 1; attempt <= kMostAttempts; ++attempt) {
    const instant now = std::chrono::steady_clock::now();
    const auto chosen = ChooseTarget(*state, call.name, avoid, now);
    if (!chosen)
      break;
    Count(state->stats, "waxwing_attempts_total");
    RecordDispatch(state->placement, *chosen, 0);
    const http_call_options options{TimeLeft(request), !once};
    const endpoint address = state->placement.targets[chosen->target].address;
    auto answer = co_await Fetch(state->pool, address, message, options);
    RecordFinished(state->placement, *chosen);
    target_view& view = state->placement.targets[chosen->target];
    // A refusal by the target may pass elsewhere, if the call may be repeated.
    if (answer && (once || answer->status != 503)) {
      RecordSuccess(view, std::chrono::steady_clock::now() - now);
      co_return service_result{std::move(*answer), std::nullopt};
    }
    RecordFailure(view, now, std::chrono::steady_clock::now());
    const bool this_sent = answer || answer.error().sent;
    sent = sent || this_sent;
    if (once && sent)
      break;
    if (this_sent && !MayRetry(*state, request.account))
      break;
    avoid = static_cast<int>(chosen->target);
  }
  api_error error{502,
                  "target_failed",
                  "no target of the service answered",
                  sent ? run_outcome::kUnknown : run_outcome::kNotRun,
                  {}};
  // Only what certainly did not run may simply be tried again.
  if (!sent)
    error.retry_after = seconds(1);
  co_return service_result{{}, error};
}

stored_response Keep(const http_response& answer) {
  const std::string_view type = FindHeader(answer.headers, "Content-Type");
  return {answer.status, std::string(type), answer.body, true};
}

// Runs the call under its ticket and records what became of it.
asio::awaitable<service_result> RunClaimed(const router_ptr& state,
                                           const http_request& message,
                                           const admitted_request& request,
                                           const service_call& call,
                                           const ticket_id& id) {
  service_result result;
  const bool noted = co_await NoteDispatched(state, id);
  if (noted)
    result = co_await CallTargets(state, message, request, call, true);
  else
    result.error =
        api_error{503, "agent_unavailable", "the VM's agent does not answer",
                  run_outcome::kNotRun, seconds(1)};
  if (!result.error)
    co_await SettleAnswered(state, id, Keep(result.answer));
  else if (result.error->outcome == run_outcome::kNotRun)
    result.error->outcome = co_await SettleRefused(state, id);
  else
    co_await SettleUnknown(state, id);
  co_return result;
}

}  // namespace

asio::awaitable<void> RunService(router_ptr state,
                                 http_exchange& exchange,
                                 const admitted_request& request,
                                 const service_call& call,
                                 std::optional<ticket_id> claimed) {
  const http_request message =
      MakeTargetRequest(*state, exchange.request, request, call);
  service_result result;
  if (claimed)
    result = co_await RunClaimed(state, message, request, call, *claimed);
  else
    result = co_await CallTargets(state, message, request, call, false);
  http_response answer;
  if (result.error) {
    answer = ErrorResponse(*result.error);
  } else {
    const stored_response kept = Keep(result.answer);
    answer = {kept.status, {{"Content-Type", kept.content_type}}, kept.body};
  }
  AddRequestId(answer, request.id);
  Observe(state->stats, "waxwing_service_seconds",
          std::chrono::steady_clock::now() - request.arrived);
  co_await Respond(exchange, answer);
}

}  // namespace waxwing
