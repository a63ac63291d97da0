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

}  // namespace
}  // namespace waxwing
