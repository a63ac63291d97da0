#include "waxwing/engine_choice.h"

#include <algorithm>

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

// A target, or the cache store, that has a prefix of the prompt cached.
struct cache_replica {
  std::uint32_t target = 0;
  std::uint32_t cached_tokens = 0;
  std::string_view version;
  std::string_view zone;
};

duration PrefillTime(const target_view& view, double tokens) {
  return FromSeconds(tokens / view.prefill_tokens_per_second);
}

double MemoryInUse(const target_view& view, double tokens_per_request) {
  return view.own_cache_tokens + view.others_in_flight * tokens_per_request;
}

// True if no usable target of the same weights version has a larger rendezvous
// weight for the prompt. Targets with a pending load are not compared.
bool IsHome(std::span<const target_view> targets,
            std::span<const std::uint32_t> usable,
            std::uint32_t candidate,
            std::uint64_t key) {
  const target_view& view = targets[candidate];
  const std::uint64_t weight = RendezvousWeight(key, view.name_hash);
  return std::none_of(usable.begin(), usable.end(), [&](std::uint32_t i) {
    return targets[i].version == view.version && !targets[i].is_load_pending &&
           RendezvousWeight(key, targets[i].name_hash) > weight;
  });
}

// Chooses the source of the tokens that `candidate` lacks among the replicas,
// the store included: the most cached tokens, then the same zone.
void ChooseSource(std::span<const cache_replica> replicas,
                  const target_view& view,
                  std::uint32_t candidate,
                  engine_choice& choice) {
  std::uint32_t best_cached_tokens = choice.cached_tokens;
  bool best_is_same_zone = false;
  for (const cache_replica& replica : replicas) {
    const bool is_same_zone = replica.zone == view.zone;
    const bool is_better =
        replica.cached_tokens > best_cached_tokens ||
        (replica.cached_tokens == best_cached_tokens && choice.source &&
         is_same_zone && !best_is_same_zone);
    if (replica.target == candidate || replica.version != view.version ||
        !is_better ||
        replica.cached_tokens < choice.cached_tokens + kMinTransferTokens)
      continue;
    best_cached_tokens = replica.cached_tokens;
    best_is_same_zone = is_same_zone;
    choice.source = replica.target;
  }
  choice.fetched_tokens = best_cached_tokens - choice.cached_tokens;
}

}  // namespace

std::uint32_t TokensToPrefill(const prompt_shape& prompt,
                              const engine_choice& choice) {
  return prompt.tokens -
         std::min(prompt.tokens, choice.cached_tokens + choice.fetched_tokens);
}

std::optional<engine_choice> ChooseEngine(std::span<const target_view> targets,
                                          const cache_map& caches,
                                          const engine_request& request,
                                          instant now) {
  std::vector<std::uint32_t> usable;
  for (std::uint32_t i = 0; i < targets.size(); ++i) {
    const bool is_usable = request.ignore_backoff
                               ? IsUsableIgnoringBackoff(targets[i])
                               : IsUsable(targets[i], now);
    if (is_usable && targets[i].serves == request.service)
      usable.push_back(i);
  }
  std::vector<cache_replica> replicas;
  std::vector<std::uint32_t> cached_tokens(usable.size(), 0);
  for (std::size_t n = 0; n < usable.size(); ++n) {
    const target_view& view = targets[usable[n]];
    cached_tokens[n] =
        std::min(request.prompt.shared_tokens,
                 CachedPrefixTokens(caches, request.segments_at(view),
                                    usable[n], view.epoch));
    if (cached_tokens[n] > 0)
      replicas.push_back(
          {usable[n], cached_tokens[n], view.version, view.zone});
    if (!request.has_cache_store)
      continue;
    const bool is_known = std::any_of(
        replicas.begin(), replicas.end(), [&](const cache_replica& other) {
          return other.target == kCacheStore && other.version == view.version;
        });
    const std::uint32_t stored =
        is_known ? 0
                 : CachedPrefixTokens(caches, request.segments_at(view),
                                      kCacheStore, 0);
    if (stored > 0)
      replicas.push_back({kCacheStore,
                          std::min(stored, request.prompt.shared_tokens),
                          view.version, ""});
  }
  std::optional<engine_choice> best;
  for (std::size_t n = 0; n < usable.size(); ++n) {
    const std::uint32_t i = usable[n];
    const target_view& view = targets[i];
    engine_choice option;
    option.target = i;
    option.cached_tokens = cached_tokens[n];
    if (request.transfer_time_per_token > duration::zero())
      ChooseSource(replicas, view, i, option);
    const bool is_cross_zone =
        option.source && (*option.source == kCacheStore ||
                          targets[*option.source].zone != view.zone);
    const std::uint32_t prefill_tokens =
        TokensToPrefill(request.prompt, option);
    const double backlog = view.own_prefill_backlog +
                           view.others_waiting * kBacklogTokensPerWaiting +
                           InFlight(view) * kBacklogTokensPerRunning;
    option.cost = view.added_cost +
                  PrefillTime(view, backlog + prefill_tokens) +
                  request.transfer_time_per_token * option.fetched_tokens *
                      (is_cross_zone ? kCrossZoneFactor : 1);
    if (!IsHome(targets, usable, i, request.prompt.home_key))
      option.cost += kReplicationCostPerToken *
                     (request.prompt.shared_tokens - option.cached_tokens);
    const double needed = request.prompt.tokens + request.prompt.output_tokens;
    if (view.cache_capacity_tokens > 0 &&
        MemoryInUse(view, needed) + needed >
            kUsableMemoryShare * view.cache_capacity_tokens)
      option.cost += kMemoryFullPenalty;
    if (static_cast<int>(i) == request.failed_target)
      option.cost += kFailedTargetPenalty;
    if (!best || option.cost < best->cost)
      best = option;
  }
  return best;
}

}  // namespace waxwing
