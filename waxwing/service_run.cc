// Runs a call to a plain service.
//
// An idempotent call that fails is retried at another target within the
// account's retry budget. A non-idempotent call is sent at most once, on a new
// connection. If connecting fails, no byte was sent and another target may be
// tried; after any later failure the outcome is unknown.

#include <algorithm>
#include <boost/asio.hpp>

#include "waxwing/log.h"
#include "waxwing/router_state.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

constexpr milliseconds kMaxCallTime{30'000};
constexpr int kMaxAttempts = 4;

http_request MakeTargetRequest(const router_state& state,
                               const http_request& from_caller,
                               const admitted_request& request,
                               const service_call& call) {
  attempt_parameters parameters;
  parameters.request_id = request.id;
  parameters.account = request.account;
  return state.protocol.write_target_request(
      MakeServiceRequest(from_caller, call), request.inbound, parameters);
}

// Returns the usable target of the service with the fewest requests in flight,
// other than `failed_target`; of equal ones the one used longest ago.
std::optional<placement> ChooseTarget(const router_state& state,
                                      std::string_view service,
                                      int failed_target,
                                      instant now) {
  std::optional<placement> best;
  for (std::uint32_t i = 0; i < state.placement.targets.size(); ++i) {
    const target_view& view = state.placement.targets[i];
    if (view.serves != service || !IsUsable(view, now) ||
        static_cast<int>(i) == failed_target)
      continue;
    const auto rank = [](const target_view& target) {
      return std::pair(InFlight(target), target.last_dispatch);
    };
    if (!best || rank(view) < rank(state.placement.targets[best->target]))
      best = placement{i, 0, now, true};
  }
  return best;
}

// Returns the time left until the request's deadline, at least 1 ms and at most
// kMaxCallTime.
milliseconds TimeLeft(const admitted_request& request) {
  const auto remaining = std::chrono::duration_cast<milliseconds>(
      request.deadline - std::chrono::steady_clock::now());
  return std::clamp(remaining, milliseconds(1), kMaxCallTime);
}

struct service_result {
  http_response response;
  std::optional<api_error> error;
};

// Calls targets of the service until one responds or no attempt is left. If
// `is_at_most_once`, makes no further attempt after a byte of the call was
// sent.
asio::awaitable<service_result> CallTargets(const router_ptr& state,
                                            const http_request& message,
                                            const admitted_request& request,
                                            const service_call& call,
                                            bool is_at_most_once) {
  int failed_target = -1;
  bool was_sent = false;
  for (int attempt = 1; attempt <= kMaxAttempts; ++attempt) {
    const instant now = std::chrono::steady_clock::now();
    const auto chosen = ChooseTarget(*state, call.name, failed_target, now);
    if (!chosen)
      break;
    Count(state->stats, "waxwing_attempts_total");
    RecordDispatch(state->placement, *chosen, 0);
    const http_call_options options{TimeLeft(request), !is_at_most_once};
    const endpoint address = state->placement.targets[chosen->target].address;
    auto response = co_await Fetch(state->pool, address, message, options);
    RecordFinished(state->placement, *chosen);
    target_view& view = state->placement.targets[chosen->target];
    // Another target may accept a call that this one refused with 503, if the
    // call may be repeated.
    if (response && (is_at_most_once || response->status != 503)) {
      RecordSuccess(view, std::chrono::steady_clock::now() - now);
      co_return service_result{std::move(*response), std::nullopt};
    }
    RecordFailure(view, now, std::chrono::steady_clock::now());
    const bool attempt_sent = response || response.error().maybe_sent;
    was_sent = was_sent || attempt_sent;
    if (is_at_most_once && was_sent)
      break;
    if (attempt_sent && !TryTakeRetry(*state, request.account))
      break;
    failed_target = static_cast<int>(chosen->target);
  }
  api_error error{502,
                  "target_failed",
                  "no target of the service answered",
                  was_sent ? run_outcome::kUnknown : run_outcome::kNotRun,
                  {}};
  // The caller may safely repeat the call only if it was not sent.
  if (!was_sent)
    error.retry_after = seconds(1);
  co_return service_result{{}, error};
}

stored_response MakeStoredResponse(const http_response& response) {
  const std::string_view type = FindHeader(response.headers, "Content-Type");
  return {response.status, std::string(type), response.body, true};
}

// Runs the call under its ticket and records the outcome.
asio::awaitable<service_result> RunClaimed(const router_ptr& state,
                                           const http_request& message,
                                           const admitted_request& request,
                                           const service_call& call,
                                           const ticket_id& id) {
  service_result result;
  const bool dispatch_recorded = co_await RecordTicketDispatch(state, id);
  if (dispatch_recorded)
    result = co_await CallTargets(state, message, request, call, true);
  else
    result.error =
        api_error{503, "agent_unavailable", "the VM's agent does not answer",
                  run_outcome::kNotRun, seconds(1)};
  if (!result.error)
    co_await RecordTicketCompletion(state, id,
                                    MakeStoredResponse(result.response));
  else if (result.error->outcome == run_outcome::kNotRun)
    result.error->outcome = co_await RecordTicketRefusal(state, id);
  else
    co_await RecordTicketUnknown(state, id);
  co_return result;
}

}  // namespace

asio::awaitable<void> RunService(router_ptr state,
                                 http_exchange& exchange,
                                 const admitted_request& request,
                                 const service_call& call,
                                 std::optional<ticket_id> claimed_ticket) {
  const http_request message =
      MakeTargetRequest(*state, exchange.request, request, call);
  service_result result;
  if (claimed_ticket)
    result =
        co_await RunClaimed(state, message, request, call, *claimed_ticket);
  else
    result = co_await CallTargets(state, message, request, call, false);
  http_response response;
  if (result.error) {
    response = ErrorResponse(*result.error);
  } else {
    const stored_response stored = MakeStoredResponse(result.response);
    response = {
        stored.status, {{"Content-Type", stored.content_type}}, stored.body};
  }
  AddRequestId(response, request.id);
  Observe(state->stats, "waxwing_service_seconds",
          std::chrono::steady_clock::now() - request.arrived);
  co_await Respond(exchange, response);
}

}  // namespace waxwing
