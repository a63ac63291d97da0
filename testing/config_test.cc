// Tests of configuration shards, intents and malformed input.

#include "waxwing/config.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "waxwing/intent.h"
#include "waxwing/root.h"

namespace waxwing {
namespace {

config SampleConfig() {
  const auto imported = ApplyIntent(config(), R"({"kind":"import","config":{
    "models":[{"name":"triage","versions":[{"version":"v1","percent":100}]}],
    "services":[{"name":"panel","non_idempotent_paths":["/stop"]}],
    "targets":[
      {"name":"e0","kind":"model","address":"127.0.0.1:1","zone":"a",
       "serves":"triage","version":"v1"},
      {"name":"e1","kind":"model","address":"127.0.0.1:2","zone":"b",
       "serves":"triage","version":"v1"},
      {"name":"e2","kind":"model","address":"127.0.0.1:3","zone":"b",
       "serves":"triage","version":"v1"},
      {"name":"s0","kind":"application","address":"127.0.0.1:4","zone":"a",
       "serves":"panel"}],
    "accounts":[{"name":"shop-1","key":"k1"},{"name":"shop-2","key":"k2"}]}})");
  EXPECT_TRUE(imported) << imported.error().message;
  return *imported;
}

config Apply(const config& before, std::string_view intent) {
  const auto after = ApplyIntent(before, intent);
  EXPECT_TRUE(after) << after.error().message;
  return after.value_or(config());
}

std::string ErrorMessage(const config& before, std::string_view intent) {
  const auto after = ApplyIntent(before, intent);
  return after ? "accepted" : after.error().message;
}

TEST(Config, ShardsAssembleToTheSameConfiguration) {
  const config before = SampleConfig();
  std::vector<std::string> hashes;
  const auto shards = SplitIntoShards(before, hashes);
  config_root root;
  root.generation = before.generation;
  root.shards = hashes;
  const auto after = AssembleConfig(root, shards);
  ASSERT_TRUE(after);
  EXPECT_EQ(*after, before);
}

TEST(Config, ShardThatDoesNotMatchItsHashIsRejected) {
  std::vector<std::string> hashes;
  auto shards = SplitIntoShards(SampleConfig(), hashes);
  shards[hashes[0]] += " ";
  config_root root;
  root.generation = 1;
  root.shards = hashes;
  EXPECT_FALSE(AssembleConfig(root, shards));
}

TEST(Config, RolloutChangesShareAndTargetVersions) {
  const config after = Apply(
      SampleConfig(),
      R"({"kind":"roll_out","model":"triage","version":"v2","percent":30})");
  const auto& versions = after.models.at("triage").versions;
  ASSERT_EQ(versions.size(), 2u);
  EXPECT_EQ(versions[0], (version_share{"v1", 70}));
  EXPECT_EQ(versions[1], (version_share{"v2", 30}));
  int target_count = 0;
  for (const auto& [name, target] : after.targets)
    target_count += target.version == "v2";
  EXPECT_EQ(target_count, 1);
}

TEST(Config, AccountsOfAVersionKeepItWhenItsShareGrows) {
  config configuration = SampleConfig();
  const auto rolled_out = [&](int percent) {
    return Apply(SampleConfig(), R"({"kind":"roll_out","model":"triage",)"
                                 R"("version":"v2","percent":)" +
                                     std::to_string(percent) + "}");
  };
  const config at_10_percent = rolled_out(10);
  const config at_50_percent = rolled_out(50);
  int new_count = 0;
  for (int i = 0; i < 500; ++i) {
    const std::string account = "account-" + std::to_string(i);
    const bool is_new_at_10 =
        VersionForAccount(at_10_percent, account, "triage") == "v2";
    const bool is_new_at_50 =
        VersionForAccount(at_50_percent, account, "triage") == "v2";
    EXPECT_TRUE(!is_new_at_10 || is_new_at_50);
    new_count += is_new_at_10;
  }
  EXPECT_GT(new_count, 20);
  EXPECT_LT(new_count, 90);
}

TEST(Config, PinOverridesSharesAndMustNameAConfiguredVersion) {
  EXPECT_EQ(
      ErrorMessage(SampleConfig(), R"({"kind":"pin_account","account":"shop-1",
                                  "model":"triage","version":"v9"})"),
      "account shop-1: model triage has no version v9");
  const config rolled_out = Apply(
      SampleConfig(),
      R"({"kind":"roll_out","model":"triage","version":"v2","percent":30})");
  const config pinned = Apply(rolled_out, R"({"kind":"pin_account",
      "account":"shop-1","model":"triage","version":"v2"})");
  EXPECT_EQ(VersionForAccount(pinned, "shop-1", "triage"), "v2");
}

TEST(Config, ErrorMessagesNameTheProblem) {
  EXPECT_EQ(ErrorMessage(SampleConfig(), "nonsense").substr(0, 11),
            "is not JSON");
  EXPECT_EQ(ErrorMessage(SampleConfig(), "{}"), "kind: is not known");
  EXPECT_EQ(
      ErrorMessage(SampleConfig(), R"({"kind":"remove_target","target":"e9"})"),
      "there is no target e9");
  EXPECT_EQ(ErrorMessage(SampleConfig(),
                         R"({"kind":"limit_account","account":"shop-1",
      "tokens_per_second":"many","burst_tokens":1})"),
            "tokens_per_second: must be a whole number from 0 to 1000000000");
  EXPECT_EQ(ErrorMessage(SampleConfig(), R"({"kind":"add_target","target":"e9",
      "target_kind":"model","address":"127.0.0.1:1","zone":"a",
      "serves":"triage","version":"v1"})"),
            "targets e0 and e9 have the same address");
}

TEST(Config, UnknownServicesAndListedPathsAreNonIdempotent) {
  const config configuration = SampleConfig();
  EXPECT_TRUE(IsNonIdempotentPath(configuration, "panel", "/stop"));
  EXPECT_TRUE(IsNonIdempotentPath(configuration, "panel", "/stop/now"));
  EXPECT_FALSE(IsNonIdempotentPath(configuration, "panel", "/stopped"));
  EXPECT_FALSE(IsNonIdempotentPath(configuration, "panel", "/status"));
  EXPECT_TRUE(IsNonIdempotentPath(configuration, "other", "/status"));
}

TEST(Config, RaisedPriorityExpires) {
  const config raised = Apply(SampleConfig(), R"({"kind":"raise_priority",
      "account":"shop-1","priority":8,"until":1000})");
  EXPECT_EQ(EffectivePriority(raised.accounts.at("shop-1"), 999), 8);
  EXPECT_EQ(EffectivePriority(raised.accounts.at("shop-1"), 1000),
            kDefaultPriority);
}

RC_GTEST_PROP(Config, ArbitraryTextDoesNotCrash, (const std::string& text)) {
  config configuration;
  static_cast<void>(ReadShard(text, configuration));
  static_cast<void>(ReadRoot(text));
  static_cast<void>(ApplyIntent(configuration, text));
}

RC_GTEST_PROP(Config, TruncatedShardIsRejected, ()) {
  const std::string text = WriteShard(SampleConfig(), 0);
  const auto length = *rc::gen::inRange<std::size_t>(0, text.size());
  config configuration;
  RC_ASSERT(!ReadShard(text.substr(0, length), configuration));
}

}  // namespace
}  // namespace waxwing
