// The router's side of the connection to its VM's agent (see agent_router.cc
// for the other side).

#include <boost/asio.hpp>

#include "waxwing/log.h"
#include "waxwing/root.h"
#include "waxwing/router_state.h"
#include "waxwing/wire_convert.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds kAgentReadTimeout{4'000};
constexpr milliseconds kLedgerAckTimeout{500};
constexpr std::size_t kEntriesPerMessage = 256;

// Sends the agent this router's ledger, in case the agent has restarted.
// Claimed entries are left out because nothing has been dispatched for them.
void SendLedger(router_state& state) {
  wire::ledger_copyT copy;
  for (const auto& [id, entry] : state.ticket_ledger.entries) {
    if (entry.state == ledger_entry_state::kClaimed)
      continue;
    copy.entries.push_back(
        std::make_unique<wire::ledger_noteT>(ToWire(id, entry, 0)));
    if (copy.entries.size() == kEntriesPerMessage) {
      SendMessage(state.agent.link, std::move(copy));
      copy = {};
    }
  }
  copy.last = true;
  copy.clock = state.ticket_ledger.clock;
  SendMessage(state.agent.link, std::move(copy));
}

// Merges the entries that an earlier router of this VM left with the agent. A
// run in progress that is unknown here was interrupted by a restart.
void MergeLedger(router_state& state, const wire::ledger_copyT& copy) {
  RecoverClock(state.ticket_ledger, copy.clock);
  for (const auto& note : copy.entries) {
    ticket_id id;
    auto entry = FromWire(*note, id);
    if (!entry)
      continue;
    RecoverEntry(state.ticket_ledger, id, std::move(*entry), UnixNow());
  }
  if (copy.last)
    state.agent.ledger_ready = true;
}

void ApplyRouterView(router_state& state, const wire::router_viewT& view) {
  if (state.vm_incarnation != 0 && state.vm_incarnation != view.incarnation)
    LogWarning("vm_incarnation_changed",
               {{"from", state.vm_incarnation}, {"to", view.incarnation}});
  state.vm_incarnation = view.incarnation;
  membership fresh;
  fresh.self = state.options.vm;
  for (const auto& record : view.members) {
    if (const auto parsed = FromWire(*record))
      fresh.members[parsed->vm] = {*parsed, instant{}};
  }
  state.members = std::move(fresh);
}

// Puts a newer generation in force if all of its shards are present.
void ApplyConfigUpdate(router_state& state, wire::config_updateT& update) {
  auto& shards = state.agent.shards;
  for (auto& shard : update.shards)
    shards[shard->content_hash] = std::move(shard->text);
  const auto root = ReadRoot(update.root);
  if (!root || root->generation <= state.active_config->generation)
    return;
  const auto assembled = AssembleConfig(*root, shards);
  if (!assembled) {
    LogError("config_refused", {{"generation", root->generation},
                                {"error", assembled.error().message}});
    return;
  }
  InstallConfig(state, *assembled);
  std::erase_if(shards, [&](const auto& shard) {
    return std::find(root->shards.begin(), root->shards.end(), shard.first) ==
           root->shards.end();
  });
}

void ApplyDigests(router_state& state, const wire::target_digestsT& digests) {
  const instant now = std::chrono::steady_clock::now();
  for (const auto& digest : digests.targets) {
    for (target_view& view : state.placement.targets) {
      if (view.name != digest->name)
        continue;
      if (!digest->reachable)
        view.backoff_until =
            std::max<instant>(view.backoff_until, now + milliseconds(1'000));
      else if (ApplyReport(view, FromWire(*digest)))
        LogInfo("target_cache_dropped", {{"target", view.name},
                                         {"boot_id", view.boot_id},
                                         {"version", view.version}});
    }
  }
  GrantTargets(state);
}

void HandleLedgerAck(router_state& state, const wire::ledger_ackT& ack) {
  const auto found = state.agent.pending_notes.find(ack.number);
  if (found == state.agent.pending_notes.end())
    return;
  found->second->accepted = ack.accepted;
  found->second->timer->cancel();
}

void HandleFrame(router_state& state, wire::frameT& frame) {
  auto& message = frame.message;
  if (auto* view = message.Asrouter_view())
    ApplyRouterView(state, *view);
  else if (auto* copy = message.Asledger_copy())
    MergeLedger(state, *copy);
  else if (auto* update = message.Asconfig_update())
    ApplyConfigUpdate(state, *update);
  else if (auto* digests = message.Astarget_digests())
    ApplyDigests(state, *digests);
  else if (auto* ack = message.Asledger_ack())
    HandleLedgerAck(state, *ack);
  SendAppliedGeneration(state);
}

// Called when the connection to the agent is lost. The ledger in memory stays
// valid, but pending notes will not be acknowledged, so they count as refused.
void RejectPendingNotes(router_state& state) {
  for (const auto& [number, note] : state.agent.pending_notes) {
    note->accepted = false;
    note->timer->cancel();
  }
  state.agent.pending_notes.clear();
}

}  // namespace

void SendAppliedGeneration(const router_state& state) {
  wire::appliedT applied;
  applied.generation = state.active_config->generation;
  applied.leaving = state.is_draining;
  SendMessage(state.agent.link, applied);
}

asio::awaitable<void> RunAgentClient(router_ptr state) {
  const peer_identity self{peer_role::kRouter, state->options.vm,
                           state->vm_incarnation};
  const endpoint address = *state->options.agent;
  auto link =
      co_await DialPeer(state->executor, address, self, state->options.key);
  if (!link)
    co_return;
  LogInfo("agent_connected", {{"agent", ToText(address)}});
  state->agent.link = *link;
  SendLedger(*state);
  while (!IsStopping(state->root)) {
    auto frame = co_await ReadFrame(*link, kAgentReadTimeout);
    if (!frame) {
      LogWarning("agent_lost", {{"reason", NameOf(frame.error().failure)}});
      break;
    }
    HandleFrame(*state, *frame);
  }
  ClosePeer(*link);
  RejectPendingNotes(*state);
}

asio::awaitable<bool> ReplicateLedgerEntry(const router_ptr& state,
                                           const ticket_id& id) {
  if (!state->options.agent)
    co_return true;
  const ledger_entry* entry = FindEntry(state->ticket_ledger, id);
  if (!entry || !IsOpen(state->agent.link))
    co_return false;
  const std::uint64_t number = state->agent.next_note_number++;
  asio::steady_timer timer(state->executor, kLedgerAckTimeout);
  agent_session::pending_note note{&timer, std::nullopt};
  state->agent.pending_notes[number] = &note;
  SendMessage(state->agent.link, ToWire(id, *entry, number));
  co_await timer.async_wait(kUseTuple);
  state->agent.pending_notes.erase(number);
  co_return note.accepted.value_or(false);
}

}  // namespace waxwing
