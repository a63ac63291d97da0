#include "waxwing/engine_choice.h"

#include <algorithm>

#include "waxwing/hash.h"

namespace waxwing {
namespace {

// Prompt tokens that a waiting request of another VM still has to have read, on
// average, and what a running one costs the next prompt.
constexpr double kBacklogPerWaiting = 2'500;
constexpr double kBacklogPerRunning = 30;
// What a second copy of a shared token costs: it pushes another prefix out.
constexpr std::chrono::nanoseconds kCopyPerToken{10'000};
// Transfers between zones take this much longer.
constexpr int kOtherZoneFactor = 2;
// Fewer tokens than this are not worth a transfer.
constexpr std::uint32_t kFewestMoved = 64;
// Cost of a target whose memory is expected to be full, so that it would have
// to put other runs back.
constexpr milliseconds kMemoryFull{1'000};
constexpr double kMemoryShare = 0.9;
// The target that has just failed is taken only if there is no other.
constexpr seconds kJustFailed{1'000};

struct holder_of_prefix {
  std::uint32_t target = 0;
  std::uint32_t held = 0;
  std::string_view version;
  std::string_view zone;
};

duration ReadingTime(const target_view& view, double tokens) {
  return FromSeconds(tokens / view.prefill_tokens_per_second);
}

double MemoryInUse(const target_view& view, double mean_tokens) {
  return view.own_cache_tokens + view.others_in_flight * mean_tokens;
}

// The target with the largest rendezvous weight for the prompt, by version.
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

// The best source of what `candidate` lacks, among holders and the store.
void ChooseSource(std::span<const holder_of_prefix> holders,
                  const target_view& view,
                  std::uint32_t candidate,
                  engine_choice& choice) {
  std::uint32_t best_held = choice.held;
  bool best_is_near = false;
  for (const holder_of_prefix& holder : holders) {
    const bool is_near = holder.zone == view.zone;
    const bool is_better =
        holder.held > best_held ||
        (holder.held == best_held && choice.source && is_near && !best_is_near);
    if (holder.target == candidate || holder.version != view.version ||
        !is_better || holder.held < choice.held + kFewestMoved)
      continue;
    best_held = holder.held;
    best_is_near = is_near;
    choice.source = holder.target;
  }
  choice.fetched = best_held - choice.held;
}

}  // namespace

std::uint32_t TokensToRead(const prompt_shape& prompt,
                           const engine_choice& choice) {
  return prompt.tokens - std::min(prompt.tokens, choice.held + choice.fetched);
}

std::optional<engine_choice> ChooseEngine(std::span<const target_view> targets,
                                          const cache_map& caches,
                                          const engine_request& request,
                                          instant now) {
  std::vector<std::uint32_t> usable;
  for (std::uint32_t i = 0; i < targets.size(); ++i) {
    const bool is_usable = request.is_last_resort
                               ? IsUsableIgnoringBackoff(targets[i])
                               : IsUsable(targets[i], now);
    if (is_usable && targets[i].serves == request.service)
      usable.push_back(i);
  }
  std::vector<holder_of_prefix> holders;
  std::vector<std::uint32_t> held(usable.size(), 0);
  for (std::size_t n = 0; n < usable.size(); ++n) {
    const target_view& view = targets[usable[n]];
    held[n] = std::min(
        request.prompt.shared_tokens,
        HeldTokens(caches, request.parts_at(view), usable[n], view.epoch));
    if (held[n] > 0)
      holders.push_back({usable[n], held[n], view.version, view.zone});
    if (!request.has_store)
      continue;
    const bool is_known = std::any_of(
        holders.begin(), holders.end(), [&](const holder_of_prefix& other) {
          return other.target == kCacheStore && other.version == view.version;
        });
    const std::uint32_t stored =
        is_known ? 0
                 : HeldTokens(caches, request.parts_at(view), kCacheStore, 0);
    if (stored > 0)
      holders.push_back({kCacheStore,
                         std::min(stored, request.prompt.shared_tokens),
                         view.version, ""});
  }
  std::optional<engine_choice> best;
  for (std::size_t n = 0; n < usable.size(); ++n) {
    const std::uint32_t i = usable[n];
    const target_view& view = targets[i];
    engine_choice option;
    option.target = i;
    option.held = held[n];
    if (request.move_per_token > duration::zero())
      ChooseSource(holders, view, i, option);
    const bool is_far =
        option.source && (*option.source == kCacheStore ||
                          targets[*option.source].zone != view.zone);
    const std::uint32_t read = TokensToRead(request.prompt, option);
    const double backlog = view.own_prefill_backlog +
                           view.others_waiting * kBacklogPerWaiting +
                           InFlight(view) * kBacklogPerRunning;
    option.cost = view.added_cost + ReadingTime(view, backlog + read) +
                  request.move_per_token * option.fetched *
                      (is_far ? kOtherZoneFactor : 1);
    if (!IsHome(targets, usable, i, request.prompt.home_key))
      option.cost +=
          kCopyPerToken * (request.prompt.shared_tokens - option.held);
    const double needed = request.prompt.tokens + request.prompt.output_tokens;
    if (view.cache_capacity_tokens > 0 &&
        MemoryInUse(view, needed) + needed >
            kMemoryShare * view.cache_capacity_tokens)
      option.cost += kMemoryFull;
    if (static_cast<int>(i) == request.avoid)
      option.cost += kJustFailed;
    if (!best || option.cost < best->cost)
      best = option;
  }
  return best;
}

}  // namespace waxwing
