// Simulations of VMs that are cut off from targets. An oracle knows which paths
// work.

#include <gtest/gtest.h>

#include <functional>
#include <queue>
#include <random>
#include <set>

#include "waxwing/peer_choice.h"
#include "waxwing/target_reach.h"

namespace waxwing {
namespace {

constexpr milliseconds kRoundTrip{2};
constexpr milliseconds kRunTime{20};
constexpr milliseconds kConnectTimeout{250};
constexpr milliseconds kProbeTimeout{250};
constexpr milliseconds kProbePeriod{100};
constexpr milliseconds kCallerDeadline{1'000};
constexpr seconds kContactTime{3};
constexpr seconds kRecovery{2};
constexpr seconds kCutBegins{2};
constexpr seconds kCutEnds{7};
constexpr seconds kEnd{10};
constexpr int kMaxUnreached = 2;
constexpr int kMaxSends = 4;
constexpr std::size_t kMaxProbes = 8;
constexpr std::size_t kVmsPerZone = 50;

enum class cut_kind { kHanging, kRefused };

struct scenario {
  std::size_t vms = 6;
  std::size_t targets = 12;
  // VMs that are cut off, from the first one on, and the share of targets that
  // they can't reach.
  std::size_t cut = 1;
  double unreached_share = 1;
  cut_kind kind = cut_kind::kHanging;
  double requests_per_second = 30;
  // Targets that end for two seconds while the cut lasts.
  std::size_t ended_targets = 0;
};

struct tally {
  int sent = 0;
  int served = 0;
  double Share() const { return sent ? 1.0 * served / sent : 1; }
};

struct outcome {
  tally cut_first_second;
  tally cut_later;
  tally others_later;
  // Longest time until a refusal from the contact time on.
  duration slowest_refusal{};
  // VMs that still forward some time after the end of the cut.
  std::size_t still_forwarding = 0;
};

struct simulated_vm {
  target_reach reach;
  peer_loads peers;
  membership members;
};

struct request {
  std::size_t vm = 0;
  instant sent;
  int unreached = 0;
  std::set<std::string> tried;
};

struct event {
  instant at;
  std::uint64_t order = 0;
  std::function<void()> run;
  bool operator<(const event& other) const {
    return std::tie(at, order) > std::tie(other.at, other.order);
  }
};

std::string VmName(std::size_t i) {
  return "vm-" + std::to_string(i);
}

struct simulation {
  scenario plan;
  std::mt19937_64 random;
  std::priority_queue<event> events;
  std::uint64_t order = 0;
  instant now{seconds(1)};
  instant began = now;
  std::vector<target_view> targets;
  std::vector<simulated_vm> vms;
  outcome result;

  simulation(const scenario& p, std::uint64_t seed) : plan(p), random(seed) {
    for (std::size_t i = 0; i < plan.targets; ++i) {
      target_view view;
      view.name = "target-" + std::to_string(i);
      view.serves = i % 2 ? "llm" : "panel";
      targets.push_back(view);
    }
    vms.resize(plan.vms);
    for (std::size_t i = 0; i < plan.vms; ++i) {
      vms[i].members.self = VmName(i);
      for (std::size_t other = 0; other < plan.vms; ++other) {
        member record;
        record.vm = VmName(other);
        record.zone = std::to_string(other / kVmsPerZone);
        vms[i].members.members[record.vm] = {record, now};
      }
    }
  }

  void At(instant time, std::function<void()> run) {
    events.push({time, order++, std::move(run)});
  }
  bool IsCutNow() const {
    return now >= began + kCutBegins && now < began + kCutEnds;
  }
  bool HasEnded(std::size_t target) const {
    return target < plan.ended_targets && now >= began + seconds(5) &&
           now < began + seconds(6);
  }
  bool IsCutFrom(std::size_t vm, std::size_t target) const {
    return IsCutNow() && vm < plan.cut &&
           target < plan.unreached_share * plan.targets;
  }

  // Tries to connect. Calls `done` with whether that succeeds.
  void Connect(std::size_t vm,
               std::size_t target,
               milliseconds timeout,
               const std::function<void(bool)>& done) {
    const instant started = now;
    const bool is_cut = IsCutFrom(vm, target);
    const bool is_reached = !is_cut && !HasEnded(target);
    const bool hangs = is_cut && plan.kind == cut_kind::kHanging;
    At(now + (hangs ? timeout : kRoundTrip), [=, this] {
      if (is_reached)
        RecordConnection(vms[vm].reach, targets[target].name, now);
      else
        RecordNoConnection(vms[vm].reach, targets[target].name, started,
                           targets, now);
      done(is_reached);
    });
  }

  void Probe(std::size_t vm) {
    for (const std::size_t target :
         ChooseProbes(vms[vm].reach, targets, random(), kMaxProbes, now))
      Connect(vm, target, kProbeTimeout, [](bool) {});
    if (now < began + kEnd)
      At(now + kProbePeriod, [=, this] { Probe(vm); });
  }

  std::string_view ServiceOf(const request& r) const {
    return r.sent.time_since_epoch().count() % 2 ? "llm" : "panel";
  }

  void End(const request& r, bool is_served) {
    const instant cut = began + kCutBegins;
    const bool is_late = now - r.sent > kCallerDeadline;
    if (r.sent >= cut + kContactTime && r.sent < began + kCutEnds) {
      tally& count = r.vm < plan.cut ? result.cut_later : result.others_later;
      ++count.sent;
      count.served += is_served && !is_late;
      if (!is_served)
        result.slowest_refusal = std::max(result.slowest_refusal, now - r.sent);
    }
    if (r.vm < plan.cut && r.sent >= cut && r.sent < cut + seconds(1)) {
      ++result.cut_first_second.sent;
      result.cut_first_second.served += is_served && !is_late;
    }
  }

  // Sends the request to a target that is not known to be lost.
  void RunAt(std::size_t vm,
             const request& r,
             const std::function<void(bool, duration)>& done) {
    std::vector<std::size_t> usable;
    for (std::size_t i = 0; i < targets.size(); ++i) {
      if (targets[i].serves == ServiceOf(r) &&
          !IsLost(vms[vm].reach, targets[i].name))
        usable.push_back(i);
    }
    if (usable.empty()) {
      done(false, {});
      return;
    }
    const instant started = now;
    Connect(vm, usable[random() % usable.size()], kConnectTimeout,
            [=, this](bool is_reached) { done(is_reached, now - started); });
  }

  void Forward(request r) {
    simulated_vm& self = vms[r.vm];
    const auto peer =
        ChoosePeer(self.members, self.peers, r.tried, random, now);
    const bool is_alone = !peer && r.tried.empty() && r.unreached < kMaxSends;
    if (is_alone && !HasLostAll(self.reach, targets, ServiceOf(r))) {
      RunAt(r.vm, r, [=, this](bool is_served, duration) mutable {
        ++r.unreached;
        if (is_served)
          End(r, true);
        else
          Forward(r);
      });
      return;
    }
    if (!peer || r.tried.size() >= kMaxPeers) {
      End(r, false);
      return;
    }
    r.tried.insert(peer->vm);
    const std::size_t other = std::stoul(peer->vm.substr(3));
    At(now + kRoundTrip, [=, this] {
      if (ReachesTooFew(vms[other].reach, targets, ServiceOf(r), now)) {
        RecordDeclined(vms[r.vm].peers, VmName(other), now);
        RecordHint(vms[r.vm].peers, ChooseHint(vms[other].peers, now), now);
        Forward(r);
        return;
      }
      RunAt(other, r, [=, this](bool is_served, duration) {
        if (is_served)
          RecordServed(vms[r.vm].peers, VmName(other), now);
        if (is_served)
          At(now + kRunTime, [=, this] { End(r, true); });
        else
          Forward(r);
      });
    });
  }

  void Serve(request r) {
    if (ReachesTooFew(vms[r.vm].reach, targets, ServiceOf(r), now)) {
      Forward(r);
      return;
    }
    RunAt(r.vm, r, [=, this](bool is_served, duration took) mutable {
      if (is_served) {
        At(now + kRunTime, [=, this] { End(r, true); });
      } else if (++r.unreached >= kMaxUnreached || took > milliseconds(100)) {
        Forward(r);
      } else {
        Serve(r);
      }
    });
  }

  outcome Run() {
    const duration period = FromSeconds(1 / plan.requests_per_second);
    for (std::size_t vm = 0; vm < plan.vms; ++vm) {
      At(began, [=, this] { Probe(vm); });
      for (instant at = began + std::chrono::nanoseconds(random() % 10'000'000);
           at < began + kEnd; at += period + std::chrono::nanoseconds(1))
        At(at, [=, this] { Serve({vm, now, 0, {}}); });
    }
    At(began + kCutEnds + kRecovery, [this] {
      for (const simulated_vm& vm : vms)
        result.still_forwarding +=
            ReachesTooFew(vm.reach, targets, "llm", now) ||
            ReachesTooFew(vm.reach, targets, "panel", now);
    });
    while (!events.empty()) {
      const event next = events.top();
      events.pop();
      now = next.at;
      next.run();
    }
    return result;
  }
};

class TargetReachSimulation
    : public ::testing::TestWithParam<std::tuple<std::size_t, cut_kind>> {
 protected:
  scenario Scenario() const {
    scenario out;
    out.vms = std::get<0>(GetParam());
    out.kind = std::get<1>(GetParam());
    out.targets = std::max<std::size_t>(12, out.vms * 2 / 3);
    // The load of a large deployment is spread over more VMs.
    out.requests_per_second = out.vms > 20 ? 6 : 30;
    return out;
  }
  std::uint64_t Seeds() const { return std::get<0>(GetParam()) > 20 ? 1 : 3; }
  void ExpectServed(const scenario& plan) {
    for (std::uint64_t seed = 1; seed <= Seeds(); ++seed) {
      const outcome out = simulation(plan, seed).Run();
      EXPECT_GE(out.cut_later.Share(), 0.95 * out.others_later.Share())
          << "seed " << seed << ": " << out.cut_later.served << " of "
          << out.cut_later.sent;
      EXPECT_GE(out.cut_first_second.Share(), 0.9)
          << "seed " << seed << ": " << out.cut_first_second.served << " of "
          << out.cut_first_second.sent;
      EXPECT_EQ(out.still_forwarding, 0u) << "seed " << seed;
    }
  }
};

TEST_P(TargetReachSimulation, CallersOfOneCutVmAreServed) {
  scenario plan = Scenario();
  if (plan.vms > 1)
    ExpectServed(plan);
}

TEST_P(TargetReachSimulation, CallersOfACutZoneAreServed) {
  scenario plan = Scenario();
  plan.cut = std::min(plan.vms - 1, kVmsPerZone);
  if (plan.vms > 1)
    ExpectServed(plan);
}

TEST_P(TargetReachSimulation, CallersOfAllButOneAreServed) {
  scenario plan = Scenario();
  plan.cut = plan.vms - 1;
  if (plan.vms > 1)
    ExpectServed(plan);
}

TEST_P(TargetReachSimulation, CallersAreServedWhereAPartOfTheTargetsIsReached) {
  scenario plan = Scenario();
  plan.unreached_share = 0.5;
  ExpectServed(plan);
}

TEST_P(TargetReachSimulation, CallersOfCutVmsAreServedWhileTargetsEnd) {
  scenario plan = Scenario();
  plan.ended_targets = plan.targets / 4;
  if (plan.vms > 1)
    ExpectServed(plan);
}

TEST_P(TargetReachSimulation, WhereNobodyReachesTargetsRequestsEndAtOnce) {
  scenario plan = Scenario();
  plan.cut = plan.vms;
  for (std::uint64_t seed = 1; seed <= Seeds(); ++seed) {
    const outcome out = simulation(plan, seed).Run();
    EXPECT_EQ(out.cut_later.served, 0);
    EXPECT_LE(out.slowest_refusal, milliseconds(200)) << "seed " << seed;
    EXPECT_EQ(out.still_forwarding, 0u) << "seed " << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Sizes,
    TargetReachSimulation,
    ::testing::Combine(::testing::Values(1, 2, 6, 80, 295),
                       ::testing::Values(cut_kind::kHanging,
                                         cut_kind::kRefused)));

}  // namespace
}  // namespace waxwing
