// Tests of subscriptions to cache events after a VM has restarted.

#include <gtest/gtest.h>

#include "testing/entry_fixture.h"

namespace testing_support {
namespace {

struct cache_fixture : entry_fixture {
  int calls = 0;
  int open_calls = 0;
  int most_open_calls = 0;

  explicit cache_fixture(int count) {
    for (int i = 0; i < count; ++i)
      AddTarget(
          "i-" + std::to_string(i), "llm",
          [this](const http_request& request) { return Respond(request); });
    Start(static_cast<std::size_t>(count));
  }

  scripted_response Respond(const http_request& request) {
    if (!request.target.starts_with("/api/kv-events?since=0"))
      return {{PlainResponse(404, "", "{}")}};
    ++calls;
    most_open_calls = std::max(most_open_calls, ++open_calls);
    scripted_response out;
    out.pieces = {PlainResponse(
        200, "", R"({"boot_epoch":7,"next":3,"lost":false,"events":[]})")};
    out.delay = milliseconds(50);
    out.on_start = [this] { --open_calls; };
    return out;
  }
};

// The events that all caches have kept would fill the VM's link for seconds.
TEST(CacheSubscriptions, RestartedVmFirstLearnsOfTheOtherVms) {
  cache_fixture f(12);
  const instant start = std::chrono::steady_clock::now();
  f.RunUntil([&] {
    return std::chrono::steady_clock::now() - start > milliseconds(1'000);
  });
  EXPECT_EQ(f.calls, 0);
  EXPECT_TRUE(f.RunUntil([&] { return f.calls >= 12; }));
}

TEST(CacheSubscriptions, RestartedVmFetchesKeptEventsOfAFewCachesAtATime) {
  cache_fixture f(12);
  EXPECT_TRUE(f.RunUntil([&] { return f.calls >= 12; }));
  EXPECT_LE(f.most_open_calls, 4);
}

}  // namespace
}  // namespace testing_support
