// What the follower of a target's cache tells the other VMs of its zone.

#include <boost/asio.hpp>

#include "waxwing/agent_state.h"
#include "waxwing/entry_state.h"
#include "waxwing/settings.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

// Changes are gathered this long, since a message costs more than a change.
constexpr milliseconds kTellPeriod{100};

void SendChanges(const peer_link& link,
                 const endpoint& address,
                 bool is_whole,
                 std::span<const cached_segment> changes) {
  wire::cache_changesT out;
  out.source = ToText(address);
  out.is_whole = is_whole;
  out.changes.reserve(changes.size());
  for (const cached_segment& change : changes)
    out.changes.emplace_back(change.key, change.tokens);
  SendMessage(link, std::move(out));
}

void SendAllHeld(const entry_state& state, const peer_link& link) {
  for (const auto& [address, untold] : state.untold) {
    const auto index = CacheAt(state, address);
    if (!index)
      continue;
    SendChanges(
        link, address, true,
        SegmentsCachedBy(state.caches, *index, EpochOfCache(state, *index)));
  }
}

// Tells one VM; dials it if there is no link.
void TellVm(const entry_ptr& state, const std::string& vm) {
  const auto& links = state->members.state->links;
  const auto found = links.find(vm);
  if (found == links.end() || !IsOpen(found->second.link)) {
    asio::co_spawn(state->executor, EnsureLink(state->members.state, vm),
                   asio::detached);
    return;
  }
  const peer_link& link = found->second.link;
  peer_link& told = state->told[vm];
  if (told.state != link.state) {
    told = link;
    SendAllHeld(*state, link);
    return;
  }
  for (const auto& [address, untold] : state->untold) {
    if (untold.is_whole || !untold.changes.empty())
      SendChanges(link, address, untold.is_whole, untold.changes);
  }
}

}  // namespace

void AddUntold(entry_state& state,
               const endpoint& address,
               bool is_whole,
               std::span<const cached_segment> changes) {
  untold_changes& untold = state.untold[address];
  if (is_whole) {
    untold.is_whole = true;
    untold.changes.clear();
  }
  untold.changes.insert(untold.changes.end(), changes.begin(), changes.end());
}

void TakeInCacheChanges(entry_state& state, const wire::cache_changesT& told) {
  const auto address = ParseEndpoint(told.source);
  if (!address || state.followed.contains(*address))
    return;
  const auto index = CacheAt(state, *address);
  if (!index)
    return;
  std::vector<cached_segment> changes;
  changes.reserve(told.changes.size());
  for (const wire::cached_part_change& change : told.changes)
    changes.push_back({change.key(), change.tokens()});
  NoteCacheChanges(state, *index, told.is_whole, changes);
}

asio::awaitable<void> TellCaches(entry_ptr state) {
  while (!IsStopping(state->root)) {
    co_await Pause(state->root, kTellPeriod);
    if (state->untold.empty())
      continue;
    for (const auto& [vm, record] : state->members.state->members.members) {
      if (vm != state->options.vm && record.data.zone == state->options.zone &&
          record.data.status == member_status::kAlive)
        TellVm(state, vm);
    }
    for (auto& [address, untold] : state->untold)
      untold = {};
  }
}

}  // namespace waxwing
