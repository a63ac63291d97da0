#include "waxwing/ticket.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "waxwing/hash.h"

namespace waxwing {
namespace {

ticket SampleTicket() {
  ticket out;
  out.id = {"vm-1", 0x1234, 77};
  out.owner = "vm-2";
  out.owner_incarnation = 0xfeed;
  out.account_hash = Hash64("shop-1");
  out.expires = 1'000'000;
  return out;
}

TEST(Ticket, SerializedTicketParsesToTheSameTicket) {
  const auto read = ReadTicket(WriteTicket(SampleTicket(), "key"), "key");
  ASSERT_TRUE(read);
  EXPECT_EQ(*read, SampleTicket());
}

TEST(Ticket, MacUnderOtherKeyIsRejectedAsForged) {
  const auto read = ReadTicket(WriteTicket(SampleTicket(), "key"), "other");
  ASSERT_FALSE(read);
  EXPECT_EQ(read.error(), ticket_error::kForged);
}

TEST(Ticket, OtherAccountAndTooLateExpiryAreRejected) {
  EXPECT_EQ(CheckTicket(SampleTicket(), "shop-2", 999'000).error(),
            ticket_error::kOtherAccount);
  EXPECT_EQ(CheckTicket(SampleTicket(), "shop-1", 1'000).error(),
            ticket_error::kTooLongLived);
  EXPECT_TRUE(CheckTicket(SampleTicket(), "shop-1", 999'000));
}

RC_GTEST_PROP(Ticket, AnyChangedByteIsRejected, ()) {
  std::string text = WriteTicket(SampleTicket(), "key");
  const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
  const auto byte = *rc::gen::arbitrary<char>();
  RC_PRE(text[at] != byte);
  text[at] = byte;
  RC_ASSERT(!ReadTicket(text, "key"));
}

RC_GTEST_PROP(Ticket, ArbitraryTextIsRejected, (const std::string& text)) {
  RC_ASSERT(!ReadTicket(text, "key"));
}

}  // namespace
}  // namespace waxwing
