#include "waxwing/freshness.h"

#include <gtest/gtest.h>

namespace waxwing {
namespace {

constexpr instant kStart = instant{} + seconds(100);

TEST(Freshness, ChangeInAnUninterruptedWatchIsAsOldAsItsArrival) {
  const instant arrived = kStart + seconds(3);
  EXPECT_EQ(EarliestChange(kStart, kStart, arrived), arrived);
}

TEST(Freshness, ChangeMayBeAsOldAsTheGapBeforeTheCall) {
  const instant began = kStart + seconds(4);
  EXPECT_EQ(EarliestChange(kStart, began, began), kStart);
  EXPECT_EQ(EarliestChange(kStart, began, began + seconds(1)),
            kStart + seconds(1));
}

TEST(Freshness, MessageHandledAfterAStallMayHaveArrivedAtItsBeginning) {
  stall_tracker tracker;
  RecordTick(tracker, kStart);
  const instant resumed = kStart + seconds(5);
  EXPECT_EQ(EarliestArrival(tracker, resumed), kStart);
  RecordTick(tracker, resumed);
  EXPECT_EQ(EarliestArrival(tracker, resumed + milliseconds(1)), kStart);
  const instant later = resumed + kStallBacklog + milliseconds(1);
  EXPECT_EQ(EarliestArrival(tracker, later), later);
}

TEST(Freshness, RegularTicksAreNoStall) {
  stall_tracker tracker;
  EXPECT_EQ(EarliestArrival(tracker, kStart), kStart);
  for (int i = 0; i < 20; ++i)
    RecordTick(tracker, kStart + milliseconds(100 * i));
  const instant now = kStart + milliseconds(2'050);
  EXPECT_EQ(EarliestArrival(tracker, now), now);
}

}  // namespace
}  // namespace waxwing
