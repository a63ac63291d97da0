// Tests of the prefix index against a simple oracle, and of placement.

#include "waxwing/placement.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>

#include "waxwing/hash.h"

namespace waxwing {
namespace {

constexpr int kTargets = 5;

std::vector<chat_message> MakePrompt(int context, int request) {
  return {{"system", std::string(3'000, 's')},
          {"user", std::string(5'000, static_cast<char>('a' + context))},
          {"user", "request " + std::to_string(request)}};
}

prefix_chain MakeChain(std::string_view account,
                       std::string_view version,
                       int context,
                       int request) {
  return ComputePrefix({account, "model", version, ""},
                       MakePrompt(context, request));
}

placement_state MakeState(int targets) {
  placement_state state;
  for (int i = 0; i < targets; ++i) {
    target_view view;
    view.name = "engine-" + std::to_string(i);
    view.name_hash = Hash64(view.name);
    view.serves = "model";
    view.version = "v1";
    view.boot_id = 1;
    state.targets.push_back(view);
  }
  return state;
}

std::optional<placement> PlaceOne(placement_state& state,
                                  const prefix_chain& chain,
                                  instant now,
                                  int failed_target = -1) {
  const placement_request request{&chain, "model", "v1", failed_target, 0};
  return Place(state, request, now);
}

// Places `requests` without a prompt at VMs in turn, each with `in_flight`
// earlier ones at a time, and returns how many each target gets.
std::vector<int> SpreadOverTargets(int vms,
                                   int targets,
                                   int requests,
                                   std::size_t in_flight) {
  std::vector<placement_state> states(static_cast<std::size_t>(vms),
                                      MakeState(targets));
  std::vector<std::deque<placement>> running(states.size());
  std::vector<int> out(static_cast<std::size_t>(targets));
  const prefix_chain no_prompt;
  std::mt19937_64 random(1);
  for (int i = 0; i < requests; ++i) {
    const std::size_t vm = random() % states.size();
    const placement_request request{&no_prompt, "model", "v1", -1, random()};
    const auto chosen = Place(states[vm], request, instant{});
    ++out[chosen->target];
    RecordDispatch(states[vm], *chosen, 0);
    running[vm].push_back(*chosen);
    if (running[vm].size() > in_flight) {
      RecordFinished(states[vm], running[vm].front());
      running[vm].pop_front();
    }
  }
  return out;
}

TEST(Placement, EqualTargetsGetEqualWorkFromAnyNumberOfVms) {
  constexpr int kRequestsPerTarget = 100;
  for (const int vms : {1, 6, 80, 295}) {
    for (const int targets : {2, 4, 20, 200}) {
      for (const std::size_t in_flight : {0, 2, 10}) {
        const auto shares = SpreadOverTargets(
            vms, targets, targets * kRequestsPerTarget, in_flight);
        EXPECT_LE(*std::max_element(shares.begin(), shares.end()),
                  1.3 * kRequestsPerTarget)
            << vms << " VMs, " << targets << " targets, " << in_flight;
      }
    }
  }
}

TEST(Placement, TargetThatIsBackGetsItsPartAndIsNotFlooded) {
  placement_state state = MakeState(4);
  state.targets[0].is_in_service = false;
  const prefix_chain no_prompt;
  const auto send = [&](int count) {
    int to_first = 0;
    for (int i = 0; i < count; ++i) {
      const placement_request request{&no_prompt, "model", "v1", -1, 7};
      const auto chosen = Place(state, request, instant{});
      to_first += chosen->target == 0 ? 1 : 0;
      RecordDispatch(state, *chosen, 0);
      RecordFinished(state, *chosen);
    }
    return to_first;
  };
  EXPECT_EQ(send(40), 0);
  state.targets[0].is_in_service = true;
  EXPECT_EQ(send(40), 10);
}

// VMs that each send requests to four equal targets, some of which fail.
struct failing_targets {
  std::size_t vms = 1;
  // Of each VM.
  double requests_per_second = 0;
  // Shares of requests that fail until `fault_end`: of the first target and of
  // the others.
  double first_fails = 0;
  double others_fail = 0;
  instant fault_end;
};

constexpr instant kFaultStart = instant{} + seconds(100);

// Returns for each target when requests arrived there, from kFaultStart to
// `end`.
std::vector<std::vector<instant>> SimulateFault(const failing_targets& plan,
                                                instant end) {
  constexpr milliseconds kServiceTime{20};
  struct sent_request {
    std::size_t vm;
    placement chosen;
    instant sent;
    bool fails;
  };
  std::vector<placement_state> states(plan.vms, MakeState(4));
  std::vector<std::vector<instant>> arrivals(4);
  std::deque<sent_request> running;
  const prefix_chain no_prompt;
  std::mt19937_64 random(1);
  const duration interval = FromSeconds(
      1 / (plan.requests_per_second * static_cast<double>(plan.vms)));
  for (instant now = kFaultStart; now < end; now += interval) {
    while (!running.empty() && running.front().sent + kServiceTime <= now) {
      const sent_request& done = running.front();
      const instant ended = done.sent + kServiceTime;
      target_view& view = states[done.vm].targets[done.chosen.target];
      RecordFinished(states[done.vm], done.chosen);
      RecordContact(view, ended);
      RecordResponse(view, done.fails, done.sent, ended);
      running.pop_front();
    }
    const std::size_t vm = random() % plan.vms;
    const placement_request request{&no_prompt, "model", "v1", -1, random()};
    const auto chosen = Place(states[vm], request, now);
    RecordDispatch(states[vm], *chosen, 0);
    RecordSent(states[vm].targets[chosen->target], now);
    arrivals[chosen->target].push_back(now);
    const double share =
        chosen->target == 0 ? plan.first_fails : plan.others_fail;
    const bool fails = now < plan.fault_end &&
                       std::uniform_real_distribution<>()(random) < share;
    running.push_back({vm, *chosen, now, fails});
  }
  return arrivals;
}

double CountBetween(const std::vector<instant>& arrivals,
                    instant start,
                    instant end) {
  return static_cast<double>(
      std::lower_bound(arrivals.begin(), arrivals.end(), end) -
      std::lower_bound(arrivals.begin(), arrivals.end(), start));
}

// Requests per second of each VM: many, and so few that a target gets one only
// every 4 s.
constexpr double kVmRates[] = {20, 1};

TEST(Placement, TargetThatFailedInAFaultGetsItsPartSecondsAfterItsEnd) {
  constexpr double kMinRequests = 200;
  for (const std::size_t vms : {1, 6, 80, 295}) {
    for (const double rate : kVmRates) {
      for (const seconds fault : {seconds(2), seconds(12)}) {
        for (const double others_fail : {0.0, 0.3}) {
          failing_targets plan{vms, rate};
          plan.first_fails = others_fail > 0 ? others_fail : 1;
          plan.others_fail = others_fail;
          plan.fault_end = kFaultStart + fault;
          const double requests_per_second = rate * static_cast<double>(vms);
          const duration length =
              FromSeconds(std::max(5.0, kMinRequests / requests_per_second));
          const instant start =
              plan.fault_end + std::min(2 * fault, kMaxProbeDelay);
          const auto arrivals = SimulateFault(plan, start + length);
          const double mean = requests_per_second * ToSeconds(length) / 4;
          for (const auto& each : arrivals)
            EXPECT_NEAR(CountBetween(each, start, start + length), mean,
                        0.3 * mean)
                << vms << " VMs, " << rate << " requests/s, fault of "
                << fault.count() << " s, " << others_fail
                << " of the others' requests fail";
        }
      }
    }
  }
}

TEST(Placement, TargetThatIsWellAgainIsNotFlooded) {
  constexpr milliseconds kWindow{200};
  for (const std::size_t vms : {1, 6, 80, 295}) {
    for (const double rate : kVmRates) {
      failing_targets plan{vms, rate};
      plan.first_fails = 1;
      plan.fault_end = kFaultStart + seconds(12);
      const instant end = plan.fault_end + kMaxProbeDelay + seconds(1);
      const auto arrivals = SimulateFault(plan, end)[0];
      const double mean =
          rate * static_cast<double>(vms) / 4 * ToSeconds(kWindow);
      double busiest = 0;
      for (instant at = plan.fault_end; at < end; at += milliseconds(10))
        busiest = std::max(busiest, CountBetween(arrivals, at, at + kWindow));
      EXPECT_LE(busiest, 2 * mean + 2)
          << vms << " VMs, " << rate << " requests/s";
    }
  }
}

TEST(Placement, TargetThatKeepsFailingStaysAvoided) {
  constexpr seconds kSettling{100};
  constexpr double kMinRequests = 4'000;
  constexpr double kMaxShare = 0.25;
  for (const std::size_t vms : {1, 6, 80, 295}) {
    for (const double rate : kVmRates) {
      for (const double first_fails : {0.5, 1.0}) {
        failing_targets plan{vms, rate};
        plan.first_fails = first_fails;
        plan.fault_end = instant::max();
        const double requests_per_second = rate * static_cast<double>(vms);
        const duration length =
            FromSeconds(std::max(20.0, kMinRequests / requests_per_second));
        const instant start = kFaultStart + kSettling;
        const auto arrivals = SimulateFault(plan, start + length);
        EXPECT_LE(CountBetween(arrivals[0], start, start + length),
                  kMaxShare * requests_per_second * ToSeconds(length) / 4)
            << vms << " VMs, " << rate << " requests/s, " << first_fails
            << " of the requests fail";
      }
    }
  }
}

TEST(Prefix, DifferentScopesHaveDifferentHashes) {
  std::set<std::uint64_t> seen;
  std::size_t total = 0;
  for (const auto account : {"a", "b"}) {
    for (const auto version : {"v1", "v2"}) {
      for (const checkpoint& point :
           MakeChain(account, version, 0, 0).checkpoints) {
        seen.insert(point.hash);
        ++total;
      }
    }
  }
  EXPECT_EQ(seen.size(), total);
}

TEST(Prefix, EqualPrefixesHaveEqualCheckpoints) {
  const prefix_chain a = MakeChain("a", "v1", 0, 1);
  const prefix_chain b = MakeChain("a", "v1", 0, 2);
  ASSERT_EQ(a.checkpoints.size(), b.checkpoints.size());
  for (std::size_t i = 0; i + 1 < a.checkpoints.size(); ++i)
    EXPECT_EQ(a.checkpoints[i].hash, b.checkpoints[i].hash);
  EXPECT_NE(a.checkpoints.back().hash, b.checkpoints.back().hash);
  EXPECT_EQ(a.head, b.head);
}

// The oracle: the epoch and last use of every recorded checkpoint, by hash and
// target.
using oracle = std::map<std::pair<std::uint64_t, std::uint32_t>,
                        std::pair<std::uint32_t, instant>>;

struct recorded_use {
  int context;
  int request;
  std::uint32_t target;
};

RC_GTEST_PROP(PrefixIndex, ReturnsOnlyRecordedMatches, ()) {
  const auto uses = *rc::gen::container<std::vector<recorded_use>>(
      rc::gen::construct<recorded_use>(
          rc::gen::inRange(0, 3), rc::gen::inRange(0, 3),
          rc::gen::inRange<std::uint32_t>(0, kTargets)));
  const auto capacity = *rc::gen::element<std::size_t>(8, 40, 100'000);
  prefix_index index;
  index.capacity = capacity;
  oracle recorded;
  instant now{};
  for (const recorded_use& u : uses) {
    now += milliseconds(1);
    const prefix_chain chain = MakeChain("a", "v1", u.context, u.request);
    std::vector<prefix_match> found;
    FindPrefixMatches(index, chain, found);
    for (const prefix_match& match : found) {
      bool is_recorded = false;
      for (const checkpoint& point : chain.checkpoints) {
        const auto entry = recorded.find({point.hash, match.target});
        is_recorded = is_recorded ||
                      (point.tokens == match.tokens && entry != recorded.end());
      }
      RC_ASSERT(is_recorded);
    }
    RecordUse(index, chain, chain.tokens, u.target, 1, now);
    for (const checkpoint& point : chain.checkpoints)
      recorded[{point.hash, u.target}] = {1, now};
    RC_ASSERT(SizeOf(index) <= capacity + chain.checkpoints.size());
  }
}

RC_GTEST_PROP(PrefixIndex, FindsTheLongestMatchBelowCapacity, ()) {
  const auto uses = *rc::gen::container<std::vector<recorded_use>>(
      rc::gen::construct<recorded_use>(rc::gen::inRange(0, 3),
                                       rc::gen::inRange(0, 3),
                                       rc::gen::inRange<std::uint32_t>(0, 3)));
  prefix_index index;
  std::map<std::uint64_t, std::set<std::uint32_t>> replicas;
  for (const recorded_use& u : uses) {
    const prefix_chain chain = MakeChain("a", "v1", u.context, u.request);
    std::vector<prefix_match> found;
    FindPrefixMatches(index, chain, found);
    std::uint32_t longest_recorded = 0;
    for (const checkpoint& point : chain.checkpoints) {
      if (!replicas[point.hash].empty())
        longest_recorded = point.tokens;
    }
    std::uint32_t longest_match = 0;
    for (const prefix_match& match : found)
      longest_match = std::max(longest_match, match.tokens);
    RC_ASSERT(longest_match == longest_recorded);
    RecordUse(index, chain, chain.tokens, u.target, 1, instant{});
    for (const checkpoint& point : chain.checkpoints)
      replicas[point.hash].insert(u.target);
  }
}

TEST(Placement, RestartInvalidatesCachedPrefixes) {
  placement_state state = MakeState(kTargets);
  const prefix_chain chain = MakeChain("a", "v1", 0, 0);
  const auto first = PlaceOne(state, chain, instant{});
  ASSERT_TRUE(first);
  const std::uint32_t epoch = state.targets[first->target].epoch;
  UpdateFromResponse(state, *first, epoch, chain, 0, instant{});
  EXPECT_GT(PlaceOne(state, chain, instant{})->cached_tokens, 0u);
  // The engine restarts with another boot id.
  EXPECT_TRUE(ApplyIdentity(state.targets[first->target], 2, "v1"));
  EXPECT_EQ(PlaceOne(state, chain, instant{})->cached_tokens, 0u);
  // A late response from before the restart has no effect.
  UpdateFromResponse(state, *first, epoch, chain, chain.tokens, instant{});
  EXPECT_EQ(PlaceOne(state, chain, instant{})->cached_tokens, 0u);
}

TEST(Placement, WeightsChangeInvalidatesCachedPrefixes) {
  placement_state state = MakeState(1);
  const prefix_chain chain = MakeChain("a", "v1", 0, 0);
  UpdateFromResponse(state, {0, 0, instant{}, true}, 1, chain, 0, instant{});
  EXPECT_TRUE(ApplyIdentity(state.targets[0], 1, "v2"));
  EXPECT_FALSE(PlaceOne(state, chain, instant{}));
  EXPECT_TRUE(ApplyIdentity(state.targets[0], 1, "v1"));
  EXPECT_EQ(PlaceOne(state, chain, instant{})->cached_tokens, 0u);
}

TEST(Placement, RoutersWithoutStateChooseTheSameHome) {
  for (int context = 0; context < 5; ++context) {
    placement_state first_router = MakeState(kTargets);
    placement_state second_router = MakeState(kTargets);
    // The routers see slightly different loads.
    second_router.targets[0].others_in_flight = 1;
    const auto a =
        PlaceOne(first_router, MakeChain("a", "v1", context, 1), instant{});
    const auto b =
        PlaceOne(second_router, MakeChain("a", "v1", context, 2), instant{});
    EXPECT_EQ(a->target, b->target);
  }
}

TEST(Placement, BusyReplicaSpillsToAnotherTarget) {
  placement_state state = MakeState(kTargets);
  const prefix_chain chain = MakeChain("a", "v1", 0, 0);
  const auto home = PlaceOne(state, chain, instant{});
  UpdateFromResponse(state, *home, 1, chain, 0, instant{});
  EXPECT_EQ(PlaceOne(state, chain, instant{})->target, home->target);
  state.targets[home->target].own_in_flight = 30;
  EXPECT_NE(PlaceOne(state, chain, instant{})->target, home->target);
  state.targets[home->target].own_in_flight = 0;
  EXPECT_EQ(PlaceOne(state, chain, instant{})->target, home->target);
}

TEST(Placement, LeavingAndBackedOffTargetsAreNotUsed) {
  placement_state state = MakeState(2);
  const prefix_chain chain = MakeChain("a", "v1", 0, 0);
  state.targets[0].is_in_service = false;
  EXPECT_EQ(PlaceOne(state, chain, instant{})->target, 1u);
  RecordFailure(state.targets[1], instant{}, instant{});
  EXPECT_FALSE(PlaceOne(state, chain, instant{}));
  EXPECT_TRUE(PlaceOne(state, chain, instant{} + seconds(10)));
}

TEST(Placement, RetryAvoidsTheFailedTarget) {
  placement_state state = MakeState(2);
  const prefix_chain chain = MakeChain("a", "v1", 0, 0);
  const auto first = PlaceOne(state, chain, instant{});
  const auto second =
      PlaceOne(state, chain, instant{}, static_cast<int>(first->target));
  EXPECT_NE(first->target, second->target);
}

TEST(TargetView, EvictionHorizonFollowsHitsAndMisses) {
  target_view view;
  UpdateEvictionHorizon(view, seconds(5), false);
  EXPECT_LT(view.eviction_horizon, seconds(5));
  UpdateEvictionHorizon(view, seconds(8), true);
  EXPECT_GE(view.eviction_horizon, seconds(8));
}

}  // namespace
}  // namespace waxwing
