// What targets and the cache store hold, from their cache events.

#include <algorithm>
#include <boost/asio.hpp>

#include "waxwing/agent_state.h"
#include "waxwing/entry_state.h"
#include "waxwing/log.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

// Calls that wait this long are free of charge; it is also the longest wait.
constexpr milliseconds kEventWait{1'000};
constexpr milliseconds kEventPause{500};
constexpr milliseconds kFollowPeriod{500};

// A target or cache store whose events this VM follows.
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

cache_duty DutyFor(const entry_state& state, const followed_cache& cache) {
  return ChooseCacheDuty(state.members.state->members, ToText(cache.address),
                         state.options.zone, cache.followers);
}

void TakeInEvents(entry_state& state,
                  followed_cache& cache,
                  const cache_events& events) {
  const bool is_whole = events.epoch != cache.epoch || events.has_gap;
  if (is_whole && cache.epoch != 0)
    LogInfo("cache_unknown", {{"target", cache.target},
                              {"address", ToText(cache.address)},
                              {"gap", events.has_gap}});
  cache.epoch = events.epoch;
  cache.since = events.next;
  std::vector<cached_segment> changes;
  changes.reserve(events.changes.size());
  for (const cache_events::change& change : events.changes)
    changes.push_back({CacheKey(change.salt, change.part), change.tokens});
  NoteCacheChanges(state, cache.index, is_whole, changes);
  if (DutyFor(state, cache) == cache_duty::kForZone)
    AddUntold(state, cache.address, is_whole, changes);
}

// Takes events in until the call fails or the source is no longer followed.
asio::awaitable<void> FollowOne(entry_ptr state, followed_cache cache) {
  while (!IsStopping(state->root) && IsListed(*state, cache) &&
         DutyFor(*state, cache) != cache_duty::kNone) {
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
  state->untold.erase(cache.address);
}

void Follow(const entry_ptr& state, followed_cache cache) {
  if (DutyFor(*state, cache) == cache_duty::kNone)
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

std::optional<std::uint32_t> CacheAt(const entry_state& state,
                                     const endpoint& address) {
  for (const auto& [id, target] : state.targets) {
    if (target.record.address == address)
      return target.index;
  }
  for (const auto& [name, service] : state.table->services) {
    if (service.cache_store == address)
      return kCacheStore;
  }
  return std::nullopt;
}

std::uint32_t EpochOfCache(const entry_state& state, std::uint32_t index) {
  return index == kCacheStore ? 0 : state.placement.targets[index].epoch;
}

void NoteCacheChanges(entry_state& state,
                      std::uint32_t index,
                      bool is_whole,
                      std::span<const cached_segment> changes) {
  if (is_whole) {
    ForgetTarget(state.caches, index);
    if (index == kCacheStore)
      ClearSaves(state.saved);
  }
  const std::uint32_t epoch = EpochOfCache(state, index);
  for (const cached_segment& change : changes)
    RecordCached(state.caches, change.key, index, epoch, change.tokens);
}

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
