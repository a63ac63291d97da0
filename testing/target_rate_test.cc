// Tests of the request rates that targets state.

#include <gtest/gtest.h>

#include <map>

#include "platform/workers.h"
#include "testing/busiest_window.h"
#include "testing/entry_fixture.h"
#include "waxwing/target_rate.h"

namespace waxwing {
namespace {

using namespace testing_support;  // NOLINT(google-build-using-namespace)

response_info ReadRate(std::string_view text) {
  return platform::ReadResponseHead(
      {200, {{"Server-Limit", std::string(text)}}, ""});
}

TEST(TargetRate, RateIsReadFromAnyResponse) {
  EXPECT_EQ(ReadRate("1.6").rate_limit, 1.6);
  EXPECT_EQ(ReadRate("0").rate_limit, 0);
  EXPECT_EQ(ReadRate("1e6").rate_limit, 1e6);
  EXPECT_FALSE(ReadRate("2").has_invalid_rate_limit);
  for (const std::string_view invalid : {"-1", "soon", "nan", "inf", "1 2"}) {
    EXPECT_FALSE(ReadRate(invalid).rate_limit) << invalid;
    EXPECT_TRUE(ReadRate(invalid).has_invalid_rate_limit) << invalid;
  }
  EXPECT_FALSE(ReadRate("").rate_limit);
  EXPECT_FALSE(ReadRate("").has_invalid_rate_limit);
}

TEST(TargetRate, LateResponseToAnEarlierRequestDoesNotEndTheRate) {
  const instant start{};
  stated_rate known;
  EXPECT_TRUE(RecordStatement(known, 2.0, start, start + seconds(1)));
  EXPECT_FALSE(RecordStatement(known, {}, start, start + seconds(2)));
  EXPECT_EQ(known.per_second, 2.0);
  EXPECT_TRUE(
      RecordStatement(known, {}, start + seconds(3), start + seconds(4)));
  EXPECT_FALSE(known.per_second);
}

TEST(TargetRate, RefusalWithoutMarksStatesARateButDoesNotEndOne) {
  entry_fixture f;
  f.AddTarget("t1", "panel", RespondOk);
  f.Start(1);
  entry_state& state = *f.running.state;
  const auto rate = [&] {
    return state.placement.targets[state.targets.at("t1").index]
        .rate.per_second;
  };
  const auto observe = [&](const response_info& facts) {
    ObserveStatedRate(state, "t1", "r", facts,
                      std::chrono::steady_clock::now());
  };
  observe({.target = "t2", .rate_limit = 3});
  EXPECT_FALSE(rate());
  observe({.not_run = true, .rate_limit = 3});
  EXPECT_EQ(rate(), 3);
  observe({.not_run = true});
  EXPECT_EQ(rate(), 3);
  observe({.has_server_stamp = true});
  EXPECT_FALSE(rate());
}

// The largest number of requests in any window of this length counts.
constexpr seconds kWindow{4};

std::size_t AllowedInWindow(double rate) {
  return static_cast<std::size_t>(1.5 * rate * kWindow.count() + 5);
}

scripted_response StateRate(const http_request& request,
                            std::string_view rate) {
  return {{PlainResponse(
      200, IdOf(request), "body",
      rate.empty() ? "" : "Server-Limit: " + std::string(rate) + "\r\n")}};
}

struct rate_fixture : zone_fixture {
  explicit rate_fixture(std::size_t count) : zone_fixture(count) {}
  ~rate_fixture() { running = {}; }

  bool Settle(std::size_t target_count) {
    return WaitUntilSettled() && RunUntil([&] {
             return std::all_of(vms.begin(), vms.end(), [&](const entry& vm) {
               return vm.state->targets.size() == target_count;
             });
           });
  }
  tl::expected<http_response, http_error> SendTo(std::size_t vm) {
    running = vms[vm];
    return Send(kIdempotentPath);
  }
  // Sends requests until one is served, for 8 s at most.
  bool SendUntilServed(std::size_t vm) {
    const instant limit = std::chrono::steady_clock::now() + seconds(8);
    while (SendTo(vm)->status != 200) {
      if (std::chrono::steady_clock::now() > limit)
        return false;
      context.run_for(milliseconds(50));
    }
    return true;
  }
  bool AllKnowRate(std::optional<double> rate) {
    return RunUntil([&] {
      return std::all_of(vms.begin(), vms.end(), [&](const entry& vm) {
        const auto& state = *vm.state;
        return state.placement.targets[state.targets.at("t1").index]
                   .rate.per_second == rate;
      });
    });
  }
};

TEST(TargetRate, RateAndItsEndReachAllVms) {
  rate_fixture f(5);
  std::string rate = "50";
  f.AddTarget("t1", "panel", [&](const http_request& request) {
    return StateRate(request, rate);
  });
  ASSERT_TRUE(f.Settle(1));
  ASSERT_EQ(f.SendTo(0)->status, 200u);
  EXPECT_TRUE(f.AllKnowRate(50));
  rate = "20";
  ASSERT_TRUE(f.SendUntilServed(1));
  EXPECT_TRUE(f.AllKnowRate(20));
  rate = "";
  ASSERT_TRUE(f.SendUntilServed(2));
  EXPECT_TRUE(f.AllKnowRate({}));
}

TEST(TargetRate, RequestsBeyondTheRatesOfAllTargetsAreRefusedAtOnceAsNotRun) {
  rate_fixture f(3);
  f.AddTarget("t1", "panel",
              [](const http_request& r) { return StateRate(r, "1"); });
  ASSERT_TRUE(f.Settle(1));
  ASSERT_EQ(f.SendTo(0)->status, 200u);
  ASSERT_TRUE(f.AllKnowRate(1));
  int refused = 0;
  for (std::size_t i = 0; i < 30; ++i) {
    const instant sent = std::chrono::steady_clock::now();
    const auto response = f.SendTo(i % 3);
    EXPECT_LT(std::chrono::steady_clock::now() - sent, milliseconds(200));
    if (response->status != 503)
      continue;
    ++refused;
    const double retry_after =
        std::stod(std::string(FindHeader(response->headers, "Retry-After")));
    EXPECT_GT(retry_after, 0.1);
    EXPECT_LT(retry_after, 2.5);
  }
  EXPECT_GE(refused, 28);
  EXPECT_EQ(f.targets[0]->requests.size() + static_cast<std::size_t>(refused),
            31u);
}

TEST(TargetRate, TargetThatTakesNothingIsTriedUntilItsRateEnds) {
  rate_fixture f(3);
  std::string rate = "0";
  f.AddTarget("t1", "panel", [&](const http_request& request) {
    return StateRate(request, rate);
  });
  ASSERT_TRUE(f.Settle(1));
  ASSERT_EQ(f.SendTo(0)->status, 200u);
  ASSERT_TRUE(f.AllKnowRate(0));
  rate = "";
  EXPECT_TRUE(f.SendUntilServed(1));
  EXPECT_TRUE(f.AllKnowRate({}));
}

TEST(TargetRate, StatedRateHoldsForTheSumOfAllVms) {
  constexpr double kRate = 2;
  constexpr std::size_t kVms = 6;
  constexpr milliseconds kSendPeriod{12};
  rate_fixture f(kVms);
  std::vector<instant> arrivals;
  instant stated_at;
  f.AddTarget("t1", "panel", [&](const http_request& request) {
    const instant now = std::chrono::steady_clock::now();
    if (stated_at == instant())
      stated_at = now;
    if (now > stated_at + milliseconds(500))
      arrivals.push_back(now);
    return StateRate(request, "2");
  });
  f.AddTarget("t2", "panel", RespondOk);
  ASSERT_TRUE(f.Settle(2));
  const instant end = std::chrono::steady_clock::now() + seconds(6);
  int served = 0;
  int sent = 0;
  while (std::chrono::steady_clock::now() < end) {
    for (const entry& vm : f.vms) {
      placement_state& placement = vm.state->placement;
      placement.targets[vm.state->targets.at("t2").index].added_cost =
          milliseconds(100);
    }
    const auto response = f.SendTo(static_cast<std::size_t>(sent++) % kVms);
    served += response && response->status == 200 ? 1 : 0;
    f.context.run_for(kSendPeriod);
  }
  EXPECT_LE(BusiestWindow(arrivals, kWindow), AllowedInWindow(kRate));
  EXPECT_GE(BusiestWindow(arrivals, kWindow), 4u);
  EXPECT_EQ(served, sent);
}

}  // namespace
}  // namespace waxwing
