#include "waxwing/ticket.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "waxwing/hash.h"

namespace waxwing {
namespace {

ticket Sample() {
  ticket out;
  out.id = {"vm-1", 0x1234, 77};
  out.owner = "vm-2";
  out.owner_incarnation = 0xfeed;
  out.account_hash = Hash64("shop-1");
  out.expires = 1'000'000;
  return out;
}

TEST(Ticket, ReadsBackWhatWasWritten) {
  const auto read = ReadTicket(WriteTicket(Sample(), "key"), "key");
  ASSERT_TRUE(read);
  EXPECT_EQ(*read, Sample());
}

TEST(Ticket, OtherKeyIsForged) {
  const auto read = ReadTicket(WriteTicket(Sample(), "key"), "other");
  ASSERT_FALSE(read);
  EXPECT_EQ(read.error(), ticket_error::kForged);
}

TEST(Ticket, OtherAccountAndTooLongLifeAreRefused) {
  EXPECT_EQ(CheckTicket(Sample(), "shop-2", 999'000).error(),
            ticket_error::kOtherAccount);
  EXPECT_EQ(CheckTicket(Sample(), "shop-1", 1'000).error(),
            ticket_error::kTooLongLived);
  EXPECT_TRUE(CheckTicket(Sample(), "shop-1", 999'000));
}

RC_GTEST_PROP(Ticket, AnyChangedByteIsRefused, ()) {
  std::string text = WriteTicket(Sample(), "key");
  const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
  const auto byte = *rc::gen::arbitrary<char>();
  RC_PRE(text[at] != byte);
  text[at] = byte;
  RC_ASSERT(!ReadTicket(text, "key"));
}

RC_GTEST_PROP(Ticket, AnyTextIsReadWithoutHarm, (const std::string& text)) {
  RC_ASSERT(!ReadTicket(text, "key"));
}

}  // namespace
}  // namespace waxwing
