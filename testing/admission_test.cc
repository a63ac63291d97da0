// Tests of admission control and the retry budget: token buckets, the fair
// queue and account usage.

#include "waxwing/admission.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

#include "waxwing/retry.h"

namespace waxwing {
namespace {

constexpr int kAccounts = 3;

RC_GTEST_PROP(TokenBucket, AdmitsAtMostRateAndBurst, ()) {
  const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 500), rc::gen::inRange(1, 300)));
  const double rate = 100;
  const double burst = 200;
  instant now{};
  token_bucket bucket = MakeTokenBucket(rate, burst, now);
  double taken = 0;
  double largest = 0;
  for (const auto& [gap, amount] : steps) {
    now += milliseconds(gap);
    if (TakeTokens(bucket, amount, now) == duration::zero()) {
      taken += amount;
      largest = std::max(largest, static_cast<double>(amount));
    }
    // A request larger than the burst may leave the level negative.
    const double allowed = burst + rate * ToSeconds(now - instant{}) +
                           std::max(0.0, largest - burst);
    RC_ASSERT(taken <= allowed + 1e-6);
  }
}

RC_GTEST_PROP(TokenBucket, ReturnedWaitIsSufficient, ()) {
  const auto amount = *rc::gen::inRange(1, 500);
  instant now{};
  token_bucket bucket = MakeTokenBucket(100, 200, now);
  TakeTokens(bucket, 200, now);
  const duration wait = TakeTokens(bucket, amount, now);
  RC_ASSERT(wait > duration::zero());
  now += wait + milliseconds(1);
  RC_ASSERT(TakeTokens(bucket, amount, now) == duration::zero());
}

TEST(TokenBucket, ZeroRateMeansUnlimited) {
  token_bucket bucket = MakeTokenBucket(0, 0, instant{});
  EXPECT_EQ(TakeTokens(bucket, 1e9, instant{}), duration::zero());
}

TEST(TokenBucket, FirstLimitStartsWithAFullBucket) {
  token_bucket bucket = MakeTokenBucket(0, 0, instant{});
  SetLimit(bucket, 10, 100, instant{});
  EXPECT_EQ(TakeTokens(bucket, 100, instant{}), duration::zero());
  EXPECT_GT(TakeTokens(bucket, 1, instant{}), duration::zero());
}

TEST(TokenBucket, ReturnedTokensAreCappedAtTheBurst) {
  token_bucket bucket = MakeTokenBucket(10, 100, instant{});
  EXPECT_EQ(TakeTokens(bucket, 100, instant{}), duration::zero());
  ReturnTokens(bucket, 100);
  ReturnTokens(bucket, 100);
  EXPECT_EQ(TakeTokens(bucket, 100, instant{}), duration::zero());
  EXPECT_GT(TakeTokens(bucket, 1, instant{}), duration::zero());
}

struct test_request {
  int account;
  int priority;
  int cost;
};

// While two accounts both have queued requests, their served work differs by at
// most the sum of the largest request of each.
RC_GTEST_PROP(FairQueue, ServesBackloggedAccountsEvenly, ()) {
  const auto requests = *rc::gen::container<std::vector<test_request>>(
      30, rc::gen::construct<test_request>(rc::gen::inRange(0, kAccounts),
                                           rc::gen::just(4),
                                           rc::gen::inRange(1, 50)));
  fair_queue queue;
  std::map<std::uint64_t, test_request> by_id;
  std::map<int, int> remaining;
  std::uint64_t id = 0;
  for (const test_request& r : requests) {
    Enqueue(queue, std::to_string(r.account), r.priority, r.cost, ++id);
    by_id[id] = r;
    ++remaining[r.account];
  }
  std::map<int, int> served;
  while (!queue.waiting.empty()) {
    const queue_position next = *queue.waiting.begin();
    const test_request r = by_id.at(next.id);
    Dequeue(queue, next);
    served[r.account] += r.cost;
    --remaining[r.account];
    for (int a = 0; a < kAccounts; ++a) {
      if (remaining[a] > 0 && remaining[r.account] > 0)
        RC_ASSERT(served[r.account] - served[a] <= 100);
    }
  }
}

RC_GTEST_PROP(FairQueue, ServesHigherPriorityFirst, ()) {
  const auto requests = *rc::gen::container<std::vector<test_request>>(
      rc::gen::construct<test_request>(rc::gen::inRange(0, kAccounts),
                                       rc::gen::inRange(0, 10),
                                       rc::gen::inRange(1, 50)));
  fair_queue queue;
  std::uint64_t id = 0;
  for (const test_request& r : requests)
    Enqueue(queue, std::to_string(r.account), r.priority, r.cost, ++id);
  int last = 9;
  while (!queue.waiting.empty()) {
    const queue_position next = *queue.waiting.begin();
    RC_ASSERT(next.priority <= last);
    last = next.priority;
    Dequeue(queue, next);
  }
}

TEST(FairQueue, FloodDelaysOnlyItsOwnAccount) {
  fair_queue queue;
  std::uint64_t id = 0;
  for (int i = 0; i < 1'000; ++i)
    Enqueue(queue, "flood", 4, 100, ++id);
  Dequeue(queue, *queue.waiting.begin());
  const queue_position quiet = Enqueue(queue, "quiet", 4, 100, ++id);
  const auto ahead =
      std::distance(queue.waiting.begin(), queue.waiting.find(quiet));
  EXPECT_LE(ahead, 1);
}

TEST(FairQueue, FinishTimesOfIdleAccountsAreDropped) {
  fair_queue queue;
  for (std::uint64_t id = 1; id <= 10'000; ++id) {
    Enqueue(queue, "account-" + std::to_string(id), 4, 1, id);
    Dequeue(queue, *queue.waiting.begin());
    // Moves the virtual time past the finish time of the request served.
    queue.virtual_time[4] += 1;
  }
  EXPECT_LT(queue.account_finish_time.size(), 2'000u);
}

TEST(AccountUsage, OnlyTheFloodingAccountIsDominant) {
  account_usage usage;
  RecordArrival(usage, "flood", instant{});
  for (int i = 0; i < 30; ++i)
    RecordStarted(usage, "flood");
  // The only active account is never dominant.
  EXPECT_FALSE(IsDominant(usage, "flood"));
  RecordArrival(usage, "quiet", instant{} + seconds(5));
  RecordStarted(usage, "quiet");
  EXPECT_TRUE(IsDominant(usage, "flood"));
  EXPECT_FALSE(IsDominant(usage, "quiet"));
  RecordEnded(usage, "quiet");
  RemoveIdleAccounts(usage, instant{} + kAccountIdleTimeout + seconds(1));
  EXPECT_EQ(usage.last_seen.size(), 1u);
}

TEST(RetryBudget, RetriesAreBoundedWhenEveryRequestFails) {
  retry_budget budget;
  int retries = 0;
  for (int request = 0; request < 10'000; ++request) {
    EarnRetry(budget);
    while (SpendRetry(budget))
      ++retries;
  }
  EXPECT_LE(retries,
            10'000 * budget.retries_per_request + budget.max_balance + 1);
}

// All VMs have saved up retries, spend them, and are killed at once.
TEST(RetryBudget, SumOverVmsHoldsWhenAllRestartWithinTheWindow) {
  constexpr std::size_t kVms = 6;
  constexpr int kRequestsPerVm = 50;
  constexpr double kRatio = 0.2;
  constexpr double kAllowance = 54;
  int retries = 0;
  int requests = 0;
  for (std::size_t vm = 0; vm < kVms; ++vm) {
    retry_budget budget = MakeSharedBudget(kAllowance, kVms);
    budget.retries_per_request = kRatio;
    // Before the window.
    for (int request = 0; request < 1'000; ++request)
      EarnRetry(budget);
    for (int start = 0; start < 2; ++start) {
      for (int request = 0; request < kRequestsPerVm; ++request) {
        ++requests;
        EarnRetry(budget);
        while (SpendRetry(budget))
          ++retries;
      }
      budget = MakeSharedBudget(kAllowance, kVms);
      budget.retries_per_request = kRatio;
    }
  }
  EXPECT_LE(retries, kRatio * requests + kAllowance);
}

}  // namespace
}  // namespace waxwing
