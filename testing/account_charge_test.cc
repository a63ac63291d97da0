// Tests that VMs charge the requests of an account with a limit in one place.

#include <gtest/gtest.h>

#include <set>

#include "testing/entry_fixture.h"

namespace waxwing {
namespace {

using namespace testing_support;  // NOLINT(google-build-using-namespace)

constexpr int kTokensPerRequest = 1'000;

std::string LimitedConfig(int version, double per_second, double burst) {
  boost::json::object config =
      boost::json::parse(EntryConfig(version)).as_object();
  config["tenants"] = boost::json::array{
      boost::json::object{{"name", "shop"},
                          {"api_keys", boost::json::array{"key-1"}},
                          {"unit", "tokens"},
                          {"plain_tokens", kTokensPerRequest},
                          {"rate_per_s", per_second},
                          {"burst", burst}},
      boost::json::object{{"name", "other"},
                          {"api_keys", boost::json::array{"key-2"}}}};
  return boost::json::serialize(config);
}

struct limited_fixture : zone_fixture {
  std::shared_ptr<scripted_target> panel = AddTarget("p", "panel", RespondOk);

  limited_fixture(std::size_t vm_count, double per_second, double burst)
      : zone_fixture(vm_count) {
    PutObject(*store, "config", "main", LimitedConfig(2, per_second, burst));
    RunUntil([&] {
      return (vms.size() == 1 || WaitUntilSettled()) && AllHaveConfig(2) &&
             std::all_of(vms.begin(), vms.end(), [&](const entry& vm) {
               return !vm.state->targets.empty() &&
                      SuspendAwareNow() >=
                          vm.state->started + kLimiterStartDelay;
             });
    });
  }

  http_response SendAt(std::size_t vm, std::string key = "key-1") {
    http_request request;
    request.method = "POST";
    request.target = std::string(kIdempotentPath);
    request.headers = {{"Host", "calls.example"},
                       {"Request-Id", "r" + std::to_string(next_id++)},
                       {"Deadline-Ms", "1000"},
                       {"Authorization", "Token " + key}};
    const http_call_options options{milliseconds(2'000), false};
    return RunToEnd(context, Fetch(pool, vms[vm].state->caller_server.address,
                                   request, options))
        .value_or(http_response());
  }
  std::size_t LimiterIndex() const {
    const std::string name =
        ChooseLimiter(vms[0].state->membership_agent.state->members, "shop");
    for (std::size_t i = 0; i < vms.size(); ++i) {
      if (vms[i].state->options.vm == name)
        return i;
    }
    return vms.size();
  }
};

TEST(AccountCharge, AllVmsTogetherAdmitWhatTheLimitAllows) {
  limited_fixture f(3, 4'000, 4'000);
  const instant start = std::chrono::steady_clock::now();
  int served = 0;
  for (int i = 0; i < 60; ++i) {
    const http_response response = f.SendAt(static_cast<std::size_t>(i % 3));
    if (response.status == 200) {
      ++served;
      continue;
    }
    EXPECT_EQ(response.status, 429u);
    const double wait = std::atof(
        std::string(FindHeader(response.headers, "Retry-After")).c_str());
    EXPECT_GT(wait, 0);
    EXPECT_LE(wait, ToSeconds(kMaxChargeWait));
  }
  const double elapsed = ToSeconds(std::chrono::steady_clock::now() - start);
  EXPECT_GE(served, 1);
  // One request may overdraw the balance.
  EXPECT_LE(served, (4'000 * elapsed + 4'000) / kTokensPerRequest + 1);
  EXPECT_EQ(f.panel->requests.size(), static_cast<std::size_t>(served));
}

TEST(AccountCharge, AccountWithoutLimitIsServedBesideOneOverItsLimit) {
  limited_fixture f(3, 1'000, 1'000);
  for (int i = 0; i < 12; ++i)
    f.SendAt(static_cast<std::size_t>(i % 3));
  for (std::size_t vm = 0; vm < 3; ++vm)
    EXPECT_EQ(f.SendAt(vm, "key-2").status, 200u);
}

TEST(AccountCharge, RequestThatNoTargetHasRunIsNotCharged) {
  limited_fixture f(2, 1'000, 1'000);
  f.panel->script = RefuseAsNotExecuted;
  for (int i = 0; i < 6; ++i)
    EXPECT_EQ(f.SendAt(static_cast<std::size_t>(i % 2)).status, 503u);
  f.panel->script = RespondOk;
  EXPECT_EQ(f.SendAt(0).status, 200u);
}

TEST(AccountCharge, RequestsAreDecidedWhileTheLimiterIsGone) {
  limited_fixture f(3, 20'000, 20'000);
  const std::size_t limiter = f.LimiterIndex();
  ASSERT_LT(limiter, 3u);
  StopEntry(f.vms[limiter]);
  int served = 0;
  for (int i = 0; i < 10; ++i) {
    const std::size_t vm = (limiter + 1 + static_cast<std::size_t>(i % 2)) % 3;
    const instant sent = std::chrono::steady_clock::now();
    const http_response response = f.SendAt(vm);
    EXPECT_TRUE(response.status == 200 || response.status == 429);
    EXPECT_LT(std::chrono::steady_clock::now() - sent, milliseconds(250));
    served += response.status == 200;
  }
  EXPECT_GE(served, 1);
}

TEST(AccountCharge, LowerLimitBindsOnceItIsInForce) {
  limited_fixture f(2, 1'000'000, 1'000'000);
  EXPECT_EQ(f.SendAt(0).status, 200u);
  PutObject(*f.store, "config", "main", LimitedConfig(3, 1'000, 1'000));
  ASSERT_TRUE(f.AllHaveConfig(3));
  int served = 0;
  for (int i = 0; i < 10; ++i)
    served += f.SendAt(static_cast<std::size_t>(i % 2)).status == 200;
  EXPECT_LE(served, 2);
}

}  // namespace
}  // namespace waxwing
