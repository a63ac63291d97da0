// Connections between agents: dialling, heartbeats and membership.

#include <algorithm>
#include <boost/asio.hpp>

#include "waxwing/agent_state.h"
#include "waxwing/log.h"
#include "waxwing/wire_convert.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);
// A link on which no frame is received for this long is closed.
constexpr milliseconds kIdleLinkTimeout{15'000};
// If an agent sees a higher incarnation of its own VM within this time after
// its start, it assumes a record of its previous run. Later, it assumes that
// another process has replaced it.
constexpr milliseconds kStartupWindow{5'000};
// A peer whose table differs in this many consecutive heartbeats is sent the
// complete table.
constexpr int kMismatchesBeforeTable = 3;
// Heartbeat periods between two attempts to reach a dead VM or an absent seed.
constexpr int kPeriodsPerProbe = 5;

wire::heartbeatT MakeHeartbeat(const agent_state& state,
                               bool wants_reply = false) {
  wire::heartbeatT out;
  out.wants_reply = wants_reply;
  out.generation = state.active_root.generation;
  out.table_hash = TableHash(state.members);
  if (state.on_heartbeat_due)
    state.on_heartbeat_due(out);
  return out;
}

wire::member_listT MakeMemberList(const std::vector<member>& records,
                                  bool is_whole = false) {
  wire::member_listT out;
  out.is_whole = is_whole;
  for (const member& record : records)
    out.records.push_back(
        std::make_unique<wire::member_recordT>(ToWire(record)));
  return out;
}

std::vector<member> AllMembers(const agent_state& state) {
  std::vector<member> out;
  for (const auto& [vm, record] : state.members.members)
    out.push_back(record.data);
  return out;
}

// Sends the complete member table, at most once per link.
void SendTable(const agent_state& state, agent_link& link) {
  if (link.table_sent)
    return;
  link.table_sent = true;
  SendMessage(link.connection, MakeMemberList(AllMembers(state), true));
}

// Handles a record of this VM with a higher incarnation than its own.
void HandleNewerIncarnation(agent_state& state, const member& other) {
  const instant now = std::chrono::steady_clock::now();
  if (now - state.started > kStartupWindow) {
    LogError("superseded",
             {{"vm", other.vm}, {"incarnation", other.incarnation}});
    state.superseded = true;
    return;
  }
  // The wall clock was set back between two incarnations of the VM.
  state.incarnation = other.incarnation + 1;
  state.members.members.at(state.options.vm).data.incarnation =
      state.incarnation;
  SendRouterView(state);
}

void MergeMembers(agent_state& state,
                  const wire::member_listT& list,
                  std::string_view sender) {
  const instant now = std::chrono::steady_clock::now();
  std::vector<member> changed;
  for (const auto& record : list.records) {
    const auto parsed = FromWire(*record);
    if (!parsed)
      continue;
    if (parsed->vm == state.options.vm &&
        parsed->incarnation > state.incarnation)
      HandleNewerIncarnation(state, *parsed);
    if (!MergeRecord(state.members, *parsed, now))
      continue;
    changed.push_back(state.members.members.at(parsed->vm).data);
  }
  if (!changed.empty())
    BroadcastMembers(state, changed, sender);
}

void HandleHeartbeat(agent_state& state,
                     agent_link& link,
                     const wire::heartbeatT& heartbeat) {
  if (heartbeat.wants_reply)
    SendMessage(link.connection, MakeHeartbeat(state));
  if (heartbeat.generation > state.active_root.generation) {
    wire::config_requestT request;
    for (const auto& [hash, text] : state.shards)
      request.have.push_back(hash);
    SendMessage(link.connection, std::move(request));
  }
  if (heartbeat.table_hash == TableHash(state.members)) {
    link.table_mismatches = 0;
  } else if (++link.table_mismatches >= kMismatchesBeforeTable) {
    link.table_mismatches = 0;
    SendMessage(link.connection, MakeMemberList(AllMembers(state)));
  }
  if (state.on_heartbeat)
    state.on_heartbeat(link.connection, heartbeat);
}

bool IsReplicationMessage(wire::message type) {
  return type == wire::message::shared_request ||
         type == wire::message::shared_objects ||
         type == wire::message::shared_ages ||
         type == wire::message::cache_changes ||
         type == wire::message::target_notice ||
         type == wire::message::permit_request ||
         type == wire::message::permit_response ||
         type == wire::message::target_end_report ||
         type == wire::message::survival_report ||
         type == wire::message::hold_notice ||
         type == wire::message::trial_request ||
         type == wire::message::trial_response ||
         type == wire::message::trial_end ||
         type == wire::message::stream_record ||
         type == wire::message::stream_query ||
         type == wire::message::stream_reply ||
         type == wire::message::charge_request ||
         type == wire::message::charge_response ||
         type == wire::message::charge_refund ||
         type == wire::message::load_notice;
}

void HandleAgentFrame(agent_state& state,
                      const std::string& vm,
                      wire::frameT& frame) {
  agent_link& link = state.links.at(vm);
  auto& message = frame.message;
  if (auto* heartbeat = message.Asheartbeat()) {
    HandleHeartbeat(state, link, *heartbeat);
  } else if (auto* list = message.Asmember_list()) {
    if (list->is_whole)
      SendTable(state, link);
    MergeMembers(state, *list, vm);
  } else if (auto* request = message.Asconfig_request()) {
    SendMessage(link.connection, MakeConfigUpdate(state, request->have));
  } else if (auto* update = message.Asconfig_update()) {
    std::map<std::string, std::string> shards;
    for (auto& shard : update->shards)
      shards[shard->content_hash] = std::move(shard->text);
    ApplyConfig(state, update->root, std::move(shards));
  } else if (auto* digests = message.Astarget_digests()) {
    ApplyDigests(state, *digests);
  } else if (auto* query = message.Asin_force_query()) {
    wire::in_forceT response;
    response.number = query->number;
    response.generation = OwnGeneration(state);
    SendMessage(link.connection, response);
  } else if (state.on_replication_message &&
             IsReplicationMessage(message.type)) {
    state.on_replication_message(link.connection, message);
  } else if (auto* response = message.Asin_force()) {
    const auto pending = state.pending_queries.find(response->number);
    if (pending != state.pending_queries.end())
      pending->second->generations[vm] = response->generation;
  }
}

// Purpose of a link. Member tables are exchanged only on membership links, so
// that a link opened for an occasional message does not cost a table exchange.
enum class link_purpose { kMembership, kMessages };

asio::awaitable<void> ServeAgent(agent_ptr state,
                                 peer_link link,
                                 link_purpose purpose) {
  const std::string vm = link.peer.vm;
  const instant start = std::chrono::steady_clock::now();
  agent_link& slot = state->links[vm];
  if (IsOpen(slot.connection) && slot.connection.state != link.state)
    ClosePeer(slot.connection);
  slot = agent_link{link, false, start, 0, false};
  if (purpose == link_purpose::kMembership) {
    SendTable(*state, slot);
    SendMessage(link, MakeHeartbeat(*state));
  }
  if (state->on_link_opened)
    state->on_link_opened(link);
  while (!IsStopping(state->root)) {
    auto frame = co_await ReadFrame(link, kIdleLinkTimeout);
    const auto current = state->links.find(vm);
    if (!frame || current == state->links.end() ||
        current->second.connection.state != link.state)
      break;
    current->second.last_received = std::chrono::steady_clock::now();
    HandleAgentFrame(*state, vm, *frame);
  }
  ClosePeer(link);
}

peer_identity Identity(const agent_state& state) {
  return {peer_role::kAgent, state.options.vm, state.incarnation};
}

asio::awaitable<void> ServeIncoming(agent_ptr state,
                                    asio::ip::tcp::socket socket) {
  auto link = co_await AcceptPeer(std::move(socket), Identity(*state),
                                  state->options.key);
  if (!link) {
    LogWarning("peer_refused", {{"reason", NameOf(link.error().failure)},
                                {"detail", link.error().detail}});
    co_return;
  }
  if (link->peer.role == peer_role::kRouter) {
    if (link->peer.vm == state->options.vm)
      co_await ServeRouter(state, *link);
    else
      ClosePeer(*link);
  } else if (link->peer.vm != state->options.vm &&
             state->incarnation_is_final) {
    co_await ServeAgent(state, *link, link_purpose::kMessages);
  } else {
    ClosePeer(*link);
  }
}

// Dials an agent and serves the link. A failed dial is retried in the next
// heartbeat period.
asio::awaitable<void> DialAgent(agent_ptr state,
                                endpoint address,
                                std::string name,
                                link_purpose purpose) {
  if (!state->dialling.insert(name).second)
    co_return;
  auto link = co_await DialPeer(state->executor, address, Identity(*state),
                                state->options.key);
  state->dialling.erase(name);
  if (!link)
    co_return;
  if (link->peer.vm == state->options.vm ||
      link->peer.role != peer_role::kAgent) {
    ClosePeer(*link);
    co_return;
  }
  co_await ServeAgent(state, *link, purpose);
}

void StartDial(const agent_ptr& state,
               const endpoint& address,
               const std::string& name,
               link_purpose purpose) {
  asio::co_spawn(state->executor, DialAgent(state, address, name, purpose),
                 asio::detached);
}

bool HasOpenLink(const agent_state& state, const std::string& vm) {
  const auto found = state.links.find(vm);
  return found != state.links.end() && IsOpen(found->second.connection);
}

// Dials the membership links that are chosen but not open, and marks the chosen
// ones as watched. `chosen_vms` returns the chosen peers.
void MaintainLinks(const agent_ptr& state,
                   std::vector<std::string>& chosen_vms) {
  const instant now = std::chrono::steady_clock::now();
  chosen_vms = ChooseLinks(state->members);
  for (const std::string& vm : chosen_vms) {
    agent_link& link = state->links[vm];
    if (!link.is_watched) {
      link.is_watched = true;
      link.last_received = now;
      if (IsOpen(link.connection))
        SendTable(*state, link);
    }
    if (!IsOpen(link.connection))
      StartDial(state, state->members.members.at(vm).data.agent, vm,
                link_purpose::kMembership);
  }
  for (auto& [vm, link] : state->links) {
    if (std::find(chosen_vms.begin(), chosen_vms.end(), vm) == chosen_vms.end())
      link.is_watched = false;
  }
  std::erase_if(state->links, [&](const auto& entry) {
    return !entry.second.is_watched && !IsOpen(entry.second.connection);
  });
}

// Sends heartbeats, and suspects peers from which nothing was received for too
// long.
void SendHeartbeats(agent_state& state) {
  const instant now = std::chrono::steady_clock::now();
  std::vector<member> changed;
  for (auto& [vm, link] : state.links) {
    if (!link.is_watched)
      continue;
    SendMessage(link.connection, MakeHeartbeat(state, true));
    if (now - link.last_received > state.members.limits.suspect_after) {
      // A new connection may work even though this one delivers no data.
      ClosePeer(link.connection);
      if (MarkSuspected(state.members, vm, now))
        changed.push_back(state.members.members.at(vm).data);
    }
  }
  for (const std::string& vm : AdvanceMembership(state.members, now)) {
    LogInfo("member_dead", {{"vm", vm}});
    changed.push_back(state.members.members.at(vm).data);
  }
  if (!changed.empty())
    BroadcastMembers(state, changed, "");
}

// Dials a random dead VM or absent seed, so that the two sides of a network
// partition find each other again once it has healed.
void ProbeAbsent(const agent_ptr& state) {
  std::vector<endpoint> absent;
  std::set<endpoint> present;
  for (const auto& [vm, record] : state->members.members) {
    if (IsPresent(record.data) || vm == state->options.vm)
      present.insert(record.data.agent);
    else if (record.data.status == member_status::kDead)
      absent.push_back(record.data.agent);
  }
  for (const endpoint& seed : state->options.seeds) {
    if (!present.contains(seed))
      absent.push_back(seed);
  }
  if (absent.empty())
    return;
  const endpoint address = absent[state->random() % absent.size()];
  StartDial(state, address, ToText(address), link_purpose::kMembership);
}

}  // namespace

void AnnounceGeneration(agent_state& state) {
  for (auto& [vm, link] : state.links)
    SendMessage(link.connection, MakeHeartbeat(state));
}

void BroadcastMembers(agent_state& state,
                      const std::vector<member>& records,
                      std::string_view except) {
  for (auto& [vm, link] : state.links) {
    if (vm != except)
      SendMessage(link.connection, MakeMemberList(records));
  }
  SendRouterView(state);
}

asio::awaitable<void> AcceptLinks(agent_ptr state) {
  while (!IsStopping(state->root)) {
    auto [error, socket] = co_await state->acceptor->async_accept(kUseTuple);
    if (error) {
      if (error == asio::error::operation_aborted)
        co_return;
      co_await Pause(state->root, milliseconds(50));
      continue;
    }
    asio::co_spawn(state->executor, ServeIncoming(state, std::move(socket)),
                   asio::detached);
  }
}

asio::awaitable<void> RunLinkMaintenance(agent_ptr state) {
  for (const endpoint& seed : state->options.seeds)
    StartDial(state, seed, ToText(seed), link_purpose::kMembership);
  std::vector<std::string> chosen_vms;
  for (int period = 1;
       co_await Pause(state->root, state->options.heartbeat_period); ++period) {
    MaintainLinks(state, chosen_vms);
    SendHeartbeats(*state);
    UpdateOwnStatus(*state);
    SendMessage(state->router, MakeHeartbeat(*state));
    Prune(state->ledger_copy, UnixNow());
    if (period % kPeriodsPerProbe == 0 || state->links.empty())
      ProbeAbsent(state);
  }
}

asio::awaitable<std::optional<peer_link>> EnsureLink(agent_ptr state,
                                                     std::string vm) {
  if (HasOpenLink(*state, vm))
    co_return state->links.at(vm).connection;
  const auto found = state->members.members.find(vm);
  if (found == state->members.members.end())
    co_return std::nullopt;
  StartDial(state, found->second.data.agent, vm, link_purpose::kMessages);
  constexpr int kPolls = 50;
  constexpr milliseconds kPoll{10};
  for (int i = 0; i < kPolls && !HasOpenLink(*state, vm); ++i)
    co_await Pause(state->root, kPoll);
  if (!HasOpenLink(*state, vm))
    co_return std::nullopt;
  co_return state->links.at(vm).connection;
}

}  // namespace waxwing
