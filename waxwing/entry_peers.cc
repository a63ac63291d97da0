// What entries tell each other of the store, so that one that starts while the
// store is away serves at once.

#include <algorithm>
#include <boost/asio.hpp>

#include "waxwing/agent_state.h"
#include "waxwing/entry_state.h"
#include "waxwing/log.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

constexpr milliseconds kAskPeriod{200};

void SendObjects(const entry_state& state, const peer_link& link) {
  for (const auto& [kind, objects] : state.objects) {
    for (const auto& [name, object] : objects) {
      wire::shared_objectT out;
      out.kind = static_cast<std::uint8_t>(kind);
      out.name = name;
      out.revision = object.revision;
      out.spec = object.spec;
      SendMessage(link, std::move(out));
    }
  }
}

// Peers stand in for the store only until it has answered.
void TakeInShared(entry_state& state, const wire::shared_objectT& shared) {
  if (shared.kind > static_cast<std::uint8_t>(object_kind::kWeights))
    return;
  const auto kind = static_cast<object_kind>(shared.kind);
  if (state.watches[kind].revision != 0)
    return;
  const auto known = state.objects[kind].find(shared.name);
  if (known != state.objects[kind].end() &&
      known->second.revision >= shared.revision)
    return;
  LogInfo("object_from_peer",
          {{"name", shared.name}, {"revision", shared.revision}});
  TakeInObject(state, kind, {shared.name, shared.revision, shared.spec}, false);
}

}  // namespace

void ShareWithPeers(const entry_ptr& state) {
  const std::weak_ptr<entry_state> weak = state;
  agent_state& peers = *state->members.state;
  peers.on_shared_request = [weak](const peer_link& link) {
    if (const auto locked = weak.lock())
      SendObjects(*locked, link);
  };
  peers.on_shared_object = [weak](const wire::shared_objectT& object) {
    if (const auto locked = weak.lock())
      TakeInShared(*locked, object);
  };
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
      if (!IsOpen(link.link))
        continue;
      SendMessage(link.link, wire::shared_requestT());
      break;
    }
  }
}

}  // namespace waxwing
