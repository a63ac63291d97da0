// Tests of the permits for targets that state a request rate. The simulations
// count what arrives at the target from all VMs together.

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "testing/busiest_window.h"
#include "waxwing/send_permits.h"

namespace waxwing {
namespace {

// The rule: in any window, one and a half times the stated rate, plus a few.
constexpr seconds kWindow{4};
constexpr double kTolerance = 1.5;
constexpr double kExtraRequests = 5;

constexpr std::string_view kTarget = "t1";
// Time after which a VM that is lost or cut off is seen as suspected, and as
// dead.
constexpr milliseconds kSuspected{1'500};
constexpr milliseconds kDead{2'300};
constexpr milliseconds kAskPause{200};
constexpr std::uint64_t kSeeds = 20;

std::string VmName(int i) {
  return "vm-" + std::to_string(i);
}

struct simulated_vm {
  // VMs that it sees as suspected or dead.
  std::set<int> suspected;
  std::set<int> dead;
  bool is_up = true;
  // Side of a network partition.
  int side = 0;
  instant no_permit_until;
  permit_bucket bucket;
};

// What the VMs with the same view of the members do.
struct view_facts {
  std::size_t issuer = 0;
  double present_share = 1;
};

struct simulation {
  std::mt19937_64 random;
  double rate;
  std::vector<simulated_vm> vms;
  instant now = instant{} + seconds(1'000);
  std::vector<instant> arrivals;
  std::map<std::pair<std::set<int>, std::set<int>>, view_facts> facts;

  simulation(int count, double per_second, std::uint64_t seed)
      : random(seed), rate(per_second), vms(static_cast<std::size_t>(count)) {}

  std::size_t Pick(std::size_t count) { return random() % count; }

  view_facts FactsOf(const simulated_vm& vm) {
    const auto key = std::pair(vm.suspected, vm.dead);
    const auto known = facts.find(key);
    if (known != facts.end())
      return known->second;
    membership table;
    for (int i = 0; i < static_cast<int>(vms.size()); ++i) {
      member_record record;
      record.data.vm = VmName(i);
      record.data.zone = i % 2 == 0 ? "zone-a" : "zone-b";
      if (vm.suspected.contains(i))
        record.data.status = member_status::kSuspected;
      if (vm.dead.contains(i))
        record.data.status = member_status::kDead;
      table.members[record.data.vm] = record;
    }
    const std::string issuer = ChoosePermitIssuer(table, kTarget, "zone-a");
    return facts[key] = {static_cast<std::size_t>(std::stoi(issuer.substr(3))),
                         PresentShare(table)};
  }

  // A VM has a request that it would send to the target.
  void Request(std::size_t i) {
    simulated_vm& vm = vms[i];
    if (!vm.is_up || now < vm.no_permit_until)
      return;
    const std::size_t issuer = FactsOf(vm).issuer;
    simulated_vm& other = vms[issuer];
    const view_facts other_facts = FactsOf(other);
    if (!other.is_up || other.side != vm.side || other_facts.issuer != issuer) {
      vm.no_permit_until = now + kAskPause;
      return;
    }
    const auto wait =
        TakePermit(other.bucket, rate * other_facts.present_share, now);
    if (wait)
      vm.no_permit_until = now + *wait;
    else
      arrivals.push_back(now + milliseconds(Pick(40)));
  }

  // Requests of all VMs at random times for a while, `per_second` in all.
  void Run(duration length, double per_second) {
    const instant end = now + length;
    std::exponential_distribution<double> gap(per_second);
    while (now < end) {
      now += FromSeconds(gap(random));
      Request(Pick(vms.size()));
    }
  }
  void RequestFromAll() {
    for (std::size_t i = 0; i < vms.size(); ++i)
      Request(i);
  }

  std::size_t Issuer() { return FactsOf(vms[0]).issuer; }

  double Allowed() const {
    return kTolerance * std::max(rate, kMinPermitRate) * kWindow.count() +
           kExtraRequests;
  }
};

// Calls `run` for fleets of all sizes and a range of rates, and checks the sum.
template <typename Run>
void ForAllFleets(const Run& run) {
  for (const int vms : {1, 6, 80, 295}) {
    for (const double rate : {0.0, 0.3, 1.6, 2.0, 10.0, 50.0}) {
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        simulation s(vms, rate, seed);
        run(s);
        const std::size_t busiest =
            testing_support::BusiestWindow(s.arrivals, kWindow);
        EXPECT_LE(static_cast<double>(busiest), s.Allowed())
            << vms << " VMs, rate " << rate << ", seed " << seed;
      }
    }
  }
}

double Demand(const simulation& s) {
  return 20 + 4 * s.rate;
}

TEST(SendPermits, RateIsUsedAndKeptInCalmTimes) {
  ForAllFleets([](simulation& s) {
    s.Run(seconds(20), Demand(s));
    const double expected = std::max(s.rate, kMinPermitRate) * 20;
    EXPECT_GE(static_cast<double>(s.arrivals.size()), 0.7 * expected - 2)
        << s.vms.size() << " VMs, rate " << s.rate;
  });
}

TEST(SendPermits, SumHoldsWhenAllVmsSendAfterAnIdlePeriod) {
  ForAllFleets([](simulation& s) {
    for (int i = 0; i < 5; ++i) {
      s.now += seconds(5);
      s.RequestFromAll();
      s.Run(seconds(1), Demand(s));
    }
  });
}

TEST(SendPermits, SumHoldsWhileIssuersRestartOneAfterTheOther) {
  ForAllFleets([](simulation& s) {
    for (int i = 0; i < 20; ++i) {
      s.vms[s.Issuer()] = {};
      s.Run(milliseconds(s.Pick(1'500)), Demand(s));
    }
  });
}

TEST(SendPermits, SumHoldsWhenIssuersAreLost) {
  ForAllFleets([](simulation& s) {
    for (int i = 0; i < 3 && s.vms.size() > 3; ++i) {
      const std::size_t lost = s.Issuer();
      s.vms[lost].is_up = false;
      s.Run(kSuspected, Demand(s));
      for (simulated_vm& vm : s.vms)
        vm.suspected.insert(static_cast<int>(lost));
      s.Run(kDead - kSuspected, Demand(s));
      for (simulated_vm& vm : s.vms)
        vm.dead.insert(static_cast<int>(lost));
      s.Run(seconds(3), Demand(s));
    }
  });
}

// Some VMs suspect the issuer, the others don't, until the suspicion is
// refuted.
TEST(SendPermits, SumHoldsWhileVmsDisagreeAboutTheIssuer) {
  constexpr milliseconds kDisagreement{1'500};
  ForAllFleets([&](simulation& s) {
    s.Run(seconds(4), Demand(s));
    for (int i = 0; i < 4; ++i) {
      const int suspected = static_cast<int>(s.Issuer());
      for (simulated_vm& vm : s.vms) {
        if (s.Pick(2) == 0 &&
            &vm != &s.vms[static_cast<std::size_t>(suspected)])
          vm.suspected.insert(suspected);
      }
      s.Run(kDisagreement, Demand(s));
      for (simulated_vm& vm : s.vms)
        vm.suspected.clear();
      s.Run(seconds(1) + milliseconds(s.Pick(4'000)), Demand(s));
    }
  });
}

TEST(SendPermits, SumHoldsOverAllSidesOfAPartition) {
  ForAllFleets([](simulation& s) {
    s.Run(seconds(4), Demand(s));
    for (simulated_vm& vm : s.vms)
      vm.side = static_cast<int>(s.Pick(3));
    s.Run(kDead, Demand(s));
    for (simulated_vm& vm : s.vms) {
      for (std::size_t i = 0; i < s.vms.size(); ++i) {
        if (s.vms[i].side != vm.side)
          vm.dead.insert(static_cast<int>(i));
      }
    }
    s.Run(seconds(12), Demand(s));
    for (simulated_vm& vm : s.vms) {
      vm.dead.clear();
      vm.side = 0;
    }
    s.Run(seconds(4), Demand(s));
  });
}

TEST(SendPermits, PermitsOfAnUnknownRateAreRefusedForALimitedTime) {
  permit_bucket bucket;
  const instant now{};
  for (int i = 0; i < 1'000; ++i) {
    const auto wait = TakePermit(bucket, 0.001, now);
    ASSERT_TRUE(wait);
    EXPECT_LE(*wait, kMaxPermitWait);
    EXPECT_GT(*wait, duration::zero());
  }
}

}  // namespace
}  // namespace waxwing
