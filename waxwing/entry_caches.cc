// Subscriptions to the cache events of targets and of the cache store.

#include <algorithm>
#include <boost/asio.hpp>
#include <set>

#include "waxwing/agent_state.h"
#include "waxwing/entry_state.h"
#include "waxwing/hash.h"
#include "waxwing/log.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

// Wait of a long-polling call. Calls that wait this long are free of charge; it
// is also the maximum wait.
constexpr milliseconds kEventWait{1'000};
constexpr milliseconds kEventRetryPause{500};
constexpr milliseconds kSubscribePeriod{500};
// A VM that has restarted subscribes after this time, in which it learns of the
// other VMs. Before, it would subscribe to all caches, and what they have kept
// of their events would fill its link.
constexpr milliseconds kSubscribeDelay{1'500};
// First calls to caches that a VM that has restarted makes at a time, and their
// wait: they return all events that the cache has kept.
constexpr int kMaxFirstCalls = 4;
constexpr milliseconds kFirstCallWait{200};
constexpr milliseconds kFirstCallPoll{20};

// A target or cache store whose events this VM is subscribed to.
struct cache_subscription {
  // VMs that may be subscribed to it at a time; 0 means any number.
  int max_subscribers = 0;
  std::uint32_t index = 0;
  std::string target;
  endpoint address;
  std::int64_t since = 0;
  std::int64_t epoch = 0;
};

bool IsListed(const entry_state& state, const cache_subscription& cache) {
  if (IsCacheStore(cache.index)) {
    const auto store = state.cache_stores.find(cache.address);
    return store != state.cache_stores.end() &&
           store->second.index == cache.index;
  }
  const auto found = state.targets.find(cache.target);
  return found != state.targets.end() && found->second.index == cache.index &&
         found->second.record.address == cache.address;
}

cache_subscriber_role SubscriberRole(const entry_state& state,
                                     const cache_subscription& cache) {
  return ChooseCacheSubscriberRole(
      state.cache_subscribers, ToText(cache.address), cache.max_subscribers);
}

void ApplyEvents(entry_state& state,
                 cache_subscription& cache,
                 const cache_events& events) {
  const bool is_snapshot = events.epoch != cache.epoch || events.has_gap;
  if (is_snapshot && cache.epoch != 0)
    LogInfo("cache_state_reset", {{"target", cache.target},
                                  {"address", ToText(cache.address)},
                                  {"gap", events.has_gap}});
  cache.epoch = events.epoch;
  cache.since = events.next_event;
  std::vector<cached_segment> changes;
  changes.reserve(events.changes.size());
  for (const cache_events::change& change : events.changes)
    changes.push_back({CacheKey(change.salt, change.segment), change.tokens});
  ApplyCacheChanges(state, cache.address, cache.index, is_snapshot, changes);
  if (SubscriberRole(state, cache) == cache_subscriber_role::kForZone)
    AddPendingChanges(state, cache.address, is_snapshot, changes);
}

// Fetches the next events of a cache.
asio::awaitable<tl::expected<cache_events, http_error>>
FetchEvents(entry_ptr state, endpoint address, std::int64_t since) {
  co_return co_await state->protocol.fetch_cache_events(state->pool, address,
                                                        since, kEventWait);
}

// Fetches the events that a cache has kept so far.
asio::awaitable<tl::expected<cache_events, http_error>> FetchKeptEvents(
    entry_ptr state,
    endpoint address) {
  ++state->first_cache_calls;
  auto out = co_await state->protocol.fetch_cache_events(state->pool, address,
                                                         0, kFirstCallWait);
  --state->first_cache_calls;
  co_return out;
}

// Applies events until the cache is no longer listed or another VM takes over
// the subscription.
asio::awaitable<void> RunSubscription(entry_ptr state,
                                      cache_subscription cache) {
  bool is_first_call = true;
  while (!IsStopping(state->root) && IsListed(*state, cache) &&
         SubscriberRole(*state, cache) != cache_subscriber_role::kNone) {
    const bool is_limited = is_first_call && !state->options.is_first_start;
    if (is_limited && state->first_cache_calls >= kMaxFirstCalls) {
      co_await Pause(state->root, kFirstCallPoll);
      continue;
    }
    auto call = is_limited ? FetchKeptEvents(state, cache.address)
                           : FetchEvents(state, cache.address, cache.since);
    const auto events = co_await std::move(call);
    if (!IsListed(*state, cache))
      break;
    SetStoreUsable(*state, cache.address, events.has_value());
    if (events) {
      is_first_call = false;
      ApplyEvents(*state, cache, *events);
      continue;
    }
    if (IsCacheStore(cache.index) &&
        SubscriberRole(*state, cache) == cache_subscriber_role::kForZone)
      AddPendingLoss(*state, cache.address);
    co_await Pause(state->root, kEventRetryPause);
  }
  state->subscribed_caches.erase(cache.address);
  state->pending_changes.erase(cache.address);
}

void StartSubscription(const entry_ptr& state, cache_subscription cache) {
  if (SubscriberRole(*state, cache) == cache_subscriber_role::kNone)
    return;
  if (!state->subscribed_caches.insert(cache.address).second)
    return;
  asio::co_spawn(state->executor, RunSubscription(state, std::move(cache)),
                 asio::detached);
}

int MaxSubscribers(const entry_state& state, const std::string& service) {
  const auto found = state.table->services.find(service);
  return found == state.table->services.end()
             ? 0
             : found->second.max_event_subscribers;
}

}  // namespace

void UpdateCacheStores(entry_state& state) {
  std::set<endpoint> configured;
  for (const auto& [name, service] : state.table->services) {
    if (!service.cache_store)
      continue;
    configured.insert(*service.cache_store);
    const auto [entry, is_new] =
        state.cache_stores.try_emplace(*service.cache_store);
    cache_store& store = entry->second;
    if (is_new) {
      store.index = state.next_cache_store++;
      store.address_hash = Hash64(ToText(*service.cache_store));
    }
    store.service = name;
    store.zone = service.zone;
    store.link_mbps = service.link_mbps;
    store.max_event_subscribers = service.max_event_subscribers;
  }
  std::erase_if(state.cache_stores, [&](const auto& entry) {
    if (configured.contains(entry.first))
      return false;
    ForgetTarget(state.caches, entry.second.index);
    return true;
  });
}

std::optional<std::uint32_t> FindCache(const entry_state& state,
                                       const endpoint& address) {
  const auto store = state.cache_stores.find(address);
  if (store != state.cache_stores.end())
    return store->second.index;
  for (const auto& [id, target] : state.targets) {
    if (target.record.address == address)
      return target.index;
  }
  return std::nullopt;
}

std::uint32_t CacheEpoch(const entry_state& state, std::uint32_t index) {
  return IsCacheStore(index) ? 0 : state.placement.targets[index].epoch;
}

void ApplyCacheChanges(entry_state& state,
                       const endpoint& address,
                       std::uint32_t index,
                       bool is_snapshot,
                       std::span<const cached_segment> changes) {
  if (is_snapshot) {
    ForgetTarget(state.caches, index);
    const auto store = state.cache_stores.find(address);
    if (store != state.cache_stores.end())
      ClearSaves(store->second.saves);
  }
  const std::uint32_t epoch = CacheEpoch(state, index);
  for (const cached_segment& change : changes)
    RecordCached(state.caches, change.key, index, epoch, change.tokens);
}

void SetStoreUsable(entry_state& state,
                    const endpoint& address,
                    bool is_usable) {
  const auto found = state.cache_stores.find(address);
  if (found == state.cache_stores.end() || found->second.is_usable == is_usable)
    return;
  found->second.is_usable = is_usable;
  LogInfo(is_usable ? "cache_store_regained" : "cache_store_lost",
          {{"address", ToText(address)}});
}

asio::awaitable<void> SubscribeToCaches(entry_ptr state) {
  if (!state->options.is_first_start)
    co_await Pause(state->root, kSubscribeDelay);
  while (!IsStopping(state->root)) {
    for (const auto& [id, target] : state->targets) {
      if (!target.record.models.empty() && !target.record.is_draining)
        StartSubscription(
            state, {MaxSubscribers(*state, target.record.service), target.index,
                    id, target.record.address, 0, 0});
    }
    for (const auto& [address, store] : state->cache_stores)
      StartSubscription(state, {store.max_event_subscribers, store.index,
                                store.service, address, 0, 0});
    co_await Pause(state->root, kSubscribePeriod);
  }
}

}  // namespace waxwing
