#include "waxwing/engine_choice.h"

#include <algorithm>
#include <cmath>

#include "waxwing/hash.h"

namespace waxwing {
namespace {

// Mean prompt tokens that a waiting request of another VM still has to prefill,
// and the tokens by which a running request delays the next prompt.
constexpr double kBacklogTokensPerWaiting = 2'500;
constexpr double kBacklogTokensPerRunning = 30;
// Cost of another replica of a shared token: it evicts another prefix.
constexpr std::chrono::nanoseconds kReplicationCostPerToken{10'000};
// Transfers between zones take this many times as long.
constexpr int kCrossZoneFactor = 2;
// A transfer of fewer tokens is not worthwhile.
constexpr std::uint32_t kMinTransferTokens = 64;
// Cost of a target whose cache memory is expected to be full, so that it would
// have to preempt other runs, and the share of the memory at which it is full.
constexpr milliseconds kMemoryFullPenalty{1'000};
constexpr double kUsableMemoryShare = 0.9;
// The target that has just failed is chosen only if there is no other.
constexpr seconds kFailedTargetPenalty{1'000};

duration PrefillTime(const target_view& view, double tokens) {
  return FromSeconds(tokens / view.prefill_tokens_per_second);
}

duration Scale(duration time, double factor) {
  return std::chrono::duration_cast<duration>(time * factor);
}

double MemoryInUse(const target_view& view, double tokens_per_request) {
  return view.own_cache_tokens + view.zone_work.cache_tokens +
         view.others_in_flight * tokens_per_request;
}

// What is known of a prompt at the targets of one weights version.
struct version_state {
  std::string_view version;
  // Largest rendezvous weight of the targets without a pending load, that of
  // the prompt's home, and the zone of the home.
  std::uint64_t home_weight = 0;
  std::string_view home_zone;
  // Index of the cache store that keeps the shared segments.
  std::optional<std::uint32_t> store;
  std::vector<cached_prefix> prefixes;
  // The longest cached prefix, and the targets, or the cache store, that have
  // it: the first one, and the first one of each zone.
  std::uint32_t longest_prefix = 0;
  std::uint32_t longest_at = 0;
  std::vector<std::pair<std::string_view, std::uint32_t>> longest_by_zone;
};

// Returns the shared tokens of the prompt that `target` has cached.
std::uint32_t CachedTokensAt(const version_state& state,
                             const engine_request& request,
                             std::uint32_t target,
                             std::uint32_t epoch) {
  const auto found =
      std::lower_bound(state.prefixes.begin(), state.prefixes.end(), target,
                       [](const cached_prefix& prefix, std::uint32_t index) {
                         return prefix.target < index;
                       });
  if (found == state.prefixes.end() || found->target != target ||
      found->epoch != epoch)
    return 0;
  return std::min(request.prompt.shared_tokens, found->tokens);
}

// Records that `holder`, a target or the cache store, has `tokens` of the
// prompt cached.
void AddHolder(version_state& state,
               std::uint32_t holder,
               std::string_view zone,
               std::uint32_t tokens) {
  if (tokens == 0 || tokens < state.longest_prefix)
    return;
  if (tokens > state.longest_prefix) {
    state.longest_prefix = tokens;
    state.longest_at = holder;
    state.longest_by_zone.clear();
  }
  const bool is_zone_known =
      std::any_of(state.longest_by_zone.begin(), state.longest_by_zone.end(),
                  [&](const auto& entry) { return entry.first == zone; });
  if (!is_zone_known)
    state.longest_by_zone.emplace_back(zone, holder);
}

version_state& FindOrAddVersion(std::vector<version_state>& versions,
                                const cache_map& caches,
                                const engine_request& request,
                                const target_view& view) {
  const std::string_view version = WeightsVersion(view, request.model);
  for (version_state& known : versions) {
    if (known.version == version)
      return known;
  }
  version_state& added = versions.emplace_back();
  added.version = version;
  added.prefixes = FindCachedPrefixes(caches, request.segments_at(view));
  return added;
}

// Chooses the cache store that keeps the shared segments: one in the zone of
// their home, which fetches them most often, or any if there is none.
const cache_store_view* ChooseStore(const engine_request& request,
                                    std::string_view home_zone) {
  const cache_store_view* best = nullptr;
  const auto rank = [&](const cache_store_view& store) {
    return std::pair(
        store.zone == home_zone,
        RendezvousWeight(request.prompt.home_key, store.name_hash));
  };
  for (const cache_store_view& store : request.cache_stores) {
    if (!best || rank(store) > rank(*best))
      best = &store;
  }
  return best;
}

// Collects the homes and the holders of the prompt among the usable targets.
std::vector<version_state> FindHolders(std::span<const target_view> targets,
                                       const cache_map& caches,
                                       const engine_request& request,
                                       std::span<const std::uint32_t> usable) {
  std::vector<version_state> versions;
  for (const std::uint32_t i : usable) {
    const target_view& view = targets[i];
    version_state& state = FindOrAddVersion(versions, caches, request, view);
    AddHolder(state, i, view.zone,
              CachedTokensAt(state, request, i, view.epoch));
    const std::uint64_t weight =
        RendezvousWeight(request.prompt.home_key, view.name_hash);
    if (IsLoadPending(view, request.model) || weight <= state.home_weight)
      continue;
    state.home_weight = weight;
    state.home_zone = view.zone;
  }
  for (version_state& state : versions) {
    const cache_store_view* store = ChooseStore(request, state.home_zone);
    if (!store)
      continue;
    state.store = store->index;
    AddHolder(state, store->index, store->zone,
              CachedTokensAt(state, request, store->index, 0));
  }
  return versions;
}

// True if no usable target of the same weights version has a larger rendezvous
// weight for the prompt. Targets with a pending load are no homes.
bool IsHome(const version_state& state,
            const target_view& view,
            const engine_request& request) {
  return !IsLoadPending(view, request.model) &&
         RendezvousWeight(request.prompt.home_key, view.name_hash) >=
             state.home_weight;
}

// Chooses the source of the tokens that the target lacks: the holder of the
// most tokens, in the same zone if possible.
void ChooseSource(const version_state& state,
                  const target_view& view,
                  engine_choice& choice) {
  if (state.longest_prefix < choice.cached_tokens + kMinTransferTokens)
    return;
  choice.source = state.longest_at;
  for (const auto& [zone, holder] : state.longest_by_zone) {
    if (zone == view.zone)
      choice.source = holder;
  }
  choice.fetched_tokens = state.longest_prefix - choice.cached_tokens;
}

std::string_view ZoneOf(std::span<const target_view> targets,
                        const engine_request& request,
                        std::uint32_t holder) {
  if (!IsCacheStore(holder))
    return targets[holder].zone;
  for (const cache_store_view& store : request.cache_stores) {
    if (store.index == holder)
      return store.zone;
  }
  return "";
}

}  // namespace

std::uint32_t TokensToPrefill(const prompt_shape& prompt,
                              const engine_choice& choice) {
  return prompt.tokens -
         std::min(prompt.tokens, choice.cached_tokens + choice.fetched_tokens);
}

namespace {

// Time after which a report tells little of the requests that others have sent
// since.
constexpr milliseconds kReportMemory{500};

// Returns the prompt tokens of others' requests that are expected to wait at
// the target: those of the report less what it has prefilled since, but as many
// as at other targets the older the report is.
double OthersBacklog(const target_view& view, instant now) {
  const double reported = view.others_waiting * kBacklogTokensPerWaiting;
  if (view.mean_others_waiting < 0)
    return reported;
  const double age = ToSeconds(now - view.last_report.time);
  const double left = reported - age * view.prefill_tokens_per_second /
                                     SlowdownFactor(view, now);
  const double usual = view.mean_others_waiting * kBacklogTokensPerWaiting *
                       (1 - std::exp(-age / ToSeconds(kReportMemory)));
  return std::max(left, usual);
}

double PrefillBacklog(const target_view& view, instant now) {
  return view.own_prefill_backlog + view.zone_work.prefill_tokens +
         OthersBacklog(view, now) + InFlight(view) * kBacklogTokensPerRunning;
}

}  // namespace

namespace {

// Returns the option of the lowest cost, or of those that count as equal the
// one that ranks first for the prompt.
std::optional<engine_choice> PickOption(
    std::span<const target_view> targets,
    const engine_request& request,
    std::span<const engine_choice> options) {
  const auto cheapest =
      std::min_element(options.begin(), options.end(),
                       [](const engine_choice& a, const engine_choice& b) {
                         return a.cost < b.cost;
                       });
  if (cheapest == options.end())
    return std::nullopt;
  if (request.near_equal_share <= 0)
    return *cheapest;
  const duration limit =
      cheapest->cost +
      Scale(PrefillTime(targets[cheapest->target],
                        TokensToPrefill(request.prompt, *cheapest)),
            request.near_equal_share);
  const auto rank = [&](const engine_choice& option) {
    return RendezvousWeight(request.prompt.home_key,
                            targets[option.target].name_hash);
  };
  const engine_choice* best = &*cheapest;
  for (const engine_choice& option : options) {
    // A target that holds less of the prompt would become another replica.
    if (option.cost <= limit &&
        option.cached_tokens >= cheapest->cached_tokens &&
        rank(option) > rank(*best))
      best = &option;
  }
  return *best;
}

}  // namespace

std::optional<engine_choice> ChooseEngine(std::span<const target_view> targets,
                                          const cache_map& caches,
                                          const engine_request& request,
                                          instant now) {
  std::vector<std::uint32_t> usable;
  for (std::uint32_t i = 0; i < targets.size(); ++i) {
    const bool is_usable = request.ignore_backoff
                               ? IsUsableIgnoringBackoff(targets[i], now)
                               : IsUsable(targets[i], now);
    if (is_usable && targets[i].serves == request.service &&
        MayRunModel(targets[i], request.model, true) &&
        FitsStream(request.stream, targets[i], request.ignore_backoff))
      usable.push_back(i);
  }
  std::vector<version_state> versions =
      FindHolders(targets, caches, request, usable);
  std::vector<engine_choice> options;
  for (const std::uint32_t i : usable) {
    const target_view& view = targets[i];
    const version_state& state =
        FindOrAddVersion(versions, caches, request, view);
    engine_choice option;
    option.target = i;
    option.cached_tokens = CachedTokensAt(state, request, i, view.epoch);
    if (request.transfer_time_per_token > duration::zero())
      ChooseSource(state, view, option);
    option.store = state.store;
    const bool is_cross_zone =
        option.source && ZoneOf(targets, request, *option.source) != view.zone;
    const std::uint32_t prefill_tokens =
        TokensToPrefill(request.prompt, option);
    const duration prefill =
        PrefillTime(view, PrefillBacklog(view, now) + prefill_tokens);
    option.cost = view.added_cost + ModelCost(view, request.model) +
                  ErrorPenalty(view, now) +
                  Scale(prefill, SlowdownFactor(view, now)) +
                  request.transfer_time_per_token * option.fetched_tokens *
                      (is_cross_zone ? kCrossZoneFactor : 1);
    if (!IsHome(state, view, request))
      option.cost += kReplicationCostPerToken *
                     (request.prompt.shared_tokens - option.cached_tokens);
    const double needed = request.prompt.tokens + request.prompt.output_tokens;
    if (view.cache_capacity_tokens > 0 &&
        MemoryInUse(view, needed) + needed >
            kUsableMemoryShare * view.cache_capacity_tokens)
      option.cost += kMemoryFullPenalty;
    if (static_cast<int>(i) == request.failed_target)
      option.cost += kFailedTargetPenalty;
    options.push_back(option);
  }
  return PickOption(targets, request, options);
}

}  // namespace waxwing
