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

TEST(Freshness, MessageIsHeldUpByItsDelayOverTheFastestOne) {
  // The sender's clock is behind by an hour, or loses a millisecond a minute.
  transit_tracker tracker;
  for (int i = 0; i < 600; ++i) {
    const instant sent = kStart + seconds(i);
    const instant arrived = sent + seconds(3'600) + milliseconds(i / 60);
    EXPECT_LE(RecordTransit(tracker, sent, arrived), milliseconds(2));
  }
  const instant healed = kStart + seconds(3'600 + 700);
  for (int i = 600; i < 700; ++i) {
    const duration held_up = healed - (kStart + seconds(3'600 + i));
    EXPECT_GE(RecordTransit(tracker, kStart + seconds(i), healed),
              held_up - milliseconds(20));
  }
}

}  // namespace
}  // namespace waxwing
