// Configurations with values that the platform allows, and with fields that
// can't be read.

#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <limits>

#include "platform/records.h"
#include "testing/entry_fixture.h"

namespace testing_support {
namespace {

namespace json = boost::json;

json::object Config(int version) {
  return json::parse(EntryConfig(version)).as_object();
}

json::object& Route(json::object& config, std::size_t index) {
  return config["routes"].as_array()[index].as_object();
}

json::object& Account(json::object& config) {
  return config["tenants"].as_array()[0].as_object();
}

route_table Read(const json::object& config) {
  const auto read = platform::ReadConfig(json::serialize(config));
  EXPECT_TRUE(read) << read.error();
  return read.value_or(route_table{});
}

// An entry whose first configuration has a route and a key that later ones
// lack.
struct config_fixture : entry_fixture {
  config_fixture() {
    json::object config = Config(1);
    config["routes"].as_array().push_back(
        EntryRoute("old", "/old/", "idempotent", "panel", 1, false));
    Account(config)["api_keys"] = {"key-1", "key-2"};
    Put(config);
    AddTarget("e1", "llm", StreamTwoEvents);
    AddTarget("p1", "panel", RespondOk);
    Start(2);
  }
  void Put(const json::object& config) {
    PutObject(*store, "config", "main", json::serialize(config));
  }
  bool IsInForce(int version) {
    return RunUntil([&] { return running.state->table->version == version; });
  }
  unsigned StatusOf(std::string_view path, const std::string& key = "key-1") {
    const auto response = Send(path, {}, key);
    return response ? response->status : 0;
  }
  double Gauge(std::string_view name) const {
    const auto& gauges = running.state->stats.gauges;
    const auto found = gauges.find(name);
    return found == gauges.end() ? 0 : found->second;
  }
};

// A route or an account that ranked below 9 kept the whole configuration out,
// so that a key and a route that had been taken away went on to work.
TEST(ConfigReading, ConfigurationWithLowRanksIsInForce) {
  config_fixture f;
  ASSERT_EQ(f.StatusOf("/old/x", "key-2"), 200u);
  json::object config = Config(2);
  for (const auto& [index, rank] :
       {std::pair<std::size_t, std::int64_t>{0, 10}, {1, 11}, {2, 1'000'000}})
    Route(config, index)["priority"] = rank;
  Account(config)["priority"] = 12;
  f.Put(config);
  EXPECT_TRUE(f.IsInForce(2));
  EXPECT_EQ(f.StatusOf("/old/x"), 404u);
  EXPECT_EQ(f.StatusOf(kIdempotentPath, "key-2"), 401u);
  EXPECT_EQ(f.StatusOf(kStreamPath), 200u);
  EXPECT_EQ(
      FindHeader(f.targets[0]->requests.back().headers, "Request-Priority"),
      "9");
}

// Numbers that the pages allow were taken for errors.
TEST(ConfigReading, NumbersOfAnySizeAreRead) {
  const auto set = [](json::object& config, std::string_view where,
                      std::string_view field, std::int64_t value) {
    if (where == "route")
      Route(config, 0)[field] = value;
    else if (where == "account")
      Account(config)[field] = value;
    else if (where == "limits")
      config["limits"] = json::object{{field, value}};
    else if (where == "service")
      config["services"].as_array()[0].as_object()[field] = value;
    else
      config["services"].as_array()[0].at("engine").as_object()[field] = value;
  };
  const std::pair<std::string_view, std::string_view> fields[] = {
      {"route", "timeout_ms"},       {"route", "slo_ms"},
      {"route", "gap_target_ms"},    {"route", "priority"},
      {"route", "max_attempts"},     {"account", "priority"},
      {"account", "rate_per_s"},     {"account", "burst"},
      {"account", "plain_tokens"},   {"limits", "max_header_bytes"},
      {"limits", "max_body_bytes"},  {"limits", "header_timeout_ms"},
      {"limits", "idle_timeout_ms"}, {"service", "max_conns"},
      {"engine", "slots"},           {"engine", "kv_capacity"},
      {"engine", "kv_bytes"},        {"engine", "link_mbps"},
      {"engine", "max_inflight"},
  };
  for (const auto& [where, field] : fields) {
    for (const std::int64_t value :
         {std::int64_t{0}, std::int64_t{1}, std::int64_t{10},
          std::int64_t{1'001}, std::int64_t{100'000'000}, std::int64_t{1} << 33,
          std::int64_t{1} << 53, std::numeric_limits<std::int64_t>::max()}) {
      json::object config = Config(1);
      set(config, where, field, value);
      const route_table table = Read(config);
      EXPECT_EQ(table.problem_count, 0u) << where << "." << field << value;
      const route& first = *FindRoute(table, "calls.example", "/chat/x");
      EXPECT_GT(first.timeout, milliseconds(0));
      EXPECT_GT(std::chrono::steady_clock::now() + 4 * first.timeout,
                std::chrono::steady_clock::now());
      EXPECT_GE(RequestPriority(table, first, table.account_of_key.at("key-1")),
                0);
    }
  }
}

TEST(ConfigReading, LargeLimitsOfCallersAreNotReplacedByTheDefault) {
  json::object config = Config(1);
  config["limits"] = json::object{{"max_header_bytes", 33'554'432},
                                  {"max_body_bytes", 2'147'483'648}};
  const route_table table = Read(config);
  EXPECT_EQ(table.limits.header_bytes, 33'554'432u);
  EXPECT_EQ(table.limits.body_bytes, 2'147'483'648u);
}

// One field that can't be read kept a key and a route that had been taken away
// in force.
TEST(ConfigReading, RevocationsHoldBesideFieldsThatCanNotBeRead) {
  for (const char* field :
       {"name", "route_type", "timeout_ms", "slo_ms", "gap_target_ms",
        "priority", "max_attempts", "anonymous", "can_resume", "sticky"}) {
    config_fixture f;
    json::object config = Config(2);
    Route(config, 2)[field] = json::array{"odd"};
    config["routes"].as_array().emplace_back(7);
    config["services"].as_array().emplace_back("odd");
    f.Put(config);
    ASSERT_TRUE(f.IsInForce(2)) << field;
    EXPECT_EQ(f.StatusOf("/old/x"), 503u) << field;
    EXPECT_EQ(f.StatusOf(kIdempotentPath, "key-2"), 401u) << field;
    EXPECT_EQ(f.StatusOf(kIdempotentPath), 200u) << field;
    EXPECT_EQ(f.StatusOf(kNonIdempotentPath), 200u) << field;
    EXPECT_EQ(f.Gauge("waxwing_config_unreadable_fields"), 3) << field;
  }
}

TEST(ConfigReading, RouteWithoutServicesThatCanBeReadIsRefusedAsNotRun) {
  config_fixture f;
  json::object config = Config(2);
  Route(config, 2)["service"] = 7;
  Route(config, 3)["backends"] = json::array{
      "odd", json::object{{"service", "panel"}, {"weight", "much"}}};
  f.Put(config);
  ASSERT_TRUE(f.IsInForce(2));
  EXPECT_EQ(f.StatusOf(kNonIdempotentPath), 503u);
  EXPECT_EQ(f.StatusOf(kIdempotentPath), 200u);
}

// A list of accounts that was no list let everybody in.
TEST(ConfigReading, AccountsThatCanNotBeReadLetNobodyIn) {
  for (const json::value& accounts :
       {json::value(json::object()), json::value(json::array{7}),
        json::value(json::array{json::object{{"name", "shop"}}})}) {
    config_fixture f;
    json::object config = Config(2);
    config["tenants"] = accounts;
    f.Put(config);
    EXPECT_TRUE(
        f.RunUntil([&] { return f.Gauge("waxwing_config_unreadable") == 1; }));
    EXPECT_EQ(f.StatusOf(kIdempotentPath, ""), 401u);
    EXPECT_EQ(f.StatusOf(kIdempotentPath, "key-1"), 200u);
  }
}

TEST(ConfigReading, RequestWithAKeyThatMayBeAnUnreadableOneIsRefusedAsNotRun) {
  for (const json::value& unreadable :
       {json::value(7), json::value(json::object{{"name", "desk"}}),
        json::value(
            json::object{{"name", "desk"}, {"api_keys", json::array{7}}})}) {
    config_fixture f;
    json::object config = Config(2);
    config["tenants"].as_array().push_back(unreadable);
    f.Put(config);
    ASSERT_TRUE(f.IsInForce(2));
    EXPECT_EQ(f.StatusOf(kIdempotentPath, "key-2"), 503u) << unreadable;
    EXPECT_EQ(f.StatusOf(kIdempotentPath), 200u) << unreadable;
  }
}

// A limit that can't be read must not lift the one before.
TEST(ConfigReading, UnreadableLimitOfAnAccountKeepsTheOneBefore) {
  for (const char* field : {"rate_per_s", "burst", "plain_tokens", "unit"}) {
    for (const json::value& value :
         {json::value(json::array{"many"}), json::value(json::object())}) {
      config_fixture f;
      json::object limited = Config(2);
      Account(limited)["rate_per_s"] = 500;
      Account(limited)["burst"] = 900;
      f.Put(limited);
      ASSERT_TRUE(f.IsInForce(2));
      json::object unreadable = Config(3);
      Account(unreadable)["rate_per_s"] = 700;
      Account(unreadable)[field] = value;
      f.Put(unreadable);
      ASSERT_TRUE(f.IsInForce(3));
      const account_limit before{500, 900, false, 1};
      const route_table& table = *f.running.state->table;
      EXPECT_EQ(table.account_of_key.at("key-1").limit, before) << field;
      EXPECT_EQ(table.limits_by_account.at("shop"), before) << field;
    }
  }
}

TEST(ConfigReading, AccountIsRefusedIfNoReadableLimitIsKnown) {
  for (const json::value& rate : {json::value("many"), json::value(-5)}) {
    entry_fixture f;
    json::object config = Config(1);
    Account(config)["rate_per_s"] = rate;
    PutObject(*f.store, "config", "main", json::serialize(config));
    f.AddTarget("p1", "panel", RespondOk);
    f.Start(1);
    const auto response = f.Send(kIdempotentPath);
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 503u);
    EXPECT_TRUE(f.targets[0]->requests.empty());
  }
}

TEST(ConfigReading, ConfigurationWithoutAVersionLeavesTheOneBeforeInForce) {
  config_fixture f;
  json::object config = Config(2);
  config["version"] = "two";
  f.Put(config);
  EXPECT_TRUE(
      f.RunUntil([&] { return f.Gauge("waxwing_config_unreadable") == 1; }));
  EXPECT_EQ(f.StatusOf("/old/x"), 200u);
  f.Put(Config(3));
  EXPECT_TRUE(f.IsInForce(3));
  EXPECT_EQ(f.Gauge("waxwing_config_unreadable"), 0);
}

}  // namespace
}  // namespace testing_support
