// Replication of cache changes within a zone: the VM that is subscribed to the
// events of a cache publishes them to the others.

#include <boost/asio.hpp>

#include "waxwing/agent_state.h"
#include "waxwing/entry_state.h"
#include "waxwing/settings.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

// Changes are batched for this long, since a message costs more than a change.
constexpr milliseconds kPublishPeriod{100};

void SendCacheChanges(const peer_link& link,
                      const endpoint& address,
                      bool is_snapshot,
                      std::span<const cached_segment> changes) {
  wire::cache_changesT out;
  out.source = ToText(address);
  out.is_whole = is_snapshot;
  out.changes.reserve(changes.size());
  for (const cached_segment& change : changes)
    out.changes.emplace_back(change.key, change.tokens);
  SendMessage(link, std::move(out));
}

void SendCacheSnapshots(const entry_state& state, const peer_link& link) {
  for (const auto& [address, batch] : state.pending_changes) {
    const auto index = FindCache(state, address);
    if (!index)
      continue;
    SendCacheChanges(
        link, address, true,
        SegmentsCachedBy(state.caches, *index, CacheEpoch(state, *index)));
  }
}

// Publishes to one VM; connects to it if there is no link.
void PublishToVm(const entry_ptr& state, const std::string& vm) {
  const auto& links = state->membership_agent.state->links;
  const auto found = links.find(vm);
  if (found == links.end() || !IsOpen(found->second.connection)) {
    asio::co_spawn(state->executor,
                   EnsureLink(state->membership_agent.state, vm),
                   asio::detached);
    return;
  }
  const peer_link& link = found->second.connection;
  peer_link& synced = state->synced_links[vm];
  if (synced.state != link.state) {
    synced = link;
    SendCacheSnapshots(*state, link);
    return;
  }
  for (const auto& [address, batch] : state->pending_changes) {
    if (batch.is_snapshot || !batch.changes.empty())
      SendCacheChanges(link, address, batch.is_snapshot, batch.changes);
  }
}

}  // namespace

void AddPendingChanges(entry_state& state,
                       const endpoint& address,
                       bool is_snapshot,
                       std::span<const cached_segment> changes) {
  cache_change_batch& batch = state.pending_changes[address];
  if (is_snapshot) {
    batch.is_snapshot = true;
    batch.changes.clear();
  }
  batch.changes.insert(batch.changes.end(), changes.begin(), changes.end());
}

void HandleCacheChanges(entry_state& state,
                        const wire::cache_changesT& message) {
  const auto address = ParseEndpoint(message.source);
  if (!address || state.subscribed_caches.contains(*address))
    return;
  const auto index = FindCache(state, *address);
  if (!index)
    return;
  std::vector<cached_segment> changes;
  changes.reserve(message.changes.size());
  for (const wire::cached_part_change& change : message.changes)
    changes.push_back({change.key(), change.tokens()});
  ApplyCacheChanges(state, *index, message.is_whole, changes);
}

asio::awaitable<void> RunCachePublisher(entry_ptr state) {
  while (!IsStopping(state->root)) {
    co_await Pause(state->root, kPublishPeriod);
    if (state->pending_changes.empty())
      continue;
    for (const auto& [vm, record] :
         state->membership_agent.state->members.members) {
      if (vm != state->options.vm && record.data.zone == state->options.zone &&
          record.data.status == member_status::kAlive)
        PublishToVm(state, vm);
    }
    for (auto& [address, batch] : state->pending_changes)
      batch = {};
  }
}

}  // namespace waxwing
