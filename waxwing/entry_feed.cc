// What entries tell each other of the store: a zone's readers tell the others,
// and one that starts while the store is away asks any peer.

#include <algorithm>
#include <boost/asio.hpp>

#include "waxwing/agent_state.h"
#include "waxwing/entry_state.h"
#include "waxwing/log.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

constexpr milliseconds kAskPeriod{200};
// A follower repeats its request this often, and is forgotten after missing
// three of them.
constexpr milliseconds kFollowPeriod{1'000};
constexpr int kMissedRequests = 3;
constexpr object_kind kSharedKinds[] = {
    object_kind::kConfig, object_kind::kTargets, object_kind::kWeights};

wire::shared_objectsT MakeShared(object_kind kind, std::uint64_t revision) {
  wire::shared_objectsT out;
  out.kind = static_cast<std::uint8_t>(kind);
  out.revision = revision;
  return out;
}

void Add(wire::shared_objectsT& to,
         const stored_object& object,
         bool is_removed) {
  auto out = std::make_unique<wire::shared_objectT>();
  out->name = object.name;
  out->revision = object.revision;
  out->spec = object.spec;
  out->is_removed = is_removed;
  to.objects.push_back(std::move(out));
}

// Sends all objects of a kind, if any are known.
void SendWhole(entry_state& state, const peer_link& link, object_kind kind) {
  const std::uint64_t revision = state.watches[kind].revision;
  const auto& known = state.objects[kind];
  if (revision == 0 && known.empty())
    return;
  wire::shared_objectsT out = MakeShared(kind, revision);
  out.is_whole = true;
  for (const auto& [name, object] : known)
    Add(out, object, false);
  SendMessage(link, std::move(out));
}

void SendAges(const entry_state& state, const peer_link& link, instant now) {
  wire::shared_agesT out;
  for (const object_kind kind : kSharedKinds) {
    const auto found = state.watches.find(kind);
    if (found == state.watches.end() || found->second.last_answer == instant{})
      continue;
    auto age = std::make_unique<wire::shared_ageT>();
    age->kind = static_cast<std::uint8_t>(kind);
    age->age_ms =
        static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(
                                       now - found->second.last_answer)
                                       .count());
    out.ages.push_back(std::move(age));
  }
  SendMessage(link, std::move(out));
}

std::optional<object_kind> KindOf(std::uint8_t word) {
  for (const object_kind kind : kSharedKinds) {
    if (word == static_cast<std::uint8_t>(kind))
      return kind;
  }
  return std::nullopt;
}

void TakeInRequest(entry_state& state,
                   const peer_link& link,
                   const wire::shared_requestT& request) {
  const instant now = std::chrono::steady_clock::now();
  if (request.follows)
    state.followers[link.peer.vm] = {link, now};
  if (request.follows && !request.is_first)
    return;
  for (const object_kind kind : kSharedKinds)
    SendWhole(state, link, kind);
  if (request.follows)
    SendAges(state, link, now);
}

// Takes in what a peer knows. Its frames come in order, so a change always
// follows on what this VM has; what is not newer is left out.
void TakeInObjects(entry_state& state,
                   std::string_view from,
                   const wire::shared_objectsT& shared) {
  const auto kind = KindOf(shared.kind);
  if (!kind)
    return;
  watch_position& position = state.watches[*kind];
  const bool is_known = position.revision != 0;
  if (is_known ? shared.revision <= position.revision : !shared.is_whole)
    return;
  object_list whole;
  whole.revision = shared.revision;
  for (const auto& object : shared.objects) {
    const stored_object read{object->name, object->revision, object->spec};
    TakeInObject(state, *kind, read, object->is_removed);
    whole.objects.push_back(read);
  }
  if (shared.is_whole && shared.revision != 0) {
    DropMissing(state, *kind, whole);
    position.is_listed = true;
  }
  position.revision = std::max(position.revision, shared.revision);
  LogDebug("objects_from_peer", {{"peer", from},
                                 {"kind", static_cast<int>(*kind)},
                                 {"objects", shared.objects.size()},
                                 {"whole", shared.is_whole},
                                 {"revision", shared.revision}});
}

void TakeInAges(entry_state& state,
                const peer_link& link,
                const wire::shared_agesT& shared) {
  const auto source = state.sources.find(link.peer.vm);
  if (source == state.sources.end())
    return;
  const instant now = std::chrono::steady_clock::now();
  source->second.heard = now;
  for (const auto& age : shared.ages) {
    if (const auto kind = KindOf(age->kind))
      source->second.current_at[*kind] = now - milliseconds(age->age_ms);
  }
}

bool IsReader(const entry_state& state) {
  return std::find(state.readers.begin(), state.readers.end(),
                   state.options.vm) != state.readers.end();
}

// Opens a link to a reader and asks it for everything.
asio::awaitable<void> StartToFollow(entry_ptr state, std::string reader) {
  const auto link = co_await EnsureLink(state->members.state, reader);
  const auto found = state->sources.find(reader);
  if (found == state->sources.end())
    co_return;
  feed_source& source = found->second;
  source.is_dialling = false;
  if (!link)
    co_return;
  source.link = *link;
  source.asked = std::chrono::steady_clock::now();
  wire::shared_requestT request;
  request.follows = true;
  request.is_first = true;
  SendMessage(source.link, request);
  LogInfo("reader_followed", {{"reader", reader}});
}

void KeepSource(const entry_ptr& state,
                const std::string& reader,
                instant now) {
  feed_source& source = state->sources[reader];
  if (source.is_dialling)
    return;
  if (!source.link.state || !IsOpen(source.link)) {
    source.is_dialling = true;
    asio::co_spawn(state->executor, StartToFollow(state, reader),
                   asio::detached);
  } else if (now >= source.asked + kFollowPeriod) {
    source.asked = now;
    wire::shared_requestT request;
    request.follows = true;
    SendMessage(source.link, request);
  }
}

}  // namespace

void ShareWithPeers(const entry_ptr& state) {
  const std::weak_ptr<entry_state> weak = state;
  state->members.state->on_replication_message =
      [weak](const peer_link& link, wire::messageUnion& message) {
        const auto locked = weak.lock();
        if (!locked)
          return;
        if (const auto* request = message.Asshared_request())
          TakeInRequest(*locked, link, *request);
        else if (const auto* objects = message.Asshared_objects())
          TakeInObjects(*locked, link.peer.vm, *objects);
        else if (const auto* ages = message.Asshared_ages())
          TakeInAges(*locked, link, *ages);
        else if (const auto* caches = message.Ascache_changes())
          TakeInCacheChanges(*locked, *caches);
      };
}

void TellFollowers(entry_state& state,
                   object_kind kind,
                   const object_changes& changes) {
  if (state.followers.empty() || changes.changes.empty())
    return;
  wire::shared_objectsT out = MakeShared(kind, changes.revision);
  for (const object_change& change : changes.changes)
    Add(out, change.object, change.is_removed);
  wire::frameT frame;
  frame.message.Set(std::move(out));
  for (const auto& [vm, follower] : state.followers)
    SendFrame(follower.link, frame);
}

void TellFollowersAll(entry_state& state, object_kind kind) {
  for (const auto& [vm, follower] : state.followers)
    SendWhole(state, follower.link, kind);
}

bool IsTold(const entry_state& state,
            object_kind kind,
            milliseconds longest_read,
            instant now) {
  if (IsReader(state))
    return false;
  return std::any_of(state.sources.begin(), state.sources.end(),
                     [&](const auto& entry) {
                       const auto found = entry.second.current_at.find(kind);
                       return found != entry.second.current_at.end() &&
                              IsReliable({entry.second.heard, found->second},
                                         longest_read, now);
                     });
}

asio::awaitable<void> KeepFeed(entry_ptr state) {
  while (!IsStopping(state->root)) {
    co_await Pause(state->root, kFeedPeriod);
    const instant now = std::chrono::steady_clock::now();
    const std::string& zone = state->options.zone;
    state->readers = ChooseInZone(state->members.state->members,
                                  "store/" + zone, zone, kReadersPerZone);
    std::erase_if(state->sources, [&](const auto& entry) {
      return std::find(state->readers.begin(), state->readers.end(),
                       entry.first) == state->readers.end();
    });
    for (const std::string& reader : state->readers) {
      if (reader != state->options.vm)
        KeepSource(state, reader, now);
    }
    std::erase_if(state->followers, [&](const auto& entry) {
      return !IsOpen(entry.second.link) ||
             now > entry.second.heard + kMissedRequests * kFollowPeriod;
    });
    for (const auto& [vm, follower] : state->followers)
      SendAges(*state, follower.link, now);
  }
}

asio::awaitable<void> AskPeers(entry_ptr state) {
  const auto is_missing = [&] {
    return state->watches[object_kind::kConfig].revision == 0 ||
           state->watches[object_kind::kTargets].revision == 0;
  };
  while (!IsStopping(state->root)) {
    co_await Pause(state->root, kAskPeriod);
    if (!is_missing())
      continue;
    for (const auto& [vm, link] : state->members.state->links) {
      if (!IsOpen(link.connection))
        continue;
      SendMessage(link.connection, wire::shared_requestT());
      break;
    }
  }
}

}  // namespace waxwing
