// What targets and the cache store hold, from their cache events.

#include <algorithm>
#include <boost/asio.hpp>

#include "waxwing/agent_state.h"
#include "waxwing/entry_state.h"
#include "waxwing/hash.h"
#include "waxwing/log.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

// Calls that wait this long are free of charge; it is also the longest wait.
constexpr milliseconds kEventWait{1'000};
constexpr milliseconds kEventPause{500};
constexpr milliseconds kFollowPeriod{500};

// Calls kept free of the followers that a source takes, for VMs that see other
// members than this one does.
constexpr int kSpareFollowers = 3;

// True if this VM is one of those that follow the source: all VMs, or as many
// as it takes, by rendezvous.
bool IsFollower(const entry_state& state, const endpoint& source, int most) {
  const std::uint64_t key = Hash64(ToText(source));
  const std::uint64_t own = RendezvousWeight(key, Hash64(state.options.vm));
  int ahead = 0;
  for (const auto& [vm, record] : state.members.state->members.members) {
    ahead += record.data.status == member_status::kAlive &&
             RendezvousWeight(key, Hash64(vm)) > own;
  }
  return most == 0 || ahead < std::max(1, most - kSpareFollowers);
}

// Takes events in until the call fails or the source is no longer followed.
struct followed_cache {
  // VMs that may follow it at a time.
  int followers = 0;
  std::uint32_t index = 0;
  std::string target;
  endpoint address;
  std::int64_t since = 0;
  std::int64_t epoch = 0;
};

bool IsListed(const entry_state& state, const followed_cache& cache) {
  if (cache.index == kCacheStore)
    return true;
  const auto found = state.targets.find(cache.target);
  return found != state.targets.end() && found->second.index == cache.index &&
         found->second.record.address == cache.address;
}

std::uint32_t EpochOf(const entry_state& state, const followed_cache& cache) {
  return cache.index == kCacheStore
             ? 0
             : state.placement.targets[cache.index].epoch;
}

void TakeInEvents(entry_state& state,
                  followed_cache& cache,
                  const cache_events& events) {
  if (events.epoch != cache.epoch || events.has_gap) {
    if (cache.epoch != 0)
      LogInfo("cache_unknown", {{"target", cache.target},
                                {"address", ToText(cache.address)},
                                {"gap", events.has_gap}});
    ForgetHolder(state.caches, cache.index);
    if (cache.index == kCacheStore)
      ForgetAllSaved(state.saved);
  }
  cache.epoch = events.epoch;
  cache.since = events.next;
  for (const cache_events::change& change : events.changes)
    NoteHeld(state.caches, CacheKey(change.salt, change.part), cache.index,
             EpochOf(state, cache), change.tokens);
}

asio::awaitable<void> FollowOne(entry_ptr state, followed_cache cache) {
  while (!IsStopping(state->root) && IsListed(*state, cache) &&
         IsFollower(*state, cache.address, cache.followers)) {
    const auto events = co_await state->spoken.read_cache_events(
        state->pool, cache.address, cache.since, kEventWait);
    if (!IsListed(*state, cache))
      break;
    if (cache.index == kCacheStore &&
        state->is_store_usable != events.has_value()) {
      state->is_store_usable = events.has_value();
      LogInfo(events ? "cache_store_regained" : "cache_store_lost",
              {{"address", ToText(cache.address)}});
    }
    if (events)
      TakeInEvents(*state, cache, *events);
    else
      co_await Pause(state->root, kEventPause);
  }
  state->followed.erase(cache.address);
}

void Follow(const entry_ptr& state, followed_cache cache) {
  if (!IsFollower(*state, cache.address, cache.followers))
    return;
  if (!state->followed.insert(cache.address).second)
    return;
  asio::co_spawn(state->executor, FollowOne(state, std::move(cache)),
                 asio::detached);
}

int FollowersOf(const entry_state& state, const std::string& service) {
  const auto found = state.table->services.find(service);
  return found == state.table->services.end() ? 0
                                              : found->second.event_followers;
}

}  // namespace

asio::awaitable<void> FollowCaches(entry_ptr state) {
  while (!IsStopping(state->root)) {
    for (const auto& [id, target] : state->targets) {
      if (!target.record.model.empty() && !target.record.is_leaving)
        Follow(state, {FollowersOf(*state, target.record.service), target.index,
                       id, target.record.address, 0, 0});
    }
    for (const auto& [name, service] : state->table->services) {
      if (service.cache_store)
        Follow(state, {service.event_followers, kCacheStore, name,
                       *service.cache_store, 0, 0});
    }
    co_await Pause(state->root, kFollowPeriod);
  }
}

}  // namespace waxwing
