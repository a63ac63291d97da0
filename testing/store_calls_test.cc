// Tests of how many calls a VM makes to the object store.

#include <gtest/gtest.h>

#include "testing/entry_fixture.h"

namespace testing_support {
namespace {

struct store_calls_fixture : entry_fixture {
  store_calls_fixture() {
    AddTarget("i-1", "panel", RespondOk);
    Start(1);
    RunFor(milliseconds(300));
  }
  void RunFor(milliseconds time) {
    const instant end = std::chrono::steady_clock::now() + time;
    RunUntil([&] { return std::chrono::steady_clock::now() >= end; });
  }
  std::uint64_t CallsIn(const std::function<void()>& action) {
    const std::uint64_t before = store->calls;
    action();
    return store->calls - before;
  }
};

// Hundreds of VMs that each test the store by four kinds of objects overload it
// when it is back.
TEST(StoreCalls, OneKindTestsWhetherAStoreThatIsAwayResponds) {
  store_calls_fixture f;
  f.store->is_down = true;
  f.RunFor(milliseconds(1'800));
  EXPECT_LE(f.CallsIn([&] { f.RunFor(milliseconds(2'500)); }), 5u);
  f.store->is_down = false;
  f.RunFor(milliseconds(1'200));
  for (const object_kind kind :
       {object_kind::kConfig, object_kind::kTargets, object_kind::kWeights})
    EXPECT_FALSE(f.running.state->watches[kind].unavailable_since);
}

TEST(StoreCalls, BurstOfTargetChangesTakesFewWatches) {
  store_calls_fixture f;
  const std::uint64_t calls = f.CallsIn([&] {
    for (int i = 0; i < 20; ++i) {
      PutObject(*f.store, "servers", "i-1",
                EntryTargetRecord(f.targets[0]->Address(), "panel", 0, "ready",
                                  "v" + std::to_string(i)));
      f.RunFor(milliseconds(20));
    }
  });
  EXPECT_LE(calls, 6u);
  EXPECT_TRUE(f.RunUntil([&] {
    return f.running.state->targets.at("i-1").record.build == "v19";
  }));
}

}  // namespace
}  // namespace testing_support
