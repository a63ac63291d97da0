// The platform's protocol adapter and settings: valid, malformed and hostile
// input, and the headers that are passed on to targets.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <boost/json.hpp>

#include "platform/ingress.h"
#include "platform/records.h"
#include "platform/settings.h"
#include "platform/workers.h"

namespace waxwing::platform {
namespace {

constexpr std::string_view kSettings = R"({
  "node_name": "front-a-1", "zone": "a", "region": "r", "new_field": [1],
  "listen": {"front": "10.0.0.1:1", "ready": "10.0.0.1:2",
             "control": "10.0.0.1:3", "directory": "10.0.0.1:4"},
  "seeds": ["10.0.0.2:3"], "heartbeat_ms": 1200,
  "limits": {"cpu_share": 0.25, "cores": 1, "max_fds": 4100},
  "bounds": {"lease_ms": 3000, "version_ms": 8000, "grace_s": 8,
             "retry_ratio": 0.2, "retry_slack": 54},
  "platform": {"address": "10.200.1.7:8784"}})";

TEST(PlatformSettings, ParsesSettingsFile) {
  const auto read = ReadSettings(kSettings);
  ASSERT_TRUE(read) << read.error();
  EXPECT_EQ(read->vm, "front-a-1");
  EXPECT_EQ(ToText(read->callers), "10.0.0.1:1");
  EXPECT_EQ(read->bounds.stop_timeout, seconds(8));
  EXPECT_EQ(read->bounds.retry_allowance, 54);
  ASSERT_EQ(read->seeds.size(), 1u);
}

TEST(PlatformSettings, ErrorNamesInvalidField) {
  const auto read_with = [](std::string_view old_text,
                            std::string_view new_text) {
    std::string text(kSettings);
    text.replace(text.find(old_text), old_text.size(), new_text);
    return ReadSettings(text);
  };
  EXPECT_NE(read_with("\"node_name\"", "\"x\"").error().find("node_name"),
            std::string::npos);
  EXPECT_NE(read_with("10.0.0.1:2", "nowhere").error().find("listen.ready"),
            std::string::npos);
  EXPECT_NE(read_with("3000", "\"3\"").error().find("bounds.lease_ms"),
            std::string::npos);
  EXPECT_FALSE(ReadSettings(kSettings.substr(0, 200)));
}

RC_GTEST_PROP(PlatformInput, AnyTextIsParsedOrRejected, (std::string text)) {
  (void)ReadSettings(text);
  (void)ReadConfig(text);
  (void)ReadTargetRecord("name", text);
  (void)ReadDesiredWeights(text);
  http_request request{"POST", "/x", {{"Request-Id", "r"}}, ""};
  for (const char* name : {"Deadline-Ms", "Prefix-Hash", "Token-Count",
                           "Last-Event-Id", "Authorization", "Connection"}) {
    request.headers.resize(1);
    request.headers.push_back({name, text});
    (void)ReadCallerRequest(request);
  }
}

http_request Request(http_headers headers) {
  headers.push_back({"Request-Id", "r"});
  return {"POST", "/x", std::move(headers), "body"};
}

TEST(PlatformIngress, ParsesPromptSegments) {
  const auto read =
      ReadCallerRequest(Request({{"Prefix-Hash", "5c1e07a2:800,91bd3f06:410"},
                                 {"Token-Count", "1460,80"},
                                 {"Authorization", "Token abc"}}));
  ASSERT_TRUE(read);
  ASSERT_EQ(read->segments.size(), 2u);
  EXPECT_EQ(read->segments[0].id, 0x5c1e07a2u);
  EXPECT_EQ(read->segments[1].tokens, 410u);
  EXPECT_EQ(read->prompt_tokens, 1'460u);
  EXPECT_EQ(read->output_tokens, 80u);
  EXPECT_EQ(read->account_key, "abc");
}

TEST(PlatformIngress, RejectsMalformedHeaders) {
  for (const http_header& invalid_header :
       http_headers{{"Deadline-Ms", "-1"},
                    {"Deadline-Ms", "soon"},
                    {"Token-Count", "1"},
                    {"Prefix-Hash", "xyz:1"},
                    {"Prefix-Hash", "1:"},
                    {"Last-Event-Id", "one"}})
    EXPECT_FALSE(ReadCallerRequest(Request({invalid_header})))
        << invalid_header.value;
  EXPECT_FALSE(ReadCallerRequest({"GET", "/", {}, ""}));
}

TEST(PlatformIngress, DropsReservedAndConnectionHeaders) {
  const auto read = ReadCallerRequest(Request({{"Hold", "1"},
                                               {"pin-ms", "9"},
                                               {"KV-FROM", "x"},
                                               {"Kv-Backup", "x"},
                                               {"Request-Priority", "0"},
                                               {"Cache-Salt", "x"},
                                               {"Tenant", "x"},
                                               {"Expect-Version", "1"},
                                               {"Keep-Alive", "5"},
                                               {"Connection", "X-Mine"},
                                               {"X-Mine", "1"},
                                               {"X-Other", "2"},
                                               {"Model", "m"}}));
  ASSERT_TRUE(read);
  std::string names;
  for (const http_header& header : read->forwarded_headers)
    names += header.name + " ";
  EXPECT_EQ(names, "X-Other Model Request-Id ");
}

TEST(PlatformWorkers, ReadsNotExecutedAndLoadFromResponseHead) {
  const auto read_head = [](unsigned status, http_headers headers) {
    return ReadResponseHead({status, std::move(headers), ""});
  };
  EXPECT_TRUE(read_head(503, {{"Not-Executed", "1"}}).not_run);
  EXPECT_TRUE(read_head(421, {}).not_run);
  EXPECT_FALSE(read_head(503, {}).not_run);
  EXPECT_FALSE(read_head(500, {}).not_run);
  const auto load = read_head(200, {{"Instance-Load", "3,1,8"}}).current_load;
  ASSERT_TRUE(load);
  EXPECT_EQ(load->waiting, 1);
  EXPECT_FALSE(read_head(200, {{"Instance-Load", "3,1"}}).current_load);
  EXPECT_FALSE(read_head(200, {{"Instance-Load", "a,b,c"}}).current_load);
}

TEST(PlatformWorkers, LoadHeaderWithFiguresOutOfRangeStatesNoLoad) {
  const auto read_load = [](std::string text) {
    return ReadResponseHead({200, {{"Instance-Load", std::move(text)}}, ""})
        .current_load;
  };
  for (const char* text :
       {"-1,0,8", "0,-2147483648,8", "1,1,-8", "2147483647,2147483647,8"})
    EXPECT_FALSE(read_load(text)) << text;
  for (const char* text :
       {"1,1,8,-5", "1,1,8,1e308", "1,1,8,1e-300", "1,1,8,inf", "1,1,8,nan"}) {
    const auto load = read_load(text);
    ASSERT_TRUE(load) << text;
    EXPECT_FALSE(load->slowdown) << text;
  }
}

TEST(PlatformWorkers, ReadsKnownFiguresOfLoadHeaderWithMoreFigures) {
  const auto read_load = [](std::string text) {
    return ReadResponseHead({200, {{"Instance-Load", std::move(text)}}, ""})
        .current_load;
  };
  const auto three = read_load("3,1,8");
  ASSERT_TRUE(three);
  EXPECT_FALSE(three->slowdown);
  for (const char* text : {"3,1,8,250", "3,1,8,250,7", "3,1,8,250,x,y"}) {
    const auto load = read_load(text);
    ASSERT_TRUE(load) << text;
    EXPECT_EQ(load->running, 3);
    EXPECT_EQ(load->waiting, 1);
    EXPECT_EQ(load->slots, 8);
    EXPECT_DOUBLE_EQ(load->slowdown.value_or(0), 2.5) << text;
  }
  for (const char* text :
       {"3,1,8,", "3,1,8,x", "3,1,8,-5", "3,1,8,0", "3,1,8,inf", "3,1,8,nan"}) {
    const auto load = read_load(text);
    ASSERT_TRUE(load) << text;
    EXPECT_FALSE(load->slowdown) << text;
  }
  for (const char* text : {"3,,8,100", ",,,", "3,1,8x,100", ""})
    EXPECT_FALSE(read_load(text)) << text;
}

TEST(PlatformRecords, ParsesTargetRecordWithWeights) {
  const auto read = ReadTargetRecord(
      "i-1",
      R"({"service":"s","address":"10.0.0.9:80","zone":"a","slots":8,
          "state":"draining","born":17,
          "models":[{"name":"m","version":4,"adapters":[]}]})");
  ASSERT_TRUE(read) << read.error();
  EXPECT_TRUE(read->is_draining);
  EXPECT_EQ(read->incarnation, 17);
  EXPECT_EQ(read->models, (std::vector<model_weights>{{"m", 4}}));
}

TEST(PlatformRecords, RejectsInvalidTargetRecords) {
  for (
      const char* text :
      {R"({"service":"s"})",
       R"({"service":"s","address":"x","zone":"a","slots":8,"state":"ready"})",
       R"({"service":"s","address":"1.2.3.4:5","zone":"a","slots":8,"state":"new"})",
       R"({"service":"s","address":"1.2.3.4:5","zone":"a","slots":"8","state":"ready"})"})
    EXPECT_FALSE(ReadTargetRecord("i-1", text)) << text;
}

TEST(PlatformRecords, InvalidIsolatedFlagIsolatesAccount) {
  const auto read = ReadConfig(
      R"({"version":1,"tenants":[{"name":"a","api_keys":["k"],"isolated":"no"}]})");
  ASSERT_TRUE(read);
  EXPECT_TRUE(read->account_of_key.at("k").is_isolated);
}

TEST(PlatformRecords, ParsesAccountLimits) {
  const auto read = ReadConfig(
      R"({"version":1,"tenants":[
          {"name":"a","api_keys":["k"],"unit":"tokens","plain_tokens":200,
           "rate_per_s":500.5,"burst":900},
          {"name":"b","api_keys":["l"],"rate_per_s":3,"burst":2},
          {"name":"c","api_keys":["m"],"rate_per_s":0,"burst":2},
          {"name":"d","api_keys":["n"]}]})");
  ASSERT_TRUE(read) << read.error();
  EXPECT_EQ(read->account_of_key.at("k").limit,
            (account_limit{500.5, 900, true, 200}));
  EXPECT_EQ(read->account_of_key.at("l").limit,
            (account_limit{3, 2, false, 1}));
  EXPECT_FALSE(read->account_of_key.at("m").limit);
  EXPECT_FALSE(read->account_of_key.at("n").limit);
  EXPECT_EQ(read->limits_by_account.size(), 2u);
}

TEST(PlatformRecords, InvalidAccountLimitIsNoLimitAndNoAbsenceOfOne) {
  const auto read = ReadConfig(
      R"({"version":1,"tenants":[{"name":"a","api_keys":["k"],
          "rate_per_s":"many"}]})");
  ASSERT_TRUE(read);
  EXPECT_TRUE(read->account_of_key.at("k").has_unreadable_limit);
  EXPECT_FALSE(read->account_of_key.at("k").limit);
}

}  // namespace
}  // namespace waxwing::platform
