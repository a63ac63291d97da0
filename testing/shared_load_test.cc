// Tests of the load that VMs of a zone share. The simulation plays prompts of
// many VMs to engines of uneven speed, with the product's own choice of engine.

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <random>
#include <vector>

#include "waxwing/engine_choice.h"
#include "waxwing/hash.h"
#include "waxwing/shared_load.h"

namespace waxwing {
namespace {

constexpr double kTokensPerSecond = 57'000;
// Times that work takes at the engines, relative to the usual one.
constexpr std::array<double, 3> kSpeeds = {0.6, 1.0, 1.6};
constexpr milliseconds kTick{5};
constexpr std::uint64_t kPromptTokens = 4'000;

struct prompt {
  std::size_t vm = 0;
  double tokens = 0;
  instant sent;
};

struct engine {
  // Time that its work takes, relative to the usual one.
  double slowness = 1;
  std::deque<prompt> queue;
  double done_tokens = 0;
};

enum class knowledge { kOwnOnly, kShared, kComplete };

struct scenario {
  std::size_t zones = 3;
  std::size_t vms_per_zone = 8;
  std::size_t engines = 60;
  // Share of the engines' capacity that is asked for.
  double load = 0.6;
  std::uint64_t seed = 1;
  knowledge known = knowledge::kShared;
  // Batches that are lost.
  double loss = 0;
};

struct result {
  // Times to the first byte, in ms.
  std::vector<double> waits;
  // Prefilled tokens, by engine, times its slowness.
  std::vector<double> work;

  double Quantile(double q) {
    std::sort(waits.begin(), waits.end());
    return waits[static_cast<std::size_t>(
        q * static_cast<double>(waits.size() - 1))];
  }
  // The largest of the ratios over the targets of each speed.
  double BusiestToMean() const {
    double out = 0;
    for (std::size_t speed = 0; speed < kSpeeds.size(); ++speed) {
      double sum = 0;
      double most = 0;
      double count = 0;
      for (std::size_t i = speed; i < work.size(); i += kSpeeds.size()) {
        sum += work[i];
        most = std::max(most, work[i]);
        count += 1;
      }
      out = std::max(out, most / (sum / count));
    }
    return out;
  }
};

struct simulated_vm {
  std::vector<target_view> views;
  shared_load shared;
};

struct simulation {
  scenario s;
  std::mt19937_64 random{s.seed};
  instant now = instant{} + seconds(100);
  std::vector<engine> engines{s.engines};
  std::vector<simulated_vm> vms;
  cache_map caches;
  result out;

  explicit simulation(const scenario& chosen) : s(chosen) {
    const std::size_t count =
        s.known == knowledge::kComplete ? 1 : s.zones * s.vms_per_zone;
    vms.resize(count);
    out.work.resize(s.engines);
    for (std::size_t i = 0; i < s.engines; ++i)
      engines[i].slowness = kSpeeds[i % kSpeeds.size()];
    for (simulated_vm& vm : vms) {
      vm.shared.sequence = 1;
      for (std::size_t i = 0; i < s.engines; ++i) {
        target_view view;
        view.name = "e" + std::to_string(i);
        view.name_hash = Hash64(view.name);
        view.serves = "llm";
        view.version = "1";
        view.zone = "z" + std::to_string(i % s.zones);
        view.slots = 64;
        view.prefill_tokens_per_second = kTokensPerSecond;
        vm.views.push_back(std::move(view));
      }
    }
  }

  std::size_t PickVm() {
    return std::uniform_int_distribution<std::size_t>(0,
                                                      vms.size() - 1)(random);
  }
  std::size_t ZoneOf(std::size_t vm) const { return vm / s.vms_per_zone; }

  void Send() {
    const std::size_t at = PickVm();
    simulated_vm& vm = vms[at];
    engine_request request;
    request.service = "llm";
    request.prompt = {kPromptTokens, 0, random(), 7};
    request.segments_at = [](const target_view&) {
      return std::span<const cached_segment>();
    };
    if (s.known == knowledge::kShared)
      request.near_equal_share = kNearEqualShare;
    const auto chosen = ChooseEngine(vm.views, caches, request, now);
    ASSERT_TRUE(chosen);
    target_view& view = vm.views[chosen->target];
    ++view.own_in_flight;
    view.own_prefill_backlog += kPromptTokens;
    ++view.awaiting_response;
    engines[chosen->target].queue.push_back({at, kPromptTokens, now});
  }

  // The engine has prefilled its first prompt and states its load.
  void Respond(std::size_t index) {
    engine& e = engines[index];
    const prompt first = e.queue.front();
    e.queue.pop_front();
    out.waits.push_back(ToSeconds(now - first.sent) * 1'000);
    out.work[index] += first.tokens * e.slowness;
    simulated_vm& vm = vms[first.vm];
    target_view& view = vm.views[index];
    --view.own_in_flight;
    view.own_prefill_backlog -= first.tokens;
    --view.awaiting_response;
    const int left = static_cast<int>(e.queue.size());
    RecordLoad(view, {left, std::max(0, left - 1),
                      s.known == knowledge::kOwnOnly ? 0 : e.slowness, now});
    view.has_load_news = true;
  }

  void RunEngines(duration length) {
    for (std::size_t i = 0; i < engines.size(); ++i) {
      engine& e = engines[i];
      e.done_tokens += kTokensPerSecond / e.slowness * ToSeconds(length);
      while (!e.queue.empty() && e.done_tokens >= e.queue.front().tokens) {
        e.done_tokens -= e.queue.front().tokens;
        Respond(i);
      }
      if (e.queue.empty())
        e.done_tokens = 0;
    }
  }

  void Share() {
    for (std::size_t from = 0; from < vms.size(); ++from) {
      AgeSharedLoad(vms[from].shared, vms[from].views, now);
      const load_batch batch =
          CollectBatch(vms[from].shared, vms[from].views, now);
      if (batch.sequence == 0)
        continue;
      for (std::size_t to = 0; to < vms.size(); ++to) {
        const bool is_lost = std::bernoulli_distribution(s.loss)(random);
        if (to != from && ZoneOf(to) == ZoneOf(from) && !is_lost)
          ApplyBatch(vms[to].shared, "vm-" + std::to_string(from), batch,
                     vms[to].views, now);
      }
    }
  }

  result Run(duration length) {
    double capacity = 0;
    for (const engine& e : engines)
      capacity += kTokensPerSecond / e.slowness;
    std::poisson_distribution<int> arrivals(s.load * capacity *
                                            ToSeconds(kTick) / kPromptTokens);
    const instant end = now + length;
    instant next_share = now;
    while (now < end) {
      now += kTick;
      RunEngines(kTick);
      for (int i = arrivals(random); i > 0; --i)
        Send();
      if (s.known == knowledge::kShared && now >= next_share) {
        for (simulated_vm& vm : vms)
          UpdateMeanLoads(vm.views);
        Share();
        next_share = now + kLoadBatchInterval;
      }
    }
    return out;
  }
};

result Play(scenario s, knowledge known) {
  s.known = known;
  simulation played(s);
  return played.Run(seconds(12));
}

// What each VM knows by itself is old, so that all choose the same targets.
TEST(SharedLoad, WaitsAreAThirdOfThoseWithoutSharing) {
  for (const std::size_t vms_per_zone : {8, 25}) {
    for (const double load : {0.5, 0.75}) {
      for (const std::uint64_t seed : {1, 2, 3}) {
        scenario s{3, vms_per_zone, 60, load, seed};
        const double own = Play(s, knowledge::kOwnOnly).Quantile(0.99);
        EXPECT_LE(Play(s, knowledge::kShared).Quantile(0.99), 0.33 * own)
            << vms_per_zone << " VMs a zone, load " << load;
      }
    }
  }
}

TEST(SharedLoad, WaitsAreNearThoseOfOneVmThatKnowsAll) {
  for (const std::size_t vms_per_zone : {8, 25}) {
    for (const double load : {0.5, 0.75}) {
      scenario s{3, vms_per_zone, 60, load};
      result shared = Play(s, knowledge::kShared);
      const double complete = Play(s, knowledge::kComplete).Quantile(0.99);
      EXPECT_LE(shared.Quantile(0.99), 1.3 * complete)
          << vms_per_zone << " VMs a zone, load " << load;
      EXPECT_LE(shared.BusiestToMean(), 1.3)
          << vms_per_zone << " VMs a zone, load " << load;
    }
  }
}

TEST(SharedLoad, LostBatchesDoLittleHarm) {
  for (const double load : {0.5, 0.75}) {
    scenario s{3, 8, 60, load};
    const double without = Play(s, knowledge::kShared).Quantile(0.99);
    s.loss = 0.2;
    EXPECT_LE(Play(s, knowledge::kShared).Quantile(0.99), 1.3 * without);
  }
}

// Two VMs of a zone and one target.
struct pair_of_vms {
  std::vector<target_view> sender{1};
  std::vector<target_view> receiver{1};
  shared_load from;
  shared_load to;
  instant now = instant{} + seconds(100);

  pair_of_vms() {
    for (target_view* view : {&sender[0], &receiver[0]}) {
      view->name = "e0";
      view->name_hash = Hash64("e0");
    }
    sender[0].own_in_flight = 3;
    sender[0].own_prefill_backlog = 9'000;
  }
  load_batch Collect() { return CollectBatch(from, sender, now); }
  bool Apply(const load_batch& batch) {
    return ApplyBatch(to, "vm-1", batch, receiver, now);
  }
};

TEST(SharedLoad, WorkOfOtherVmsIsAddedAndTakenAway) {
  pair_of_vms p;
  EXPECT_TRUE(p.Apply(p.Collect()));
  EXPECT_EQ(InFlight(p.receiver[0]), 3);
  EXPECT_EQ(p.receiver[0].zone_work.prefill_tokens, 9'000);
  p.sender[0].own_in_flight = 0;
  p.sender[0].own_prefill_backlog = 0;
  EXPECT_TRUE(p.Apply(p.Collect()));
  EXPECT_EQ(p.receiver[0].zone_work, outstanding_work());
  EXPECT_EQ(p.Collect().sequence, 0u);
}

TEST(SharedLoad, DoubledAndLateBatchesAreIgnored) {
  pair_of_vms p;
  const load_batch first = p.Collect();
  p.sender[0].own_in_flight = 5;
  const load_batch second = p.Collect();
  EXPECT_TRUE(p.Apply(first));
  EXPECT_TRUE(p.Apply(second));
  EXPECT_FALSE(p.Apply(first));
  EXPECT_FALSE(p.Apply(second));
  EXPECT_EQ(InFlight(p.receiver[0]), 5);
}

TEST(SharedLoad, LostBatchIsMadeUpForByTheNextRepetition) {
  pair_of_vms p;
  EXPECT_TRUE(p.Apply(p.Collect()));
  p.sender[0].own_in_flight = 5;
  p.Collect();
  p.sender[0].own_in_flight = 6;
  EXPECT_FALSE(p.Apply(p.Collect()));
  p.now += kLoadRepetition;
  EXPECT_TRUE(p.Apply(p.Collect()));
  EXPECT_EQ(InFlight(p.receiver[0]), 6);
}

TEST(SharedLoad, WorkOfAVmThatFallsSilentIsForgotten) {
  pair_of_vms p;
  EXPECT_TRUE(p.Apply(p.Collect()));
  p.now += kMaxLoadSilence - milliseconds(1);
  AgeSharedLoad(p.to, p.receiver, p.now);
  EXPECT_EQ(InFlight(p.receiver[0]), 3);
  p.now += milliseconds(1);
  AgeSharedLoad(p.to, p.receiver, p.now);
  EXPECT_EQ(InFlight(p.receiver[0]), 0);
}

TEST(SharedLoad, NewerReportOfAnotherVmCounts) {
  pair_of_vms p;
  RecordLoad(p.receiver[0], {20, 10, 0, p.now - milliseconds(500)});
  RecordLoad(p.sender[0], {9, 2, 1.5, p.now - milliseconds(100)});
  p.sender[0].has_load_news = true;
  EXPECT_TRUE(p.Apply(p.Collect()));
  EXPECT_EQ(InFlight(p.receiver[0]), 9);
  EXPECT_EQ(p.receiver[0].others_waiting, 2);
  EXPECT_GT(SlowdownFactor(p.receiver[0], p.now), 1.4);
}

// A momentary statement counts while it is fresh only.
TEST(SharedLoad, StatedSlowdownCountsLessTheOlderItIs) {
  target_view view;
  instant now = instant{} + seconds(100);
  for (int i = 0; i < 40; ++i)
    RecordLoad(view, {0, 0, 1, now += milliseconds(100)});
  RecordLoad(view, {0, 0, 2.5, now});
  EXPECT_GT(SlowdownFactor(view, now), 2.3);
  EXPECT_LT(SlowdownFactor(view, now + seconds(2)), 1.4);
  EXPECT_GT(SlowdownFactor(view, now + seconds(2)), 0.9);
}

}  // namespace
}  // namespace waxwing
