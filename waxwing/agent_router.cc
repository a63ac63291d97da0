// The agent's side of the connection to its VM's router (see agent_client.cc
// for the other side).

#include <algorithm>

#include "waxwing/agent_state.h"
#include "waxwing/log.h"
#include "waxwing/wire_convert.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

constexpr milliseconds kRouterReadTimeout{4'000};
// If its router is disconnected for longer than this, the VM is marked as
// leaving.
constexpr milliseconds kRouterAbsenceLimit{1'000};
constexpr std::size_t kEntriesPerMessage = 256;

void SendLedgerCopy(const agent_state& state) {
  wire::ledger_copyT copy;
  for (const auto& [id, entry] : state.ledger_copy.entries) {
    copy.entries.push_back(
        std::make_unique<wire::ledger_noteT>(ToWire(id, entry, 0)));
    if (copy.entries.size() == kEntriesPerMessage) {
      SendMessage(state.router, std::move(copy));
      copy = {};
    }
  }
  copy.last = true;
  copy.clock = state.ledger_copy.clock;
  SendMessage(state.router, std::move(copy));
}

// Sends everything a router needs to serve, so that it can start while the
// platform is unavailable.
void SendInitialState(agent_state& state) {
  SendRouterView(state);
  SendLedgerCopy(state);
  if (state.active_root.generation > 0)
    SendMessage(state.router, MakeConfigUpdate(state, {}));
  SendMessage(state.router, AllDigests(state));
}

// Records a step of a non-idempotent request in the ledger copy and
// acknowledges it.
void HandleLedgerNote(agent_state& state,
                      const peer_link& sender,
                      const wire::ledger_noteT& note) {
  ticket_id id;
  auto entry = FromWire(note, id);
  wire::ledger_ackT ack;
  ack.number = note.number;
  // An older router of this VM that is still running must not dispatch
  // requests.
  ack.accepted = entry.has_value() && sender.state == state.router.state;
  if (ack.accepted)
    RestoreEntry(state.ledger_copy, id, std::move(*entry), UnixNow());
  SendMessage(sender, ack);
}

void MergeLedgerCopy(agent_state& state, const wire::ledger_copyT& copy) {
  RecoverClock(state.ledger_copy, copy.clock);
  for (const auto& note : copy.entries) {
    ticket_id id;
    if (auto entry = FromWire(*note, id))
      RestoreEntry(state.ledger_copy, id, std::move(*entry), UnixNow());
  }
}

void HandleRouterFrame(agent_state& state,
                       const peer_link& sender,
                       wire::frameT& frame) {
  auto& message = frame.message;
  if (auto* note = message.Asledger_note()) {
    HandleLedgerNote(state, sender, *note);
  } else if (auto* copy = message.Asledger_copy()) {
    MergeLedgerCopy(state, *copy);
  } else if (auto* applied = message.Asapplied()) {
    state.router_generation = applied->generation;
    state.router_leaving = applied->leaving;
    UpdateOwnStatus(state);
  }
}

// Adopts the VM's incarnation from a router that was running before this agent
// started. Does nothing once peers may know this agent's own incarnation.
void AdoptIncarnation(agent_state& state, std::uint64_t known_to_router) {
  if (known_to_router == 0 || known_to_router == state.incarnation ||
      !state.links.empty() || state.incarnation_is_final)
    return;
  state.incarnation = known_to_router;
  state.members.members.at(state.options.vm).data.incarnation = known_to_router;
  LogInfo("incarnation_adopted", {{"incarnation", known_to_router}});
}

}  // namespace

const member& Self(const agent_state& state) {
  return state.members.members.at(state.options.vm).data;
}

std::uint64_t OwnGeneration(const agent_state& state) {
  const std::uint64_t own = state.active_root.generation;
  if (!state.options.has_router)
    return own;
  return std::min(own, state.router_generation);
}

void SendRouterView(const agent_state& state) {
  if (!IsOpen(state.router))
    return;
  wire::router_viewT view;
  view.incarnation = state.incarnation;
  for (const auto& [vm, record] : state.members.members)
    view.members.push_back(
        std::make_unique<wire::member_recordT>(ToWire(record.data)));
  SendMessage(state.router, std::move(view));
}

void UpdateOwnStatus(agent_state& state) {
  if (!state.options.has_router || state.stopping)
    return;
  const bool is_serving = IsOpen(state.router) && !state.router_leaving;
  const instant now = std::chrono::steady_clock::now();
  const bool is_absent = state.router_leaving ||
                         now - state.router_last_seen > kRouterAbsenceLimit;
  const member_status current = Self(state).status;
  if (is_serving && current == member_status::kLeaving)
    SetOwnStatus(state.members, member_status::kAlive, now);
  else if (!is_serving && is_absent && current == member_status::kAlive)
    SetOwnStatus(state.members, member_status::kLeaving, now);
  else
    return;
  BroadcastMembers(state, {Self(state)}, "");
}

asio::awaitable<void> ServeRouter(agent_ptr state, peer_link link) {
  // A newer router replaces an older one.
  ClosePeer(state->router);
  state->router = link;
  AdoptIncarnation(*state, link.peer.incarnation);
  state->router_generation = 0;
  state->router_leaving = false;
  LogInfo("router_connected", {{"incarnation", link.peer.incarnation}});
  SendInitialState(*state);
  while (!IsStopping(state->root)) {
    state->router_last_seen = std::chrono::steady_clock::now();
    auto frame = co_await ReadFrame(link, kRouterReadTimeout);
    if (!frame)
      break;
    HandleRouterFrame(*state, link, *frame);
  }
  ClosePeer(link);
  if (state->router.state == link.state)
    state->router_generation = 0;
}

}  // namespace waxwing
