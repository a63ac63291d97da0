// Replication of cache changes within a zone: the VM that is subscribed to the
// events of a cache publishes them to the other VMs that callers use.

#include <algorithm>
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
                      const cache_change_batch& batch) {
  wire::cache_changesT out;
  out.source = ToText(address);
  out.is_whole = batch.is_snapshot;
  out.is_lost = batch.is_lost;
  out.changes.reserve(batch.changes.size());
  for (const cached_segment& change : batch.changes)
    out.changes.emplace_back(change.key, change.tokens);
  SendMessage(link, std::move(out));
}

std::vector<cached_segment> AllSegments(const entry_state& state,
                                        const endpoint& address) {
  const auto index = FindCache(state, address);
  if (!index)
    return {};
  return SegmentsCachedBy(state.caches, *index, CacheEpoch(state, *index));
}

void SendCacheSnapshots(const entry_state& state, const peer_link& link) {
  for (const auto& [address, batch] : state.pending_changes) {
    const bool is_lost = batch.is_lost;
    SendCacheChanges(link, address,
                     {true, is_lost, true, AllSegments(state, address)});
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
    if (batch.is_due)
      SendCacheChanges(link, address, batch);
  }
}

}  // namespace

void AddPendingChanges(entry_state& state,
                       const endpoint& address,
                       bool is_snapshot,
                       std::span<const cached_segment> changes) {
  const auto [entry, is_first] = state.pending_changes.try_emplace(address);
  cache_change_batch& batch = entry->second;
  batch.is_due |= is_first || is_snapshot || batch.is_lost || !changes.empty();
  batch.is_lost = false;
  if (is_first) {
    batch.is_snapshot = true;
    batch.changes = AllSegments(state, address);
    return;
  }
  if (is_snapshot) {
    batch.is_snapshot = true;
    batch.changes.clear();
  }
  batch.changes.insert(batch.changes.end(), changes.begin(), changes.end());
}

void AddPendingLoss(entry_state& state, const endpoint& address) {
  cache_change_batch& batch = state.pending_changes[address];
  batch.is_due = true;
  batch.is_lost = true;
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
  ApplyCacheChanges(state, *address, *index, message.is_whole, changes);
  SetStoreUsable(state, *address, !message.is_lost);
}

asio::awaitable<void> RunCachePublisher(entry_ptr state) {
  while (!IsStopping(state->root)) {
    co_await Pause(state->root, kPublishPeriod);
    if (state->pending_changes.empty())
      continue;
    const std::vector<std::string>& listed = state->caller_load.listed_vms;
    for (const std::string& vm : listed) {
      if (vm != state->options.vm)
        PublishToVm(state, vm);
    }
    // A VM that is listed again later is sent a snapshot.
    std::erase_if(state->synced_links, [&](const auto& entry) {
      return std::find(listed.begin(), listed.end(), entry.first) ==
             listed.end();
    });
    for (auto& [address, batch] : state->pending_changes) {
      const bool is_lost = batch.is_lost;
      batch = {};
      batch.is_lost = is_lost;
    }
  }
}

}  // namespace waxwing
