#include "waxwing/placement.h"

#include <algorithm>
#include <array>
#include <limits>

#include "waxwing/hash.h"

namespace waxwing {
namespace {

// Recomputing a token costs prefill time and also evicts another prefix.
constexpr double kRecomputeWeight = 2.0;
// Share of the prompt that is assumed to be cached at each home of an unknown
// prefix, best home first.
constexpr std::array<double, 3> kAssumedCachedShare = {0.5, 0.3, 0.15};
// The cached-token count of a response may fall short of the last checkpoint by
// one block.
constexpr std::uint32_t kTokenSlack = 32;

struct candidate {
  std::uint32_t target = 0;
  std::uint32_t cached_tokens = 0;
  instant last_used;
  double cost = std::numeric_limits<double>::infinity();
};

bool CanServe(const target_view& view,
              const placement_request& request,
              instant now) {
  const bool is_usable = request.ignore_backoff
                             ? IsUsableIgnoringBackoff(view, now)
                             : IsUsable(view, now);
  return is_usable && view.serves == request.serves &&
         (request.version.empty() || view.version == request.version) &&
         MayRunModel(view, request.model, false) &&
         FitsStream(request.stream, view, request.ignore_backoff);
}

// Fills `state.matches` with the matches that are still valid: the target has
// the same epoch and has probably not evicted the prefix yet.
void FindCurrentMatches(placement_state& state,
                        const placement_request& request,
                        instant now) {
  state.matches.clear();
  FindPrefixMatches(state.index, *request.chain, state.matches);
  std::erase_if(state.matches, [&](const prefix_match& match) {
    if (match.target >= state.targets.size())
      return true;
    const target_view& view = state.targets[match.target];
    return match.epoch != view.epoch ||
           now - match.last_used > view.eviction_horizon;
  });
}

// Returns the eligible targets with the largest rendezvous weights, best first,
// and -1 in place of missing ones.
std::array<int, kAssumedCachedShare.size()> FindHomes(
    const placement_state& state,
    const placement_request& request) {
  std::array<int, kAssumedCachedShare.size()> homes;
  std::array<std::uint64_t, kAssumedCachedShare.size()> weights{};
  homes.fill(-1);
  for (const std::uint32_t i : state.eligible) {
    int home = static_cast<int>(i);
    std::uint64_t weight =
        RendezvousWeight(request.chain->head, state.targets[i].name_hash);
    // Most targets rank below all homes found so far.
    if (homes.back() >= 0 && weight <= weights.back())
      continue;
    for (std::size_t rank = 0; rank < homes.size(); ++rank) {
      if (homes[rank] < 0 || weight > weights[rank]) {
        std::swap(homes[rank], home);
        std::swap(weights[rank], weight);
      }
    }
  }
  return homes;
}

std::uint32_t CachedTokensAt(const placement_state& state,
                             std::uint32_t target,
                             instant& last_used) {
  for (const prefix_match& match : state.matches) {
    if (match.target == target) {
      last_used = match.last_used;
      return match.tokens;
    }
  }
  return 0;
}

double CostOf(const placement_state& state,
              const placement_request& request,
              std::uint32_t target,
              double cached_tokens,
              instant now) {
  const target_view& view = state.targets[target];
  const int queued = target < state.queued_by_target.size()
                         ? state.queued_by_target[target]
                         : 0;
  const double uncached_tokens =
      std::max(0.0, request.chain->tokens - cached_tokens);
  double cost =
      ToSeconds(ExpectedWait(view, queued)) +
      ToSeconds(view.added_cost + ModelCost(view, request.model) +
                ErrorPenalty(view, now)) +
      kRecomputeWeight * uncached_tokens / view.prefill_tokens_per_second;
  // The target that has just failed is chosen only if there is no other.
  if (static_cast<int>(target) == request.failed_target)
    cost += 1e6;
  return cost;
}

// True if target `a` comes before `b` although both cost the same: fewer own
// requests in flight, then the one used longer ago; targets that have not been
// used yet come in random order.
bool PrecedesAmongEquals(const placement_state& state,
                         const placement_request& request,
                         std::uint32_t a,
                         std::uint32_t b) {
  const target_view& x = state.targets[a];
  const target_view& y = state.targets[b];
  if (x.own_in_flight != y.own_in_flight)
    return x.own_in_flight < y.own_in_flight;
  if (x.last_dispatch != y.last_dispatch)
    return x.last_dispatch < y.last_dispatch;
  return RendezvousWeight(request.random, x.name_hash) >
         RendezvousWeight(request.random, y.name_hash);
}

std::optional<placement> PlaceByCost(placement_state& state,
                                     const placement_request& request,
                                     bool use_homes,
                                     instant now) {
  FindCurrentMatches(state, request, now);
  state.eligible.clear();
  for (std::uint32_t i = 0; i < state.targets.size(); ++i) {
    if (CanServe(state.targets[i], request, now))
      state.eligible.push_back(i);
  }
  std::array<int, kAssumedCachedShare.size()> homes;
  homes.fill(-1);
  // Matches shorter than the head don't show where the head is cached.
  const bool head_is_known = std::any_of(
      state.matches.begin(), state.matches.end(), [&](const prefix_match& d) {
        return d.tokens >= request.chain->head_tokens;
      });
  if (use_homes && !head_is_known)
    homes = FindHomes(state, request);
  candidate best;
  bool found = false;
  for (const std::uint32_t i : state.eligible) {
    candidate option{i, 0, now};
    option.cached_tokens = CachedTokensAt(state, i, option.last_used);
    double assumed_cached = option.cached_tokens;
    for (std::size_t rank = 0; rank < homes.size(); ++rank) {
      if (homes[rank] == static_cast<int>(i))
        assumed_cached = std::max(
            assumed_cached, kAssumedCachedShare[rank] * request.chain->tokens);
    }
    option.cost = CostOf(state, request, i, assumed_cached, now);
    if (!found || option.cost < best.cost ||
        (option.cost == best.cost &&
         PrecedesAmongEquals(state, request, i, best.target)))
      best = option;
    found = true;
  }
  if (!found)
    return std::nullopt;
  return placement{best.target, best.cached_tokens, best.last_used,
                   HasCapacity(state.targets[best.target])};
}

// Scans the usable targets from `start` and returns the best one by `better`,
// the first of equals. The failed target is chosen only if there is no other.
template <typename Better>
std::optional<placement> PlaceByComparison(const placement_state& state,
                                           const placement_request& request,
                                           std::uint64_t start,
                                           instant now,
                                           Better better) {
  std::optional<std::uint32_t> best;
  const std::size_t count = state.targets.size();
  for (std::size_t step = 0; step < count; ++step) {
    const auto i = static_cast<std::uint32_t>((start + step) % count);
    const bool is_failed_target = static_cast<int>(i) == request.failed_target;
    if (!CanServe(state.targets[i], request, now) || is_failed_target)
      continue;
    if (!best || better(state.targets[i], state.targets[*best]))
      best = i;
  }
  if (!best && request.failed_target >= 0 &&
      CanServe(state.targets[static_cast<std::size_t>(request.failed_target)],
               request, now))
    best = static_cast<std::uint32_t>(request.failed_target);
  if (!best)
    return std::nullopt;
  return placement{*best, 0, now, HasCapacity(state.targets[*best])};
}

}  // namespace

std::optional<placement_policy> ParsePlacementPolicy(std::string_view name) {
  if (name == "homes-and-cost")
    return placement_policy::kHomesAndCost;
  if (name == "cost-only")
    return placement_policy::kCostOnly;
  if (name == "pure-hash")
    return placement_policy::kPureHash;
  if (name == "least-loaded")
    return placement_policy::kLeastLoaded;
  if (name == "round-robin")
    return placement_policy::kRoundRobin;
  if (name == "random")
    return placement_policy::kRandom;
  return std::nullopt;
}

std::optional<placement> Place(placement_state& state,
                               const placement_request& request,
                               instant now) {
  const auto keep_first = [](const target_view&, const target_view&) {
    return false;
  };
  switch (state.policy) {
    case placement_policy::kHomesAndCost:
      return PlaceByCost(state, request, true, now);
    case placement_policy::kCostOnly:
      return PlaceByCost(state, request, false, now);
    case placement_policy::kPureHash:
      return PlaceByComparison(
          state, request, 0, now,
          [&](const target_view& a, const target_view& b) {
            return RendezvousWeight(request.chain->head, a.name_hash) >
                   RendezvousWeight(request.chain->head, b.name_hash);
          });
    case placement_policy::kLeastLoaded:
      return PlaceByComparison(state, request, request.random, now,
                               [](const target_view& a, const target_view& b) {
                                 return InFlight(a) < InFlight(b);
                               });
    case placement_policy::kRoundRobin:
      return PlaceByComparison(state, request, state.next_round_robin++, now,
                               keep_first);
    case placement_policy::kRandom:
      return PlaceByComparison(state, request, request.random, now, keep_first);
  }
  return std::nullopt;
}

void RecordDispatch(placement_state& state,
                    const placement& chosen,
                    std::uint32_t uncached_tokens) {
  state.targets[chosen.target].last_dispatch = ++state.dispatches;
  target_view& view = state.targets[chosen.target];
  ++view.own_in_flight;
  view.own_prefill_backlog += uncached_tokens;
}

void RecordPrefilled(placement_state& state,
                     const placement& chosen,
                     std::uint32_t uncached_tokens) {
  target_view& view = state.targets[chosen.target];
  view.own_prefill_backlog =
      std::max(0.0, view.own_prefill_backlog - uncached_tokens);
}

void RecordFinished(placement_state& state, const placement& chosen) {
  target_view& view = state.targets[chosen.target];
  view.own_in_flight = std::max(0, view.own_in_flight - 1);
}

void UpdateFromResponse(placement_state& state,
                        const placement& chosen,
                        std::uint32_t epoch,
                        const prefix_chain& chain,
                        std::uint32_t cached_tokens,
                        instant now) {
  target_view& view = state.targets[chosen.target];
  if (epoch != view.epoch)
    return;
  if (chosen.cached_tokens > 0) {
    const bool was_cached = cached_tokens + kTokenSlack >= chosen.cached_tokens;
    UpdateEvictionHorizon(view, now - chosen.cache_last_used, was_cached);
  }
  // The target has prefilled the whole prompt by now.
  RecordUse(state.index, chain, chain.tokens, chosen.target, epoch, now);
}

}  // namespace waxwing
