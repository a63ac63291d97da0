#include "waxwing/native_adapter.h"

#include <gtest/gtest.h>

namespace waxwing {
namespace {

TEST(NativeAdapter, SplitsServicePathIntoNameAndTarget) {
  struct expectation {
    std::string target;
    std::string name;
    std::string path;
    std::string forwarded;
  };
  const expectation cases[] = {
      {"/v1/services/panel/stop", "panel", "/stop", "/stop"},
      {"/v1/services/panel", "panel", "/", "/"},
      {"/v1/services/panel?x=1", "panel", "/", "/?x=1"},
      {"/v1/services/panel/?x=/a", "panel", "/", "/?x=/a"},
      {"/v1/services/panel/a/b?x=1", "panel", "/a/b", "/a/b?x=1"},
      {"/v1/services/", "", "/", "/"},
  };
  for (const expectation& expected : cases) {
    const service_call read = ReadServiceCall(expected.target);
    EXPECT_EQ(read.name, expected.name) << expected.target;
    EXPECT_EQ(read.path, expected.path) << expected.target;
    EXPECT_EQ(read.request_target, expected.forwarded) << expected.target;
  }
}

TEST(NativeAdapter, ParsesCallerHeaders) {
  const protocol_adapter protocol = MakeNativeAdapter();
  const http_request request{"POST",
                             "/v1/chat/completions",
                             {{"authorization", "Bearer k1"},
                              {"X-Priority", "3"},
                              {"X-Deadline-Ms", "1500"},
                              {"X-Non-Idempotent", "true"},
                              {"X-Ticket", "t"}},
                             ""};
  const auto read = protocol.read_request(request);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->account_key, "k1");
  EXPECT_EQ(read->priority, 3);
  EXPECT_EQ(read->time_left, milliseconds(1500));
  EXPECT_TRUE(read->is_non_idempotent);
  EXPECT_EQ(read->ticket, "t");
}

TEST(NativeAdapter, RejectsInvalidHeaders) {
  const protocol_adapter protocol = MakeNativeAdapter();
  const http_header invalid_headers[] = {
      {"X-Priority", "10"},
      {"X-Priority", "1x"},
      {"X-Deadline-Ms", "0"},
      {"X-Deadline-Ms", "-4"},
      {"X-Deadline-Ms", "99999999999999999999"},
      {"X-Non-Idempotent", "yes"}};
  for (const http_header& header : invalid_headers) {
    const auto read = protocol.read_request({"POST", "/", {header}, ""});
    ASSERT_FALSE(read) << header.name << ": " << header.value;
    EXPECT_TRUE(read.error().starts_with(header.name)) << read.error();
  }
}

TEST(NativeAdapter, WritesResumeTokenAndDeliveredText) {
  const protocol_adapter protocol = MakeNativeAdapter();
  attempt_parameters parameters;
  parameters.request_id = "r1";
  parameters.attempt = 2;
  parameters.weights_name = "v1";
  parameters.resume_from_token = 3;
  parameters.delivered = "a\\\"b";
  parameters.is_resume_only = true;
  const http_request target_request = protocol.write_target_request(
      MakeChatRequest(R"({"model":"m"})"), {}, parameters);
  EXPECT_EQ(target_request.body, R"({"model":"m","delivered":"a\"b"})");
  EXPECT_EQ(FindHeader(target_request.headers, "X-Resume-From"), "3");
  EXPECT_EQ(FindHeader(target_request.headers, "X-Attempt"), "2");
  EXPECT_EQ(FindHeader(target_request.headers, "X-Expect-Version"), "v1");
}

TEST(NativeAdapter, MissingOrInvalidHeadersGiveDefaults) {
  const response_info info =
      MakeNativeAdapter().read_response_head({200, {{"X-Attempt", "two"}}, ""});
  EXPECT_EQ(info.attempt, 0);
  EXPECT_EQ(info.boot_id, 0u);
  EXPECT_TRUE(info.request_id.empty());
}

}  // namespace
}  // namespace waxwing
