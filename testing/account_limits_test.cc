// Tests of account limits. The simulations count what all VMs together admit of
// one account, and what that account could have sent.

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "waxwing/account_limits.h"

namespace waxwing {
namespace {

// The rule: in any window what the limit allows, a tenth, and a fixed slack.
constexpr seconds kWindow{8};
constexpr double kTolerance = 1.1;
constexpr double kSlack = 110'000;

constexpr std::string_view kAccount = "shop";
constexpr milliseconds kSuspected{1'500};
constexpr milliseconds kDead{2'300};
constexpr milliseconds kAskPause{400};
constexpr std::uint64_t kSeeds = 6;
constexpr double kMeanTokens = 9'000;

std::string VmName(std::size_t i) {
  return "vm-" + std::to_string(i);
}

struct simulated_vm {
  membership view;
  bool is_up = true;
  // Side of a network partition.
  int side = 0;
  instant started;
  std::map<charge_role, account_bucket> buckets;
  std::map<std::string, instant> silent_until;
};

struct admission {
  instant time;
  double tokens = 0;
};

struct simulation {
  std::mt19937_64 random;
  account_limit limit;
  // What the account asks for, in tokens per second.
  double demand;
  std::vector<simulated_vm> vms;
  instant now = instant{} + seconds(1'000);
  std::vector<admission> admitted;
  std::size_t asked = 0;
  // Tokens that one VM that sees all requests would admit.
  account_bucket oracle;
  double owed = 0;
  // Requests of the largest tenth of sizes.
  std::size_t large_asked = 0;
  std::size_t large_admitted = 0;

  simulation(std::size_t count,
             double per_second,
             double demand_factor,
             std::uint64_t seed)
      : random(seed), demand(per_second * demand_factor), vms(count) {
    limit = {per_second, per_second, true, 200};
    for (simulated_vm& vm : vms) {
      for (std::size_t i = 0; i < count; ++i)
        vm.view.members[VmName(i)].data.vm = VmName(i);
    }
  }

  std::size_t Pick(std::size_t count) { return random() % count; }
  double PickTokens() {
    std::lognormal_distribution<double> size(0, 0.8);
    return std::clamp(kMeanTokens * 0.73 * size(random), 100.0, 50'000.0);
  }
  std::size_t Limiter() const {
    return IndexOf(ChooseLimiter(vms[0].view, kAccount));
  }
  static std::size_t IndexOf(const std::string& name) {
    return static_cast<std::size_t>(std::stoi(name.substr(3)));
  }

  bool HasStarted(const simulated_vm& vm) const {
    return now >= vm.started + kLimiterStartDelay;
  }
  charge_decision ChargeAt(simulated_vm& vm, charge_role role, double tokens) {
    return Charge(vm.buckets[role], limit, ShareOfLimit(vm.view, role), tokens,
                  now);
  }
  // Returns what another VM decides, if it is reached and decides.
  std::optional<charge_decision> Ask(simulated_vm& vm,
                                     const std::string& name,
                                     charge_role role,
                                     double tokens) {
    simulated_vm& other = vms[IndexOf(name)];
    if (now < vm.silent_until[name])
      return std::nullopt;
    const bool is_limiter = role == charge_role::kSubstitute ||
                            ChooseLimiter(other.view, kAccount) == name;
    if (other.is_up && other.side == vm.side && is_limiter && HasStarted(other))
      return ChargeAt(other, role, tokens);
    vm.silent_until[name] = now + kAskPause;
    return std::nullopt;
  }
  charge_decision Decide(std::size_t i, double tokens) {
    simulated_vm& vm = vms[i];
    std::string limiter = ChooseLimiter(vm.view, kAccount);
    for (const charge_role role :
         {charge_role::kLimiter, charge_role::kSubstitute}) {
      if (limiter == VmName(i) && HasStarted(vm))
        return ChargeAt(vm, role, tokens);
      if (limiter.empty() || limiter == VmName(i))
        break;
      if (const auto decision = Ask(vm, limiter, role, tokens))
        return *decision;
      limiter = ChooseLimiter(vm.view, kAccount, limiter);
    }
    if (!HasStarted(vm))
      return {kMaxChargeWait};
    return ChargeAt(vm, charge_role::kAlone, tokens);
  }

  // True if a bucket of the whole limit, which is never overdrawn, has the
  // tokens.
  bool IsOwed(double tokens) {
    if (!oracle.updated)
      oracle = {limit.burst, now};
    oracle.balance = std::min(
        limit.burst,
        oracle.balance + limit.per_second * ToSeconds(now - *oracle.updated));
    oracle.updated = now;
    if (oracle.balance < tokens)
      return false;
    oracle.balance -= tokens;
    return true;
  }

  void Request(std::size_t i) {
    if (!vms[i].is_up)
      return;
    const double tokens = PickTokens();
    owed += IsOwed(tokens) ? tokens : 0;
    const bool is_large = tokens > 2 * kMeanTokens;
    const bool is_admitted = !Decide(i, tokens).wait;
    ++asked;
    large_asked += is_large;
    large_admitted += is_large && is_admitted;
    if (is_admitted)
      admitted.push_back({now, tokens});
  }

  void Run(duration length) {
    const instant end = now + length;
    std::exponential_distribution<double> gap(demand / kMeanTokens);
    while (now < end) {
      now += FromSeconds(gap(random));
      Request(Pick(vms.size()));
    }
  }

  void SetStatus(std::size_t at, std::size_t of, member_status status) {
    vms[at].view.members[VmName(of)].data.status = status;
  }
  void SetStatusEverywhere(std::size_t of, member_status status) {
    for (std::size_t i = 0; i < vms.size(); ++i) {
      if (i != of)
        SetStatus(i, of, status);
    }
  }
  void Restart(std::size_t i) {
    vms[i].buckets.clear();
    vms[i].silent_until.clear();
    vms[i].started = now;
    vms[i].is_up = true;
  }

  double BusiestWindow() const {
    double busiest = 0;
    double tokens = 0;
    for (std::size_t first = 0, last = 0; last < admitted.size(); ++last) {
      tokens += admitted[last].tokens;
      while (admitted[last].time - admitted[first].time > kWindow)
        tokens -= admitted[first++].tokens;
      busiest = std::max(busiest, tokens);
    }
    return busiest;
  }
  double Admitted() const {
    double tokens = 0;
    for (const admission& one : admitted)
      tokens += one.tokens;
    return tokens;
  }
  double Allowed() const {
    return (limit.per_second * ToSeconds(kWindow) + limit.burst) * kTolerance +
           kSlack;
  }
};

// Calls `run` for fleets and limits of all sizes, and checks the sum.
template <typename Run>
void ForAllFleets(double demand_factor, const Run& run) {
  for (const std::size_t vms : {1, 7, 66, 295}) {
    for (const double rate : {29'000.0, 200'000.0, 990'000.0}) {
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        simulation s(vms, rate, demand_factor, seed);
        run(s);
        EXPECT_LE(s.BusiestWindow(), s.Allowed())
            << vms << " VMs, rate " << rate << ", seed " << seed;
      }
    }
  }
}

TEST(AccountLimits, WhatTheLimitAllowsIsAdmittedWhileTheAccountAsksForMore) {
  ForAllFleets(4, [](simulation& s) {
    s.Run(seconds(20));
    EXPECT_GE(s.Admitted(), 0.97 * s.limit.per_second * 20)
        << s.vms.size() << " VMs, rate " << s.limit.per_second;
  });
}

TEST(AccountLimits, AccountWithinItsLimitIsNotRefused) {
  ForAllFleets(0.55, [](simulation& s) {
    s.Run(seconds(2));
    const double owed_before = s.owed;
    const double admitted_before = s.Admitted();
    s.Run(seconds(20));
    EXPECT_GE(s.Admitted() - admitted_before, 0.97 * (s.owed - owed_before))
        << s.vms.size() << " VMs, rate " << s.limit.per_second;
  });
}

TEST(AccountLimits, LargeRequestsAreAdmittedAsOftenAsOthers) {
  ForAllFleets(4, [](simulation& s) {
    s.Run(seconds(15));
    const double share =
        static_cast<double>(s.admitted.size()) / static_cast<double>(s.asked);
    EXPECT_GE(static_cast<double>(s.large_admitted),
              0.5 * share * static_cast<double>(s.large_asked));
  });
}

TEST(AccountLimits, SumHoldsWhenAnIdleAccountSendsToAllVmsAtOnce) {
  ForAllFleets(4, [](simulation& s) {
    for (int i = 0; i < 4; ++i) {
      s.now += seconds(6);
      for (std::size_t vm = 0; vm < s.vms.size(); ++vm)
        s.Request(vm);
      s.Run(seconds(1));
    }
  });
}

TEST(AccountLimits, SumHoldsWhenLimitersAreLost) {
  ForAllFleets(4, [](simulation& s) {
    s.Run(seconds(5));
    for (int i = 0; i < 3 && s.vms.size() > 6; ++i) {
      const std::size_t lost = s.Limiter();
      s.vms[lost].is_up = false;
      s.Run(kSuspected);
      s.SetStatusEverywhere(lost, member_status::kSuspected);
      s.Run(kDead - kSuspected);
      s.SetStatusEverywhere(lost, member_status::kDead);
      s.Run(seconds(3));
    }
  });
}

TEST(AccountLimits, SumHoldsWhileLimitersRestartOneAfterTheOther) {
  ForAllFleets(4, [](simulation& s) {
    for (int i = 0; i < 20; ++i) {
      s.Restart(s.Limiter());
      s.Run(milliseconds(500 + s.Pick(1'500)));
    }
  });
}

// Each VM knows only itself at first, and the others step by step.
TEST(AccountLimits, SumHoldsWhenAllVmsRestartAtOnce) {
  ForAllFleets(4, [](simulation& s) {
    s.Run(seconds(6));
    for (int round = 0; round < 2; ++round) {
      for (std::size_t i = 0; i < s.vms.size(); ++i) {
        s.Restart(i);
        s.vms[i].view.members.clear();
        s.vms[i].view.members[VmName(i)].data.vm = VmName(i);
      }
      for (int step = 0; step < 4; ++step) {
        s.Run(milliseconds(100));
        for (std::size_t i = 0; i < s.vms.size(); ++i) {
          for (std::size_t j = 0; j < s.vms.size(); ++j) {
            if (step == 3 || s.Pick(3) == 0)
              s.vms[i].view.members[VmName(j)].data.vm = VmName(j);
          }
        }
      }
      s.Run(seconds(3));
    }
  });
}

// A frozen limiter returns with the balance that it had.
TEST(AccountLimits, SumHoldsWhenAFrozenLimiterReturns) {
  ForAllFleets(4, [](simulation& s) {
    s.Run(seconds(5));
    const std::size_t frozen = s.Limiter();
    s.vms[frozen].is_up = false;
    s.Run(kSuspected);
    s.SetStatusEverywhere(frozen, member_status::kSuspected);
    s.Run(seconds(2));
    s.vms[frozen].is_up = true;
    s.Run(milliseconds(300));
    s.SetStatusEverywhere(frozen, member_status::kAlive);
    s.Run(seconds(5));
  });
}

// A third of the VMs are cut off, from the others and from each other or
// together.
TEST(AccountLimits, SumHoldsOverAllSidesOfAPartition) {
  for (const bool is_each_alone : {false, true}) {
    ForAllFleets(4, [&](simulation& s) {
      s.Run(seconds(5));
      for (std::size_t i = 0; i < s.vms.size(); i += 3)
        s.vms[i].side = is_each_alone ? static_cast<int>(i) + 1 : 1;
      const auto set_status = [&](member_status status) {
        for (std::size_t i = 0; i < s.vms.size(); ++i) {
          for (std::size_t j = 0; j < s.vms.size(); ++j) {
            if (s.vms[i].side != s.vms[j].side)
              s.SetStatus(i, j, status);
          }
        }
      };
      s.Run(kSuspected);
      set_status(member_status::kSuspected);
      s.Run(kDead - kSuspected);
      set_status(member_status::kDead);
      s.Run(seconds(8));
      set_status(member_status::kAlive);
      for (simulated_vm& vm : s.vms)
        vm.side = 0;
      s.Run(seconds(4));
    });
  }
}

TEST(AccountLimits, LowerLimitBindsAtOnce) {
  ForAllFleets(4, [](simulation& s) {
    s.limit.per_second *= 4;
    s.limit.burst *= 4;
    s.Run(seconds(5));
    s.limit.per_second /= 4;
    s.limit.burst /= 4;
    s.admitted.clear();
    s.Run(seconds(10));
  });
}

TEST(AccountLimits, RefusedRequestsReturnOneAfterTheOther) {
  account_bucket bucket;
  const account_limit limit{30'000, 0, true, 200};
  const instant now = instant{} + seconds(10);
  std::set<duration> waits;
  for (int i = 0; i < 12; ++i) {
    const auto decision = Charge(bucket, limit, 1, 9'000, now);
    if (decision.wait)
      waits.insert(*decision.wait);
  }
  EXPECT_EQ(waits.size(), 11u);
  EXPECT_GT(*waits.begin(), milliseconds(20));
  EXPECT_LE(*waits.rbegin(), kMaxChargeWait);
}

TEST(AccountLimits, ChargeOfARequestThatHasNotRunIsReturned) {
  const account_limit limit{30'000, 30'000, true, 200};
  const instant now = instant{} + seconds(10);
  account_bucket bucket;
  ASSERT_FALSE(Charge(bucket, limit, 1, 9'000, now).wait);
  ASSERT_TRUE(Charge(bucket, limit, 1, 9'000, now).wait);
  Refund(bucket, limit, 1, 9'000);
  EXPECT_FALSE(Charge(bucket, limit, 1, 9'000, now).wait);
}

TEST(AccountLimits, RequestsCountTheirTokensOrAStatedNumber) {
  EXPECT_EQ(ChargeOf({1, 1, true, 200}, 100, 20), 120);
  EXPECT_EQ(ChargeOf({1, 1, true, 200}, 0, 0), 200);
  EXPECT_EQ(ChargeOf({1, 1, false, 0}, 100, 20), 1);
}

}  // namespace
}  // namespace waxwing
