// Replication of the store's objects between entries: zone watchers publish
// them to the other VMs of their zone, and an entry that starts while the store
// is unavailable requests them from any peer. A VM that neither the store nor a
// watcher of its zone serves follows other VMs.

#include <algorithm>
#include <boost/asio.hpp>
#include <iterator>
#include <set>
#include <utility>

#include "waxwing/agent_state.h"
#include "waxwing/entry_state.h"
#include "waxwing/hash.h"
#include "waxwing/log.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

constexpr milliseconds kBootstrapPeriod{200};
// A subscriber renews its subscription this often, and is dropped after missing
// three renewals.
constexpr milliseconds kRenewalPeriod{1'000};
constexpr int kMaxMissedRenewals = 3;
// Time between two requests to a zone watcher for objects that were missed.
constexpr milliseconds kMinRequestPeriod{500};
// A VM without a source tries others after this time.
constexpr milliseconds kOutsidePatience{500};
constexpr object_kind kReplicatedKinds[] = {
    object_kind::kConfig, object_kind::kTargets, object_kind::kWeights,
    object_kind::kHolds};

wire::shared_objectsT MakeObjectsMessage(const entry_state& state,
                                         object_kind kind,
                                         std::uint64_t revision) {
  wire::shared_objectsT out;
  out.era = state.store_era;
  out.kind = static_cast<std::uint8_t>(kind);
  out.revision = revision;
  return out;
}

void AddObject(wire::shared_objectsT& message,
               const stored_object& object,
               bool is_removed) {
  auto out = std::make_unique<wire::shared_objectT>();
  out->name = object.name;
  out->revision = object.revision;
  out->spec = object.spec;
  out->is_removed = is_removed;
  message.objects.push_back(std::move(out));
}

// Sends all objects of a kind, if any are known.
void SendSnapshot(entry_state& state, const peer_link& link, object_kind kind) {
  const std::uint64_t revision = state.watches[kind].revision;
  const auto& known = state.objects[kind];
  if (revision == 0 && known.empty())
    return;
  wire::shared_objectsT out = MakeObjectsMessage(state, kind, revision);
  out.is_whole = true;
  for (const auto& [name, object] : known)
    AddObject(out, object, false);
  SendMessage(link, std::move(out));
}

// Sends for each kind of object how long ago the store last responded, and the
// request rate of the zone.
void SendAges(const entry_state& state, const peer_link& link) {
  wire::shared_agesT out;
  out.era = state.store_era;
  out.sent_ms = ToMs(SuspendAwareNow().time_since_epoch());
  for (const object_kind kind : kReplicatedKinds) {
    const auto found = state.watches.find(kind);
    if (found == state.watches.end() || !found->second.is_listed ||
        !found->second.published_at)
      continue;
    auto age = std::make_unique<wire::shared_ageT>();
    age->kind = static_cast<std::uint8_t>(kind);
    age->age_ms = static_cast<std::uint32_t>(
        ToMs(SuspendAwareNow() - *found->second.published_at));
    age->revision = found->second.changed_revision;
    out.ages.push_back(std::move(age));
  }
  if (state.caller_load.requests_per_second)
    out.zone_requests_per_s =
        static_cast<float>(*state.caller_load.requests_per_second);
  SendMessage(link, std::move(out));
}

std::optional<object_kind> KindOf(std::uint8_t value) {
  for (const object_kind kind : kReplicatedKinds) {
    if (value == static_cast<std::uint8_t>(kind))
      return kind;
  }
  return std::nullopt;
}

// True if the sender of a request has all changes of a kind that this VM knows.
bool HasAllChanges(const entry_state& state,
                   const wire::shared_requestT& request,
                   object_kind kind) {
  const auto position = state.watches.find(kind);
  if (position == state.watches.end() || request.era != state.store_era)
    return false;
  return std::any_of(
      request.known.begin(), request.known.end(), [&](const auto& known) {
        return known->kind == static_cast<std::uint8_t>(kind) &&
               known->revision != 0 &&
               known->revision >= position->second.changed_revision;
      });
}

// Registers a subscriber. Returns true if this VM may have published changes
// that it was not sent.
bool RenewSubscription(entry_state& state,
                       const peer_link& link,
                       const wire::shared_requestT& request) {
  const auto known = state.subscribers.find(link.peer.vm);
  const bool is_new = known == state.subscribers.end() ||
                      known->second.link.state != link.state;
  state.subscribers[link.peer.vm] = {link, std::chrono::steady_clock::now(),
                                     request.requests_per_s};
  return is_new;
}

void HandleRequest(entry_state& state,
                   const peer_link& link,
                   const wire::shared_requestT& request) {
  const bool is_new =
      request.follows && RenewSubscription(state, link, request);
  if (request.follows && !request.wants_objects && !is_new)
    return;
  for (const object_kind kind : kReplicatedKinds) {
    if (!HasAllChanges(state, request, kind))
      SendSnapshot(state, link, kind);
  }
  SendKnownNotices(state, link);
  if (request.follows)
    SendAges(state, link);
}

// Returns the time after which the changes in a peer's message were made, if it
// is known.
std::optional<instant> MadeAfter(const watch_position& position,
                                 const wire::shared_objectsT& message,
                                 instant arrived) {
  std::optional<instant> out = position.confirmed_at;
  if (out)
    out = std::max(*out, position.unreachable_at);
  if (message.max_age_ms >= 0)
    out = std::max(out.value_or(instant::min()),
                   arrived - milliseconds(message.max_age_ms));
  return out;
}

wire::shared_requestT MakeSubscription(const entry_state& state,
                                       const replication_upstream& upstream) {
  wire::shared_requestT out;
  out.follows = true;
  if (!upstream.is_outside)
    out.requests_per_s = static_cast<float>(state.caller_load.own_rate);
  out.era = state.store_era;
  for (const object_kind kind : kReplicatedKinds) {
    const auto found = state.watches.find(kind);
    if (found == state.watches.end())
      continue;
    auto known = std::make_unique<wire::shared_revisionT>();
    known->kind = static_cast<std::uint8_t>(kind);
    known->revision = found->second.revision;
    out.known.push_back(std::move(known));
  }
  return out;
}

// Requests the objects that this VM has missed from a zone watcher, unless it
// has just done so.
void RequestMissedObjects(entry_state& state,
                          const peer_link& link,
                          object_kind kind,
                          std::uint64_t revision) {
  const auto found = state.upstreams.find(link.peer.vm);
  const instant now = std::chrono::steady_clock::now();
  if (found == state.upstreams.end() ||
      now < found->second.last_requested + kMinRequestPeriod)
    return;
  found->second.last_requested = now;
  wire::shared_requestT request = MakeSubscription(state, found->second);
  request.wants_objects = true;
  SendMessage(link, std::move(request));
  Count(state.stats, "waxwing_missed_objects_requests_total");
  const auto age = KnowledgeAge(state, kind);
  LogWarning("objects_missed", {{"reader", link.peer.vm},
                                {"kind", static_cast<int>(kind)},
                                {"revision", state.watches[kind].revision},
                                {"changed_at", revision},
                                {"age_ms", age ? ToMs(*age) : -1}});
}

// Applies objects sent by a peer. Objects that are not newer are skipped, and
// so are changes after others that this VM does not have.
void HandleObjects(entry_state& state,
                   const peer_link& link,
                   const wire::shared_objectsT& message) {
  const auto kind = KindOf(message.kind);
  if (!kind || !ObserveEra(state, message.era))
    return;
  watch_position& position = state.watches[*kind];
  const bool is_known = position.revision != 0;
  if (is_known ? message.revision <= position.revision : !message.is_whole)
    return;
  if (!message.is_whole && message.after > position.revision) {
    RequestMissedObjects(state, link, *kind, message.after);
    return;
  }
  const instant arrived = EarliestArrival(state.stalls, SuspendAwareNow());
  const change_source source{link.peer.vm,
                             MadeAfter(position, message, arrived)};
  object_list snapshot;
  snapshot.revision = message.revision;
  for (const auto& object : message.objects) {
    const stored_object stored{object->name, object->revision, object->spec};
    ApplyObject(state, *kind, stored, object->is_removed, source);
    snapshot.objects.push_back(stored);
  }
  RefreshTargets(state, std::chrono::steady_clock::now());
  if (message.is_whole && message.revision != 0) {
    DropMissing(state, *kind, snapshot, source);
    position.is_listed = true;
    position.has_lost_changes = false;
  }
  position.revision = std::max(position.revision, message.revision);
  position.changed_revision =
      std::max(position.changed_revision, message.revision);
  LogDebug("objects_from_peer", {{"peer", link.peer.vm},
                                 {"kind", static_cast<int>(*kind)},
                                 {"objects", message.objects.size()},
                                 {"whole", message.is_whole},
                                 {"revision", message.revision}});
}

void HandleAges(entry_state& state,
                const peer_link& link,
                const wire::shared_agesT& message) {
  const auto upstream = state.upstreams.find(link.peer.vm);
  if (upstream == state.upstreams.end())
    return;
  if (!ObserveEra(state, message.era))
    return;
  const instant now = std::chrono::steady_clock::now();
  upstream->second.last_contact = now;
  upstream->second.zone_requests_per_second.reset();
  if (message.zone_requests_per_s >= 0)
    upstream->second.zone_requests_per_second = message.zone_requests_per_s;
  const instant heard = SuspendAwareNow();
  const duration held_up =
      message.sent_ms == 0
          ? duration{}
          : RecordTransit(upstream->second.transit,
                          instant(milliseconds(message.sent_ms)), heard);
  const instant arrived =
      std::min(EarliestArrival(state.stalls, heard), heard - held_up);
  const duration delay = heard - arrived;
  // A kind that is left out is not up to date at the zone watcher.
  const auto current_before = std::exchange(upstream->second.current_at, {});
  for (const auto& age : message.ages) {
    const auto kind = KindOf(age->kind);
    if (!kind)
      continue;
    watch_position& position = state.watches[*kind];
    if (age->revision > position.revision) {
      // What is missing is on its way; until it is late, it replaces a call to
      // the store.
      if (const auto before = current_before.find(*kind);
          before != current_before.end())
        upstream->second.current_at.insert(*before);
      RequestMissedObjects(state, link, *kind, age->revision);
      continue;
    }
    upstream->second.current_at[*kind] =
        now - delay - milliseconds(age->age_ms);
    position.confirmed_at = std::max(position.confirmed_at.value_or(instant{}),
                                     arrived - milliseconds(age->age_ms));
  }
}

// Connects to a zone watcher and requests what it knows and this VM does not.
asio::awaitable<void> Subscribe(entry_ptr state, std::string watcher) {
  const auto link = co_await EnsureLink(state->membership_agent.state, watcher);
  const auto found = state->upstreams.find(watcher);
  if (found == state->upstreams.end())
    co_return;
  replication_upstream& upstream = found->second;
  upstream.is_connecting = false;
  if (!link)
    co_return;
  upstream.link = *link;
  // The VM may have started again, and its clock with it.
  upstream.transit = {};
  upstream.last_subscribed = std::chrono::steady_clock::now();
  wire::shared_requestT request = MakeSubscription(*state, upstream);
  request.wants_objects = true;
  SendMessage(upstream.link, request);
  LogInfo("reader_followed",
          {{"reader", watcher}, {"outside", upstream.is_outside}});
}

// Connects to a zone watcher, or renews the subscription if that is due.
void MaintainUpstream(const entry_ptr& state,
                      const std::string& watcher,
                      bool is_outside,
                      instant now) {
  replication_upstream& upstream = state->upstreams[watcher];
  upstream.is_outside = is_outside;
  if (upstream.is_connecting)
    return;
  if (!upstream.link.state || !IsOpen(upstream.link)) {
    upstream.is_connecting = true;
    asio::co_spawn(state->executor, Subscribe(state, watcher), asio::detached);
  } else if (now >= upstream.last_subscribed + kRenewalPeriod) {
    upstream.last_subscribed = now;
    SendMessage(upstream.link, MakeSubscription(*state, upstream));
  }
}

// True if a watcher of its zone, or an outside VM, confirms to this VM that it
// has all changes of a kind.
bool HasUpstream(const entry_state& state,
                 object_kind kind,
                 bool is_outside,
                 milliseconds watch_wait,
                 instant now) {
  return std::any_of(
      state.upstreams.begin(), state.upstreams.end(), [&](const auto& entry) {
        const auto found = entry.second.current_at.find(kind);
        return entry.second.is_outside == is_outside &&
               found != entry.second.current_at.end() &&
               IsUpToDate({entry.second.last_contact, found->second},
                          watch_wait, now);
      });
}

// True if neither the store nor a watcher of its zone serves this VM.
bool LacksSource(const entry_state& state, object_kind kind, instant now) {
  const auto found = state.watches.find(kind);
  return found != state.watches.end() && found->second.unavailable_since &&
         !HasUpstream(state, kind, false, WatchWait(kind), now);
}

// Chooses the VMs that this one follows while it has no source: the watchers of
// one zone after the other, and VMs of its own zone, which read the store
// themselves if the watchers do not serve them. The first choice depends on the
// VM, so that all share the load.
std::vector<std::string> ChooseOutsideVms(entry_state& state) {
  const membership& members = state.membership_agent.state->members;
  std::set<std::string_view> zones;
  std::vector<std::string> own;
  for (const auto& [vm, record] : members.members) {
    if (record.data.status != member_status::kAlive || vm == state.options.vm)
      continue;
    if (record.data.zone != state.options.zone)
      zones.insert(record.data.zone);
    else if (std::find(state.zone_watchers.begin(), state.zone_watchers.end(),
                       vm) == state.zone_watchers.end())
      own.push_back(vm);
  }
  const std::size_t choice =
      (Hash64(state.options.vm) + state.outside.attempt) % (zones.size() + 1);
  if (choice < zones.size())
    return ChooseZoneWatchers(
        members,
        *std::next(zones.begin(), static_cast<std::ptrdiff_t>(choice)));
  std::shuffle(own.begin(), own.end(), state.random);
  own.resize(std::min(own.size(), kWatchersPerZone));
  return own;
}

// Decides whether this VM follows others than the watchers of its zone, and
// which.
void UpdateOutsideSource(entry_state& state, instant now) {
  bool lacks_source = false;
  bool is_served = true;
  for (const object_kind kind :
       {object_kind::kConfig, object_kind::kTargets, object_kind::kWeights}) {
    if (!LacksSource(state, kind, now))
      continue;
    lacks_source = true;
    is_served =
        is_served && HasUpstream(state, kind, true, WatchWait(kind), now);
  }
  outside_source& outside = state.outside;
  if (!lacks_source) {
    if (outside.is_needed)
      LogInfo("source_regained", {{"attempts", outside.attempt}});
    outside = {};
    return;
  }
  if (outside.is_needed &&
      (is_served || now < outside.chosen_at + kOutsidePatience))
    return;
  if (!outside.is_needed) {
    Count(state.stats, "waxwing_sources_lost_total");
    LogWarning("source_lost", {{"zone", state.options.zone},
                               {"readers", state.zone_watchers.size()}});
  }
  outside.is_needed = true;
  outside.vms = ChooseOutsideVms(state);
  outside.chosen_at = now;
  ++outside.attempt;
}

}  // namespace

void HandlePeerMessages(const entry_ptr& state) {
  const std::weak_ptr<entry_state> weak = state;
  state->membership_agent.state->on_link_opened =
      [weak](const peer_link& link) {
        if (const auto locked = weak.lock())
          SendKnownSuspects(*locked, link);
      };
  state->membership_agent.state->on_heartbeat_due =
      [weak](wire::heartbeatT& heartbeat) {
        if (const auto locked = weak.lock())
          heartbeat.departures_hash = DeparturesHash(*locked);
      };
  state->membership_agent.state->on_heartbeat =
      [weak](const peer_link& link, const wire::heartbeatT& heartbeat) {
        const auto locked = weak.lock();
        if (locked && heartbeat.departures_hash != DeparturesHash(*locked))
          SendKnownDepartures(*locked, link);
      };
  state->membership_agent.state->on_replication_message =
      [weak](const peer_link& link, wire::messageUnion& message) {
        const auto locked = weak.lock();
        if (!locked)
          return;
        if (const auto* request = message.Asshared_request())
          HandleRequest(*locked, link, *request);
        else if (const auto* objects = message.Asshared_objects())
          HandleObjects(*locked, link, *objects);
        else if (const auto* ages = message.Asshared_ages())
          HandleAges(*locked, link, *ages);
        else if (const auto* caches = message.Ascache_changes())
          HandleCacheChanges(*locked, *caches);
        else if (const auto* notice = message.Astarget_notice())
          HandleTargetNotice(*locked, link.peer.vm, *notice);
        else if (const auto* ask = message.Aspermit_request())
          HandlePermitRequest(*locked, link, *ask);
        else if (const auto* permit = message.Aspermit_response())
          HandlePermitResponse(*locked, *permit);
        else if (const auto* record = message.Asstream_record())
          HandleStreamRecord(*locked, *record);
        else if (const auto* query = message.Asstream_query())
          HandleStreamQuery(*locked, link, *query);
        else if (const auto* reply = message.Asstream_reply())
          HandleStreamReply(*locked, link, *reply);
        else if (const auto* load = message.Asload_notice())
          HandleLoadNotice(*locked, link.peer.vm, *load);
        else if (const auto* charge = message.Ascharge_request())
          HandleChargeRequest(*locked, link, *charge);
        else if (const auto* charged = message.Ascharge_response())
          HandleChargeResponse(*locked, *charged);
        else if (const auto* refund = message.Ascharge_refund())
          HandleChargeRefund(*locked, *refund);
        else
          HandleSuspectMessage(*locked, link, message);
      };
}

void PublishChanges(entry_state& state,
                    object_kind kind,
                    const object_changes& changes,
                    std::uint64_t after,
                    std::optional<instant> made_after) {
  if (state.subscribers.empty() || changes.changes.empty())
    return;
  wire::shared_objectsT out = MakeObjectsMessage(state, kind, changes.revision);
  out.after = after;
  if (made_after)
    out.max_age_ms =
        static_cast<std::int32_t>(ToMs(SuspendAwareNow() - *made_after));
  for (const object_change& change : changes.changes)
    AddObject(out, change.object, change.is_removed);
  wire::frameT frame;
  frame.message.Set(std::move(out));
  for (const auto& [vm, subscriber] : state.subscribers)
    SendFrame(subscriber.link, frame);
}

void PublishSnapshot(entry_state& state, object_kind kind) {
  for (const auto& [vm, subscriber] : state.subscribers)
    SendSnapshot(state, subscriber.link, kind);
}

bool IsZoneWatcher(const entry_state& state) {
  return std::find(state.zone_watchers.begin(), state.zone_watchers.end(),
                   state.options.vm) != state.zone_watchers.end();
}

bool IsSynced(const entry_state& state,
              object_kind kind,
              milliseconds watch_wait,
              instant now) {
  if (IsZoneWatcher(state))
    return false;
  return HasUpstream(state, kind, false, watch_wait, now);
}

asio::awaitable<void> RunReplication(entry_ptr state) {
  while (!IsStopping(state->root)) {
    co_await Pause(state->root, kPublishInterval);
    const instant now = std::chrono::steady_clock::now();
    state->zone_watchers = ChooseZoneWatchers(
        state->membership_agent.state->members, state->options.zone);
    UpdateOutsideSource(*state, now);
    std::erase_if(state->upstreams, [&](const auto& entry) {
      const auto& followed =
          entry.second.is_outside ? state->outside.vms : state->zone_watchers;
      return std::find(followed.begin(), followed.end(), entry.first) ==
             followed.end();
    });
    for (const std::string& watcher : state->zone_watchers) {
      if (watcher != state->options.vm)
        MaintainUpstream(state, watcher, false, now);
    }
    for (const std::string& vm : state->outside.vms)
      MaintainUpstream(state, vm, true, now);
    std::erase_if(state->subscribers, [&](const auto& entry) {
      return !IsOpen(entry.second.link) ||
             now > entry.second.last_contact +
                       kMaxMissedRenewals * kRenewalPeriod;
    });
    UpdateListedVms(*state, now);
    for (const auto& [vm, subscriber] : state->subscribers)
      SendAges(*state, subscriber.link);
  }
}

asio::awaitable<void> RunPeerBootstrap(entry_ptr state) {
  const auto is_missing = [&] {
    return state->watches[object_kind::kConfig].revision == 0 ||
           state->watches[object_kind::kTargets].revision == 0;
  };
  while (!IsStopping(state->root)) {
    co_await Pause(state->root, kBootstrapPeriod);
    if (!is_missing())
      continue;
    for (const auto& [vm, link] : state->membership_agent.state->links) {
      if (!IsOpen(link.connection))
        continue;
      SendMessage(link.connection, wire::shared_requestT());
      break;
    }
  }
}

}  // namespace waxwing
