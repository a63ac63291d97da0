// Tests of the request rates that targets state.

#include <gtest/gtest.h>

#include <map>

#include "platform/workers.h"
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

// The largest number of requests in any window of this length counts.
constexpr seconds kWindow{4};

std::size_t BusiestWindow(const std::vector<instant>& arrivals) {
  std::size_t busiest = 0;
  for (std::size_t first = 0, last = 0; last < arrivals.size(); ++last) {
    while (arrivals[last] - arrivals[first] > kWindow)
      ++first;
    busiest = std::max(busiest, last - first + 1);
  }
  return busiest;
}

std::size_t AllowedInWindow(double rate) {
  return static_cast<std::size_t>(1.5 * rate * kWindow.count() + 5);
}

TEST(TargetRate, StatedRateHoldsForTheSumOfAllVms) {
  constexpr double kRate = 2;
  constexpr std::size_t kVms = 6;
  constexpr milliseconds kSendPeriod{12};
  zone_fixture f(kVms);
  std::vector<instant> arrivals;
  instant stated_at;
  f.AddTarget("t1", "panel", [&](const http_request& request) {
    const instant now = std::chrono::steady_clock::now();
    if (stated_at == instant())
      stated_at = now;
    if (now > stated_at + milliseconds(500))
      arrivals.push_back(now);
    return scripted_response{
        {PlainResponse(200, IdOf(request), "body", "Server-Limit: 2\r\n")}};
  });
  f.AddTarget("t2", "panel", RespondOk);
  ASSERT_TRUE(f.WaitUntilSettled());
  ASSERT_TRUE(f.RunUntil([&] {
    return std::all_of(f.vms.begin(), f.vms.end(), [](const entry& vm) {
      return vm.state->targets.size() == 2;
    });
  }));
  const instant end = std::chrono::steady_clock::now() + seconds(6);
  int served = 0;
  int sent = 0;
  while (std::chrono::steady_clock::now() < end) {
    f.running = f.vms[static_cast<std::size_t>(sent++) % kVms];
    for (const entry& vm : f.vms) {
      placement_state& placement = vm.state->placement;
      placement.targets[vm.state->targets.at("t2").index].added_cost =
          milliseconds(100);
    }
    const auto response = f.Send(kIdempotentPath);
    served += response && response->status == 200 ? 1 : 0;
    f.context.run_for(kSendPeriod);
  }
  f.running = {};
  EXPECT_LE(BusiestWindow(arrivals), AllowedInWindow(kRate));
  EXPECT_GE(BusiestWindow(arrivals), 4u);
  EXPECT_EQ(served, sent);
}

}  // namespace
}  // namespace waxwing
