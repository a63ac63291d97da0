// Tickets of non-idempotent requests: minting and claiming them, forwarding
// requests to the owner of their ticket, and recording the outcomes.

#include <boost/asio.hpp>

#include "waxwing/hash.h"
#include "waxwing/log.h"
#include "waxwing/router_state.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);
// Maximum time to wait for the agent's copy of the ledger after a restart.
constexpr milliseconds kMaxLedgerWait{500};
constexpr milliseconds kLedgerPollInterval{10};

api_error UnknownOutcomeError(std::string_view type, std::string_view message) {
  return {
      409, std::string(type), std::string(message), run_outcome::kUnknown, {}};
}

asio::awaitable<void> SendError(http_exchange& exchange, api_error error) {
  http_response response = ErrorResponse(error);
  co_await Respond(exchange, response);
}

// Waits until the ledger contains the entries of earlier routers of this VM.
// Returns false on timeout.
asio::awaitable<bool> WaitForLedger(const router_ptr& state) {
  if (!state->options.agent)
    co_return true;
  const instant limit = std::chrono::steady_clock::now() + kMaxLedgerWait;
  while (!state->agent.ledger_ready &&
         std::chrono::steady_clock::now() < limit) {
    asio::steady_timer poll(state->executor, kLedgerPollInterval);
    co_await poll.async_wait(kUseTuple);
  }
  co_return state->agent.ledger_ready;
}

// Rejects a request without a ticket, because a duplicate of it could not be
// told from a new request. The response carries a ticket for the caller to use.
asio::awaitable<void> RequireTicket(const router_ptr& state,
                                    http_exchange& exchange,
                                    const admitted_request& request) {
  const api_error error{428,
                        "ticket_required",
                        "repeat the request with the X-Ticket given here",
                        run_outcome::kNotRun,
                        {}};
  http_response response = ErrorResponse(error);
  member self;
  self.vm = state->options.vm;
  self.incarnation = state->vm_incarnation;
  AddTicket(response, MintTicket(*state, request.account, self));
  co_await Respond(exchange, response);
}

// Forwards the request to the ticket's owner and relays its response.
asio::awaitable<void> ForwardToOwner(const router_ptr& state,
                                     http_exchange& exchange,
                                     const admitted_request& request,
                                     const ticket& parsed_ticket) {
  if (IsForwarded(exchange.request)) {
    co_await SendError(
        exchange, UnknownOutcomeError("not_owner", "forwarded to a non-owner"));
    co_return;
  }
  const auto owner = state->members.members.find(parsed_ticket.owner);
  if (owner == state->members.members.end() ||
      owner->second.data.incarnation != parsed_ticket.owner_incarnation) {
    co_await SendError(
        exchange,
        UnknownOutcomeError("owner_gone", "the ticket's owner is gone"));
    co_return;
  }
  const http_request message =
      MakeForwardedRequest(exchange.request, state->options.vm);
  Count(state->stats, "waxwing_forwarded_total");
  const http_call_options options{
      std::chrono::duration_cast<milliseconds>(
          request.deadline - std::chrono::steady_clock::now()),
      false};
  const endpoint address = owner->second.data.router;
  auto response = co_await Fetch(state->pool, address, message, options);
  if (!response) {
    // A duplicate of the request may have reached the owner earlier.
    co_await SendError(
        exchange, UnknownOutcomeError("owner_unreachable",
                                      "the ticket's owner does not answer"));
    co_return;
  }
  http_response forwarded = MakeForwardedResponse(std::move(*response));
  co_await Respond(exchange, std::move(forwarded));
}

// Waits until the run in progress under this ticket has ended or the request's
// deadline has passed.
asio::awaitable<void> WaitForOutcome(const router_ptr& state,
                                     const admitted_request& request,
                                     const ticket_id& id) {
  const auto found = state->outcome_waiters.find(id);
  if (found == state->outcome_waiters.end())
    co_return;
  const auto waiter_timer = found->second;
  while (std::chrono::steady_clock::now() < request.deadline) {
    const ledger_entry* entry = FindEntry(state->ticket_ledger, id);
    if (!entry || (entry->state != ledger_entry_state::kClaimed &&
                   entry->state != ledger_entry_state::kDispatched))
      co_return;
    asio::steady_timer deadline_timer(state->executor, request.deadline);
    waiter_timer->expires_at(instant::max());
    deadline_timer.async_wait(
        [waiter_timer](const boost::system::error_code& error) {
          if (!error)
            waiter_timer->cancel();
        });
    co_await waiter_timer->async_wait(kUseTuple);
  }
}

// Responds with the recorded outcome of an earlier copy of the request.
asio::awaitable<void> RespondFromLedger(const router_ptr& state,
                                        http_exchange& exchange,
                                        const ticket_id& id) {
  const ledger_entry* entry = FindEntry(state->ticket_ledger, id);
  const ledger_entry_state entry_state =
      entry ? entry->state : ledger_entry_state::kUnknown;
  if (entry_state == ledger_entry_state::kCompleted &&
      entry->response.is_complete) {
    http_response response{entry->response.status, {}, entry->response.body};
    response.headers.push_back({"Content-Type", entry->response.content_type});
    MarkRepeated(response);
    co_await Respond(exchange, response);
    co_return;
  }
  api_error error =
      UnknownOutcomeError("outcome_unknown", "an earlier copy may have run");
  if (entry_state == ledger_entry_state::kCompleted) {
    error.type = "answer_not_kept";
    error.message = "the request ran; its answer was too large to keep";
    error.outcome = run_outcome::kRan;
  } else if (entry_state == ledger_entry_state::kRefused) {
    error.type = "ticket_spent";
    error.message = "the request was refused and did not run";
    error.outcome = run_outcome::kNotRun;
  }
  co_await SendError(exchange, error);
}

void WakeOutcomeWaiters(router_state& state, const ticket_id& id) {
  const auto found = state.outcome_waiters.find(id);
  if (found == state.outcome_waiters.end())
    return;
  found->second->cancel();
  state.outcome_waiters.erase(found);
}

// Returns an error if the ledger has no capacity for the ticket.
std::optional<api_error> ErrorForClaim(claim_result claim) {
  if (claim == claim_result::kFull)
    return api_error{503, "ledger_full", "too many tickets are in use",
                     run_outcome::kNotRun, seconds(5)};
  return std::nullopt;
}

}  // namespace

std::string MintTicket(router_state& state,
                       std::string_view account,
                       const member& owner) {
  ticket minted;
  minted.id = {state.options.vm, state.process_incarnation,
               state.next_ticket_number++};
  minted.owner = owner.vm;
  minted.owner_incarnation = owner.incarnation;
  minted.account_hash = Hash64(account);
  minted.expires = UnixNow() + kTicketLifetime.count();
  return WriteTicket(minted, state.options.key);
}

asio::awaitable<bool> ClaimTicket(const router_ptr& state,
                                  http_exchange& exchange,
                                  const admitted_request& request,
                                  ticket_id& claimed_id) {
  if (request.inbound.ticket.empty()) {
    co_await RequireTicket(state, exchange, request);
    co_return false;
  }
  const auto parsed = ReadTicket(request.inbound.ticket, state->options.key);
  tl::expected<void, ticket_error> checked;
  if (parsed)
    checked = CheckTicket(*parsed, request.account, UnixNow());
  if (!parsed || !checked) {
    const ticket_error failure = parsed ? checked.error() : parsed.error();
    const api_error error{403,
                          std::string(NameOf(failure)),
                          "the ticket is not valid",
                          run_outcome::kNotRun,
                          {}};
    co_await SendError(exchange, error);
    co_return false;
  }
  if (parsed->owner != state->options.vm) {
    co_await ForwardToOwner(state, exchange, request, *parsed);
    co_return false;
  }
  const bool ledger_ready = co_await WaitForLedger(state);
  if (!ledger_ready || parsed->owner_incarnation != state->vm_incarnation) {
    co_await SendError(
        exchange,
        ledger_ready
            ? UnknownOutcomeError("owner_restarted",
                                  "the owner has lost its ledger since")
            : UnknownOutcomeError("ledger_not_ready",
                                  "the owner does not have its ledger yet"));
    co_return false;
  }
  claimed_id = parsed->id;
  const claim_result claim = TryClaim(state->ticket_ledger, *parsed, UnixNow());
  if (claim == claim_result::kClaimed) {
    state->outcome_waiters[claimed_id] =
        std::make_shared<asio::steady_timer>(state->executor, instant::max());
    co_return true;
  }
  if (const auto error = ErrorForClaim(claim)) {
    co_await SendError(exchange, *error);
    co_return false;
  }
  if (claim == claim_result::kNotRun &&
      !FindEntry(state->ticket_ledger, claimed_id)) {
    const api_error error{409,
                          "ticket_expired",
                          "the ticket expired before the request ran",
                          run_outcome::kNotRun,
                          {}};
    co_await SendError(exchange, error);
    co_return false;
  }
  if (claim == claim_result::kInProgress)
    co_await WaitForOutcome(state, request, claimed_id);
  Count(state->stats, "waxwing_repeated_requests_total");
  co_await RespondFromLedger(state, exchange, claimed_id);
  co_return false;
}

asio::awaitable<bool> RecordTicketDispatch(const router_ptr& state,
                                           const ticket_id& id) {
  MarkDispatched(state->ticket_ledger, id);
  const bool acknowledged = co_await ReplicateLedgerEntry(state, id);
  co_return acknowledged;
}

asio::awaitable<void> RecordTicketCompletion(const router_ptr& state,
                                             const ticket_id& id,
                                             stored_response response) {
  MarkCompleted(state->ticket_ledger, id, std::move(response));
  WakeOutcomeWaiters(*state, id);
  co_await ReplicateLedgerEntry(state, id);
}

asio::awaitable<void> RecordTicketUnknown(const router_ptr& state,
                                          const ticket_id& id) {
  MarkUnknown(state->ticket_ledger, id);
  WakeOutcomeWaiters(*state, id);
  co_await ReplicateLedgerEntry(state, id);
}

asio::awaitable<run_outcome> RecordTicketRefusal(const router_ptr& state,
                                                 const ticket_id& id) {
  MarkRefused(state->ticket_ledger, id);
  WakeOutcomeWaiters(*state, id);
  const bool acknowledged = co_await ReplicateLedgerEntry(state, id);
  co_return acknowledged ? run_outcome::kNotRun : run_outcome::kUnknown;
}

}  // namespace waxwing
