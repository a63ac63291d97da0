// The configuration's text form, intents, and hostile objects.

#include "waxwing/config.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "waxwing/intent.h"
#include "waxwing/root.h"

namespace waxwing {
namespace {

config Sample() {
  const auto made = ApplyIntent(config(), R"({"kind":"import","config":{
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
  EXPECT_TRUE(made) << made.error().message;
  return *made;
}

config Apply(const config& before, std::string_view intent) {
  const auto after = ApplyIntent(before, intent);
  EXPECT_TRUE(after) << after.error().message;
  return after.value_or(config());
}

std::string Refusal(const config& before, std::string_view intent) {
  const auto after = ApplyIntent(before, intent);
  return after ? "accepted" : after.error().message;
}

TEST(Config, ShardsReadBackToTheSameConfiguration) {
  const config before = Sample();
  std::vector<std::string> hashes;
  const auto shards = SplitIntoShards(before, hashes);
  config_root root;
  root.generation = before.generation;
  root.shards = hashes;
  const auto after = AssembleConfig(root, shards);
  ASSERT_TRUE(after);
  EXPECT_EQ(*after, before);
}

TEST(Config, AShardWithOtherContentIsRefused) {
  std::vector<std::string> hashes;
  auto shards = SplitIntoShards(Sample(), hashes);
  shards[hashes[0]] += " ";
  config_root root;
  root.generation = 1;
  root.shards = hashes;
  EXPECT_FALSE(AssembleConfig(root, shards));
}

TEST(Config, RolloutMovesShareAndTargetsTogether) {
  const config after = Apply(
      Sample(),
      R"({"kind":"roll_out","model":"triage","version":"v2","percent":30})");
  const auto& versions = after.models.at("triage").versions;
  ASSERT_EQ(versions.size(), 2u);
  EXPECT_EQ(versions[0], (version_share{"v1", 70}));
  EXPECT_EQ(versions[1], (version_share{"v2", 30}));
  int running = 0;
  for (const auto& [name, target] : after.targets)
    running += target.version == "v2";
  EXPECT_EQ(running, 1);
}

TEST(Config, AccountsStayOnTheirSideOfAGrowingShare) {
  config all = Sample();
  const auto rolled = [&](int percent) {
    return Apply(Sample(), R"({"kind":"roll_out","model":"triage",)"
                           R"("version":"v2","percent":)" +
                               std::to_string(percent) + "}");
  };
  const config ten = rolled(10);
  const config half = rolled(50);
  int on_new = 0;
  for (int i = 0; i < 500; ++i) {
    const std::string account = "account-" + std::to_string(i);
    const bool early = VersionForAccount(ten, account, "triage") == "v2";
    const bool later = VersionForAccount(half, account, "triage") == "v2";
    EXPECT_TRUE(!early || later);
    on_new += early;
  }
  EXPECT_GT(on_new, 20);
  EXPECT_LT(on_new, 90);
}

TEST(Config, PinWinsAndMustExist) {
  EXPECT_EQ(Refusal(Sample(), R"({"kind":"pin_account","account":"shop-1",
                                  "model":"triage","version":"v9"})"),
            "account shop-1: model triage has no version v9");
  const config rolled = Apply(
      Sample(),
      R"({"kind":"roll_out","model":"triage","version":"v2","percent":30})");
  const config pinned = Apply(rolled, R"({"kind":"pin_account",
      "account":"shop-1","model":"triage","version":"v2"})");
  EXPECT_EQ(VersionForAccount(pinned, "shop-1", "triage"), "v2");
}

TEST(Config, MistakesAreNamed) {
  EXPECT_EQ(Refusal(Sample(), "nonsense").substr(0, 11), "is not JSON");
  EXPECT_EQ(Refusal(Sample(), "{}"), "kind: is not known");
  EXPECT_EQ(Refusal(Sample(), R"({"kind":"remove_target","target":"e9"})"),
            "there is no target e9");
  EXPECT_EQ(Refusal(Sample(), R"({"kind":"limit_account","account":"shop-1",
      "tokens_per_second":"many","burst_tokens":1})"),
            "tokens_per_second: must be a whole number from 0 to 1000000000");
  EXPECT_EQ(Refusal(Sample(), R"({"kind":"add_target","target":"e9",
      "target_kind":"model","address":"127.0.0.1:1","zone":"a",
      "serves":"triage","version":"v1"})"),
            "targets e0 and e9 have the same address");
}

TEST(Config, UnknownServicesAndMarkedPathsAreNonIdempotent) {
  const config all = Sample();
  EXPECT_TRUE(IsNonIdempotentPath(all, "panel", "/stop"));
  EXPECT_TRUE(IsNonIdempotentPath(all, "panel", "/stop/now"));
  EXPECT_FALSE(IsNonIdempotentPath(all, "panel", "/stopped"));
  EXPECT_FALSE(IsNonIdempotentPath(all, "panel", "/status"));
  EXPECT_TRUE(IsNonIdempotentPath(all, "other", "/status"));
}

TEST(Config, RaisedPriorityEndsByItself) {
  const config raised = Apply(Sample(), R"({"kind":"raise_priority",
      "account":"shop-1","priority":8,"until":1000})");
  EXPECT_EQ(PriorityOf(raised.accounts.at("shop-1"), 999), 8);
  EXPECT_EQ(PriorityOf(raised.accounts.at("shop-1"), 1000), kDefaultPriority);
}

RC_GTEST_PROP(Config, AnyTextIsReadWithoutHarm, (const std::string& text)) {
  config into;
  static_cast<void>(ReadShard(text, into));
  static_cast<void>(ReadRoot(text));
  static_cast<void>(ApplyIntent(into, text));
}

RC_GTEST_PROP(Config, AnyCutOfAGoodShardIsRefused, ()) {
  const std::string text = WriteShard(Sample(), 0);
  const auto length = *rc::gen::inRange<std::size_t>(0, text.size());
  config into;
  RC_ASSERT(!ReadShard(text.substr(0, length), into));
}

}  // namespace
}  // namespace waxwing
