// Tickets of non-idempotent requests at the router: minting, claiming,
// forwarding to the owner, and recording what became of a run.

#include <boost/asio.hpp>

#include "waxwing/hash.h"
#include "waxwing/log.h"
#include "waxwing/router_state.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);
// Longest wait for the agent's copy of the ledger after a restart.
constexpr milliseconds kLedgerWait{500};
constexpr milliseconds kLedgerPoll{10};

api_error Unknown(std::string_view type, std::string_view message) {
  return {
      409, std::string(type), std::string(message), run_outcome::kUnknown, {}};
}

asio::awaitable<void> Refuse(http_exchange& exchange, api_error error) {
  http_response answer = ErrorResponse(error);
  co_await Respond(exchange, answer);
}

// True once the ledger holds what earlier routers of this VM left behind.
asio::awaitable<bool> WaitForLedger(const router_ptr& state) {
  if (!state->options.agent)
    co_return true;
  const instant limit = std::chrono::steady_clock::now() + kLedgerWait;
  while (!state->agent.ready && std::chrono::steady_clock::now() < limit) {
    asio::steady_timer poll(state->executor, kLedgerPoll);
    co_await poll.async_wait(kUseTuple);
  }
  co_return state->agent.ready;
}

// Asks for a ticket: without one nothing could tell a late copy of the request
// from a new one. Nothing has run, and the answer carries a ticket to use.
asio::awaitable<void> DemandTicket(const router_ptr& state,
                                   http_exchange& exchange,
                                   const admitted_request& request) {
  const api_error error{428,
                        "ticket_required",
                        "repeat the request with the X-Ticket given here",
                        run_outcome::kNotRun,
                        {}};
  http_response answer = ErrorResponse(error);
  member self;
  self.vm = state->options.vm;
  self.incarnation = state->vm_incarnation;
  AddTicket(answer, MintTicket(*state, request.account, self));
  co_await Respond(exchange, answer);
}

// Passes the request on to the ticket's owner and its answer back.
asio::awaitable<void> ForwardToOwner(const router_ptr& state,
                                     http_exchange& exchange,
                                     const admitted_request& request,
                                     const ticket& claimed) {
  if (IsForwarded(exchange.request)) {
    co_await Refuse(exchange, Unknown("not_owner", "forwarded to a non-owner"));
    co_return;
  }
  const auto owner = state->members.members.find(claimed.owner);
  if (owner == state->members.members.end() ||
      owner->second.data.incarnation != claimed.owner_incarnation) {
    co_await Refuse(exchange,
                    Unknown("owner_gone", "the ticket's owner is gone"));
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
  auto answer = co_await Fetch(state->pool, address, message, options);
  if (!answer) {
    // An earlier copy of the request may have reached the owner.
    co_await Refuse(exchange, Unknown("owner_unreachable",
                                      "the ticket's owner does not answer"));
    co_return;
  }
  http_response passed = MakeForwardedResponse(std::move(*answer));
  co_await Respond(exchange, std::move(passed));
}

// Waits until the run in progress under this ticket has an outcome.
asio::awaitable<void> WaitForOutcome(const router_ptr& state,
                                     const admitted_request& request,
                                     const ticket_id& id) {
  const auto found = state->joined.find(id);
  if (found == state->joined.end())
    co_return;
  const auto outcome = found->second;
  while (std::chrono::steady_clock::now() < request.deadline) {
    const ledger_entry* entry = FindEntry(state->book, id);
    if (!entry || (entry->state != ledger_entry_state::kClaimed &&
                   entry->state != ledger_entry_state::kDispatched))
      co_return;
    asio::steady_timer late(state->executor, request.deadline);
    outcome->expires_at(instant::max());
    late.async_wait([outcome](const boost::system::error_code& error) {
      if (!error)
        outcome->cancel();
    });
    co_await outcome->async_wait(kUseTuple);
  }
}

// Answers from the ledger what became of an earlier copy of the request.
asio::awaitable<void> AnswerFromLedger(const router_ptr& state,
                                       http_exchange& exchange,
                                       const ticket_id& id) {
  const ledger_entry* entry = FindEntry(state->book, id);
  const ledger_entry_state step =
      entry ? entry->state : ledger_entry_state::kUnknown;
  if (step == ledger_entry_state::kCompleted && entry->response.is_complete) {
    http_response answer{entry->response.status, {}, entry->response.body};
    answer.headers.push_back({"Content-Type", entry->response.content_type});
    MarkRepeated(answer);
    co_await Respond(exchange, answer);
    co_return;
  }
  api_error error = Unknown("outcome_unknown", "an earlier copy may have run");
  if (step == ledger_entry_state::kCompleted) {
    error.type = "answer_not_kept";
    error.message = "the request ran; its answer was too large to keep";
    error.outcome = run_outcome::kRan;
  } else if (step == ledger_entry_state::kRefused) {
    error.type = "ticket_spent";
    error.message = "the request was refused and did not run";
    error.outcome = run_outcome::kNotRun;
  }
  co_await Refuse(exchange, error);
}

void WakeJoined(router_state& state, const ticket_id& id) {
  const auto found = state.joined.find(id);
  if (found == state.joined.end())
    return;
  found->second->cancel();
  state.joined.erase(found);
}

// What the verdicts other than kClaimed and kInProgress have to say.
std::optional<api_error> ErrorOfVerdict(claim_result verdict) {
  if (verdict == claim_result::kFull)
    return api_error{503, "ledger_full", "too many tickets are in use",
                     run_outcome::kNotRun, seconds(5)};
  return std::nullopt;
}

}  // namespace

std::string MintTicket(router_state& state,
                       std::string_view account,
                       const member& owner) {
  ticket fresh;
  fresh.id = {state.options.vm, state.process_incarnation, state.next_ticket++};
  fresh.owner = owner.vm;
  fresh.owner_incarnation = owner.incarnation;
  fresh.account_hash = Hash64(account);
  fresh.expires = UnixNow() + kTicketLifetime.count();
  return WriteTicket(fresh, state.options.key);
}

asio::awaitable<bool> ClaimTicket(const router_ptr& state,
                                  http_exchange& exchange,
                                  const admitted_request& request,
                                  ticket_id& claimed) {
  if (request.call.ticket.empty()) {
    co_await DemandTicket(state, exchange, request);
    co_return false;
  }
  const auto read = ReadTicket(request.call.ticket, state->options.key);
  tl::expected<void, ticket_error> checked;
  if (read)
    checked = CheckTicket(*read, request.account, UnixNow());
  if (!read || !checked) {
    const ticket_error why = read ? checked.error() : read.error();
    const api_error error{403,
                          std::string(NameOf(why)),
                          "the ticket is not valid",
                          run_outcome::kNotRun,
                          {}};
    co_await Refuse(exchange, error);
    co_return false;
  }
  if (read->owner != state->options.vm) {
    co_await ForwardToOwner(state, exchange, request, *read);
    co_return false;
  }
  const bool ledger_ready = co_await WaitForLedger(state);
  if (!ledger_ready || read->owner_incarnation != state->vm_incarnation) {
    co_await Refuse(
        exchange,
        ledger_ready
            ? Unknown("owner_restarted", "the owner has lost its ledger since")
            : Unknown("ledger_not_ready",
                      "the owner does not have its ledger yet"));
    co_return false;
  }
  claimed = read->id;
  const claim_result verdict = TryClaim(state->book, *read, UnixNow());
  if (verdict == claim_result::kClaimed) {
    state->joined[claimed] =
        std::make_shared<asio::steady_timer>(state->executor, instant::max());
    co_return true;
  }
  if (const auto error = ErrorOfVerdict(verdict)) {
    co_await Refuse(exchange, *error);
    co_return false;
  }
  if (verdict == claim_result::kNotRun && !FindEntry(state->book, claimed)) {
    const api_error error{409,
                          "ticket_expired",
                          "the ticket expired before the request ran",
                          run_outcome::kNotRun,
                          {}};
    co_await Refuse(exchange, error);
    co_return false;
  }
  if (verdict == claim_result::kInProgress)
    co_await WaitForOutcome(state, request, claimed);
  Count(state->stats, "waxwing_repeated_requests_total");
  co_await AnswerFromLedger(state, exchange, claimed);
  co_return false;
}

asio::awaitable<bool> NoteDispatched(const router_ptr& state,
                                     const ticket_id& id) {
  MarkDispatched(state->book, id);
  const bool noted = co_await NoteLedger(state, id);
  co_return noted;
}

asio::awaitable<void> SettleAnswered(const router_ptr& state,
                                     const ticket_id& id,
                                     stored_response answer) {
  MarkCompleted(state->book, id, std::move(answer));
  WakeJoined(*state, id);
  co_await NoteLedger(state, id);
}

asio::awaitable<void> SettleUnknown(const router_ptr& state,
                                    const ticket_id& id) {
  MarkUnknown(state->book, id);
  WakeJoined(*state, id);
  co_await NoteLedger(state, id);
}

asio::awaitable<run_outcome> SettleRefused(const router_ptr& state,
                                           const ticket_id& id) {
  MarkRefused(state->book, id);
  WakeJoined(*state, id);
  const bool noted = co_await NoteLedger(state, id);
  co_return noted ? run_outcome::kNotRun : run_outcome::kUnknown;
}

}  // namespace waxwing
