// Permits to send to targets that state a request rate: asks the permit issuer
// of a target for them, and issues those of the targets whose issuer this VM
// is.

#include <boost/asio.hpp>

#include "waxwing/agent_state.h"
#include "waxwing/entry_run.h"
#include "waxwing/log.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

// Time for the issuer's response, beyond which a permit is not used: permits
// used late could add up.
constexpr milliseconds kPermitTimeout{100};
// Pause after an issuer did not respond or did not consider itself the issuer.
constexpr milliseconds kIssuerPause{200};
// Targets without permits that are tried for one request.
constexpr int kMaxPermitRefusals = 8;

const membership& Members(const entry_state& state) {
  return state.membership_agent.state->members;
}

// Issues a permit, as the target's issuer. Returns std::nullopt if it is
// granted, else the time after which to ask again.
std::optional<duration> IssuePermit(entry_state& state,
                                    const listed_target& target) {
  const target_view& view = state.placement.targets[target.index];
  if (!view.rate.per_second)
    return std::nullopt;
  return TakePermit(state.permit_buckets[target.record.id],
                    *view.rate.per_second * PresentShare(Members(state)),
                    std::chrono::steady_clock::now());
}

// Asks another VM for a permit, over the link to it. Without a link it dials,
// and the permit is refused.
asio::awaitable<std::optional<duration>> AskIssuer(entry_ptr state,
                                                   std::string issuer,
                                                   wire::permit_requestT ask) {
  const agent_ptr& agent = state->membership_agent.state;
  const auto link = agent->links.find(issuer);
  if (link == agent->links.end() || !IsOpen(link->second.connection)) {
    asio::co_spawn(state->executor, EnsureLink(agent, issuer), asio::detached);
    co_return kIssuerPause;
  }
  permit_waiter waiter(state->executor);
  ask.number = state->next_permit_number++;
  state->permit_waiters[ask.number] = &waiter;
  SendMessage(link->second.connection, ask);
  waiter.wakeup.expires_after(kPermitTimeout);
  co_await waiter.wakeup.async_wait(asio::as_tuple(asio::use_awaitable));
  state->permit_waiters.erase(ask.number);
  if (!waiter.has_response) {
    LogInfo("permit_unanswered", {{"target", ask.target}, {"issuer", issuer}});
    co_return kIssuerPause;
  }
  co_return waiter.wait;
}

// Returns std::nullopt if the request may be sent to the target now, else the
// time after which to ask again.
asio::awaitable<std::optional<duration>> ObtainPermit(entry_ptr state,
                                                      listed_target target) {
  const std::string issuer =
      ChoosePermitIssuer(Members(*state), target.record.id, target.record.zone);
  if (issuer == state->options.vm)
    co_return IssuePermit(*state, target);
  const stated_rate& rate = state->placement.targets[target.index].rate;
  wire::permit_requestT ask;
  ask.target = target.record.id;
  ask.incarnation = target.record.incarnation;
  ask.rate = rate.per_second.value_or(-1);
  ask.rate_sequence = rate.sequence;
  co_return co_await AskIssuer(state, issuer, std::move(ask));
}

// Returns the view of a target unless it has been dropped or has started again
// meanwhile.
target_view* FindView(entry_state& state, const listed_target& target) {
  const auto found = state.targets.find(target.record.id);
  if (found == state.targets.end() || found->second.index != target.index ||
      found->second.record.incarnation != target.record.incarnation ||
      found->second.record.build != target.record.build)
    return nullptr;
  return &state.placement.targets[target.index];
}

}  // namespace

asio::awaitable<std::optional<target_choice>> ChoosePermittedTarget(
    forward_run& run) {
  entry_state& state = *run.state;
  for (int refusals = 0; refusals < kMaxPermitRefusals;) {
    auto choice = ChooseTarget(run);
    if (!choice)
      co_return std::nullopt;
    const target_view& chosen = state.placement.targets[choice->chosen.target];
    if (!chosen.rate.per_second)
      co_return choice;
    const listed_target target = state.targets.at(chosen.name);
    const auto wait = co_await ObtainPermit(run.state, target);
    if (run.caller_gone || std::chrono::steady_clock::now() >= run.deadline)
      co_return std::nullopt;
    target_view* view = FindView(state, target);
    const instant now = std::chrono::steady_clock::now();
    if (!wait && view && IsUsableIgnoringBackoff(*view, now)) {
      choice->has_permit = true;
      co_return choice;
    }
    ++refusals;
    if (!wait)
      continue;
    Count(state.stats, "waxwing_permits_refused_total");
    LogInfo("permit_refused", {{"request", run.request.id},
                               {"target", target.record.id},
                               {"wait_ms", ToMs(*wait)}});
    if (view)
      view->no_permit_until = std::max(view->no_permit_until, now + *wait);
  }
  co_return std::nullopt;
}

void HandlePermitRequest(entry_state& state,
                         const peer_link& link,
                         const wire::permit_requestT& request) {
  wire::permit_responseT response;
  response.number = request.number;
  response.wait_ms = static_cast<std::int32_t>(kIssuerPause.count());
  const auto found = state.targets.find(request.target);
  if (found != state.targets.end() &&
      found->second.record.incarnation == request.incarnation) {
    const listed_target& target = found->second;
    LearnRate(state, target, link.peer.vm,
              {ReadPeerRate(request.rate), request.rate_sequence, {}});
    if (ChoosePermitIssuer(Members(state), request.target,
                           target.record.zone) == state.options.vm) {
      const auto wait = IssuePermit(state, target);
      response.wait_ms =
          wait ? static_cast<std::int32_t>(
                     std::chrono::ceil<milliseconds>(*wait).count())
               : -1;
    }
  }
  SendMessage(link, response);
}

void HandlePermitResponse(entry_state& state,
                          const wire::permit_responseT& response) {
  const auto found = state.permit_waiters.find(response.number);
  if (found == state.permit_waiters.end())
    return;
  permit_waiter& waiter = *found->second;
  waiter.has_response = true;
  if (response.wait_ms >= 0)
    waiter.wait = milliseconds(response.wait_ms);
  waiter.wakeup.cancel();
}

}  // namespace waxwing
