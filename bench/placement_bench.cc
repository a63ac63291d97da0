// Compares placement policies on the same traces: prefix hit rate, wasted
// recomputation, the effect of a restart, and the time of one decision.
//
// A trace is replayed in virtual time against one block cache of the stand-in
// engine per target, with a simple model of prefill and slots. Several routers
// share the load as the directory of entries would distribute it, and learn of
// each other's work only from reports every half second.

#include <algorithm>
#include <cstdio>
#include <queue>
#include <string>
#include <vector>

#include "standin/block_cache.h"
#include "standin/trace.h"
#include "waxwing/hash.h"
#include "waxwing/placement.h"

namespace {

using namespace waxwing;

constexpr int kRouters = 7;
constexpr duration kReportPeriod = milliseconds(500);
constexpr duration kTokenInterval = milliseconds(20);
constexpr double kPrefillRate = 20'000;
constexpr int kSlots = 8;

struct replay_options {
  standin::deployment shape = standin::deployment::kVannbrudd;
  placement_policy policy = placement_policy::kHomesAndCost;
  // Places by the true contents of the caches instead of by the routers' view.
  bool omniscient = false;
  bool restart_halfway = false;
  int targets = 10;
  double requests_per_second = 60;
  std::size_t cache_blocks = 1'200;
};

struct replay_result {
  double prompt_tokens = 0;
  double cached_tokens = 0;
  // Recomputed although another target had them cached.
  double wasted_tokens = 0;
  // Cached and total tokens in the ten seconds before and after the restart.
  double before[2] = {0, 0};
  double after[2] = {0, 0};
};

struct completion {
  instant at;
  int router;
  placement chosen;

  bool operator<(const completion& other) const { return at > other.at; }
};

struct replay {
  replay_options options;
  std::vector<standin::block_cache> caches;
  std::vector<instant> prefill_free_at;
  std::vector<std::vector<instant>> slot_free_at;
  std::vector<int> in_flight;
  std::vector<placement_state> routers;
  std::priority_queue<completion> completions;
  instant next_report{};
  std::uint64_t random = 1;
};

placement_state MakeRouter(const replay_options& options) {
  placement_state state;
  state.policy = options.policy;
  for (int i = 0; i < options.targets; ++i) {
    target_view view;
    view.name = "engine-" + std::to_string(i);
    view.name_hash = Hash64(view.name);
    view.serves = "model";
    view.version = "v1";
    view.boot_id = 1;
    view.slots = kSlots;
    view.prefill_tokens_per_second = kPrefillRate;
    state.targets.push_back(view);
  }
  return state;
}

void Advance(replay& r, instant now) {
  while (!r.completions.empty() && r.completions.top().at <= now) {
    const completion done = r.completions.top();
    r.completions.pop();
    RecordFinished(r.routers[static_cast<std::size_t>(done.router)],
                   done.chosen);
    --r.in_flight[done.chosen.target];
  }
  if (now < r.next_report)
    return;
  r.next_report = now + kReportPeriod;
  for (placement_state& state : r.routers) {
    for (std::size_t i = 0; i < state.targets.size(); ++i) {
      target_view& view = state.targets[i];
      view.others_in_flight = std::max(0, r.in_flight[i] - view.own_in_flight);
    }
  }
}

// Returns the target with the lowest true cost.
placement PlaceByTrueCaches(const replay& r,
                            std::span<const std::uint64_t> blocks,
                            double tokens,
                            instant now) {
  placement best;
  double best_cost = 1e18;
  for (std::size_t i = 0; i < r.caches.size(); ++i) {
    const double cached = static_cast<double>(
        standin::CachedBlocks(r.caches[i], blocks) * standin::kTokensPerBlock);
    const instant slot =
        *std::min_element(r.slot_free_at[i].begin(), r.slot_free_at[i].end());
    const double wait =
        std::max(0.0, ToSeconds(std::max(slot, r.prefill_free_at[i]) - now));
    const double cost = wait + 2 * (tokens - cached) / kPrefillRate;
    if (cost < best_cost) {
      best_cost = cost;
      best.target = static_cast<std::uint32_t>(i);
    }
  }
  return best;
}

// Runs one request on its target; returns the true number of cached tokens.
double RunOnTarget(replay& r,
                   int router,
                   const placement& chosen,
                   std::span<const std::uint64_t> blocks,
                   double tokens,
                   int answer_tokens,
                   instant now) {
  const std::size_t target = chosen.target;
  const double cached =
      static_cast<double>(standin::CachedBlocks(r.caches[target], blocks) *
                          standin::kTokensPerBlock);
  std::vector<std::uint64_t> stored;
  std::vector<std::uint64_t> evicted;
  standin::UseBlocks(r.caches[target], blocks, stored, evicted);
  auto slot = std::min_element(r.slot_free_at[target].begin(),
                               r.slot_free_at[target].end());
  const instant start = std::max({now, *slot, r.prefill_free_at[target]});
  r.prefill_free_at[target] =
      start + FromSeconds((tokens - cached) / kPrefillRate);
  *slot = r.prefill_free_at[target] + kTokenInterval * answer_tokens;
  ++r.in_flight[target];
  r.completions.push({*slot, router, chosen});
  return cached;
}

void AddResult(replay_result& out, double tokens, double cached, double best) {
  out.prompt_tokens += tokens;
  out.cached_tokens += cached;
  out.wasted_tokens += std::max(0.0, best - cached);
}

double BestCached(const replay& r, std::span<const std::uint64_t> blocks) {
  std::size_t best = 0;
  for (const standin::block_cache& cache : r.caches)
    best = std::max(best, standin::CachedBlocks(cache, blocks));
  return static_cast<double>(best * standin::kTokensPerBlock);
}

replay_result Replay(const replay_options& options) {
  standin::trace_options trace;
  trace.shape = options.shape;
  trace.requests_per_second = options.requests_per_second;
  trace.length = seconds(60);
  trace.service_share = 0;
  const auto requests = standin::MakeTrace(trace);
  const auto count = static_cast<std::size_t>(options.targets);
  replay r;
  r.options = options;
  r.caches.assign(count, {options.cache_blocks, {}, {}});
  r.prefill_free_at.assign(count, instant{});
  r.slot_free_at.assign(count, std::vector<instant>(kSlots, instant{}));
  r.in_flight.assign(count, 0);
  for (int i = 0; i < kRouters; ++i)
    r.routers.push_back(MakeRouter(options));
  replay_result out;
  const instant halfway = instant{} + trace.length / 2;
  bool restarted = !options.restart_halfway;
  for (const standin::trace_request& request : requests) {
    const instant now = instant{} + request.at;
    Advance(r, now);
    if (!restarted && now >= halfway) {
      restarted = true;
      for (placement_state& state : r.routers) {
        placement_state restarted_state = MakeRouter(options);
        for (std::size_t i = 0; i < count; ++i)
          restarted_state.targets[i].own_in_flight =
              state.targets[i].own_in_flight;
        state = std::move(restarted_state);
      }
    }
    const std::string text = PromptText(request.messages);
    const auto blocks = standin::BlockHashes(text, Hash64(request.account));
    const prefix_chain chain =
        ComputePrefix({request.account, "model", "v1", ""}, request.messages);
    r.random = CombineHashes(r.random, 1);
    // The requests of each account are spread over two routers.
    const int router =
        static_cast<int>((Hash64(request.account) + r.random % 2) % kRouters);
    placement_state& state = r.routers[static_cast<std::size_t>(router)];
    const placement_request to_place{&chain, "model", "v1", -1, r.random};
    const placement chosen =
        options.omniscient ? PlaceByTrueCaches(r, blocks, chain.tokens, now)
                           : Place(state, to_place, now).value_or(placement{});
    const double best = BestCached(r, blocks);
    RecordDispatch(state, chosen, 0);
    const double cached = RunOnTarget(r, router, chosen, blocks, chain.tokens,
                                      request.completion_tokens, now);
    UpdateFromResponse(state, chosen, 1, chain,
                       static_cast<std::uint32_t>(cached), now);
    AddResult(out, chain.tokens, cached, best);
    if (now >= halfway - seconds(10) && now < halfway) {
      out.before[0] += cached;
      out.before[1] += chain.tokens;
    } else if (now >= halfway && now < halfway + seconds(10)) {
      out.after[0] += cached;
      out.after[1] += chain.tokens;
    }
  }
  return out;
}

replay_options ShapeOptions(standin::deployment shape) {
  replay_options out;
  out.shape = shape;
  if (shape == standin::deployment::kErgastirio) {
    out.targets = 20;
    out.requests_per_second = 50;
    out.cache_blocks = 4'000;
  }
  return out;
}

double HitRate(const replay_result& result) {
  return result.cached_tokens / result.prompt_tokens;
}

void MeasureShape(standin::deployment shape, const char* suffix) {
  struct named_policy {
    const char* name;
    placement_policy policy;
  };
  constexpr named_policy kPolicies[] = {
      {"homes_and_cost", placement_policy::kHomesAndCost},
      {"cost_only", placement_policy::kCostOnly},
      {"pure_hash", placement_policy::kPureHash},
      {"least_loaded", placement_policy::kLeastLoaded},
      {"round_robin", placement_policy::kRoundRobin},
      {"random", placement_policy::kRandom}};
  double chosen_rate = 0;
  double round_robin_rate = 0;
  for (const named_policy& each : kPolicies) {
    replay_options options = ShapeOptions(shape);
    options.policy = each.policy;
    const replay_result result = Replay(options);
    std::printf("hit_rate_%s_%s=%.4f\n", each.name, suffix, HitRate(result));
    std::printf("wasted_share_%s_%s=%.4f\n", each.name, suffix,
                result.wasted_tokens / result.prompt_tokens);
    if (each.policy == placement_policy::kHomesAndCost) {
      chosen_rate = HitRate(result);
      std::printf("wasted_prompt_share_%s=%.4f\n", suffix,
                  result.wasted_tokens / result.prompt_tokens);
    } else if (each.policy == placement_policy::kRoundRobin) {
      round_robin_rate = HitRate(result);
    }
  }
  replay_options omniscient = ShapeOptions(shape);
  omniscient.omniscient = true;
  const double omniscient_rate = HitRate(Replay(omniscient));
  std::printf("hit_rate_omniscient_%s=%.4f\n", suffix, omniscient_rate);
  std::printf("hit_rate_vs_round_robin_%s=%.3f\n", suffix,
              chosen_rate / round_robin_rate);
  std::printf("hit_rate_vs_omniscient_%s=%.3f\n", suffix,
              chosen_rate / omniscient_rate);
  replay_options restart = ShapeOptions(shape);
  const replay_result steady = Replay(restart);
  restart.restart_halfway = true;
  const replay_result restarted = Replay(restart);
  // The hot contexts change at the same moment; the run without a restart shows
  // the cost of that change alone.
  std::printf("restart_hit_rate_ratio_%s=%.3f\n", suffix,
              (restarted.after[0] / restarted.after[1]) /
                  (steady.after[0] / steady.after[1]));
  std::printf("restart_hit_rate_before_%s=%.4f\n", suffix,
              restarted.before[0] / restarted.before[1]);
  std::printf("restart_hit_rate_after_%s=%.4f\n", suffix,
              restarted.after[0] / restarted.after[1]);
}

// Measures the mean time of one decision with a filled index.
void MeasureDecision() {
  constexpr int kTargets = 100;
  constexpr int kPrefixes = 100'000;
  constexpr int kDecisions = 20'000;
  replay_options options;
  options.targets = kTargets;
  placement_state state = MakeRouter(options);
  std::vector<prefix_chain> chains;
  for (int i = 0; i < kDecisions; ++i) {
    prefix_chain chain;
    for (std::uint32_t point = 0; point < 12; ++point)
      chain.checkpoints.push_back(
          {CombineHashes(static_cast<std::uint64_t>(i), point),
           (point + 1) * 256});
    chain.head = chain.checkpoints[2].hash;
    chain.head_tokens = chain.checkpoints[2].tokens;
    chain.tokens = 12 * 256;
    chains.push_back(chain);
  }
  for (int i = 0; i < kPrefixes / 12; ++i)
    RecordUse(state.index, chains[static_cast<std::size_t>(i)], 12 * 256,
              static_cast<std::uint32_t>(i % kTargets), 1, instant{});
  std::uint32_t sum = 0;
  const auto start = std::chrono::steady_clock::now();
  for (const prefix_chain& chain : chains) {
    const placement_request to_place{&chain, "model", "v1", -1, 0};
    sum += Place(state, to_place, instant{})->target;
  }
  const auto time = std::chrono::steady_clock::now() - start;
  std::printf("placement_prefix_entries=%zu\n", SizeOf(state.index));
  std::printf("placement_decision_us=%.3f\n",
              ToSeconds(time) * 1e6 / kDecisions);
  if (sum == 0)
    std::printf("placement_sum=0\n");
}

}  // namespace

int main() {
  MeasureShape(standin::deployment::kVannbrudd, "vannbrudd");
  MeasureShape(standin::deployment::kErgastirio, "ergastirio");
  MeasureDecision();
  return 0;
}
