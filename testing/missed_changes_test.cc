// Tests that a VM that follows the zone watchers gets the changes of which a
// message to it was lost, whatever kept the message from it.

#include <gtest/gtest.h>

#include "testing/entry_fixture.h"

namespace waxwing {
namespace {

using namespace testing_support;  // NOLINT(google-build-using-namespace)

constexpr std::size_t kVms = 4;
// Longer than a call to the store that began before its VM knew a zone watcher.
constexpr milliseconds kLongestCall{1'700};
// The time in which a change must be in force.
constexpr seconds kApplyTime{2};

// A zone in which a VM reaches the zone watchers, but not the store.
struct follower_fixture : zone_fixture {
  entry* follower = nullptr;

  follower_fixture() : zone_fixture(kVms) {
    AddTarget("t1", "panel", RespondOk);
    AddTarget("t2", "panel", RespondOk);
    PutObject(*store, "versions", "m", Weights(1));
    if (!WaitUntilSettled())
      return;
    RunFor(kLongestCall);
    const auto found =
        std::find_if(vms.begin(), vms.end(),
                     [&](const entry& vm) { return !IsZoneWatcher(vm); });
    if (found == vms.end())
      return;
    follower = &*found;
    State().store.address = {"127.0.0.1", 1};
  }

  static std::string Weights(int version) {
    return R"({"model":"m","version":)" + std::to_string(version) + "}";
  }
  entry_state& State() const { return *follower->state; }
  void RunFor(duration time) {
    const instant end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) {
      context.restart();
      context.run_one_for(milliseconds(5));
    }
  }
  // A target that is missing after failed calls to the store is dropped when it
  // has had the time to write its record again.
  bool HasAllChanges() const {
    const auto removed = State().targets.find("t1");
    return State().table->version == 2 &&
           (removed == State().targets.end() || removed->second.drop_at);
  }
  // Makes a change of each kind.
  void Change() {
    PutObject(*store, "config", "main", EntryConfig(2));
    RemoveObject(*store, "servers", "t1");
    PutObject(*store, "versions", "m", Weights(2));
  }
  // Nothing changes in the store any more, so only what the VM has missed can
  // bring it up to date.
  bool GetsAllChanges() {
    const instant end = std::chrono::steady_clock::now() + kApplyTime;
    while (!HasAllChanges() && std::chrono::steady_clock::now() < end)
      RunFor(milliseconds(20));
    return HasAllChanges() &&
           DesiredVersion(State().desired_weights.at("m")) == 2;
  }
  // Passes to the VM only those messages of other VMs that `is_passed` accepts.
  void Filter(
      std::function<bool(const peer_link&, wire::messageUnion&)> is_passed) {
    auto& handler = State().membership_agent.state->on_replication_message;
    handler = [next = handler, is_passed = std::move(is_passed)](
                  const peer_link& link, wire::messageUnion& message) {
      if (is_passed(link, message))
        next(link, message);
    };
  }
};

// A VM that had not renewed its subscription for some time was taken back
// without the changes of that time, and kept an older configuration for good.
TEST(MissedChanges, SubscriberThatIsTakenBackGetsThem) {
  follower_fixture f;
  ASSERT_TRUE(f.follower);
  bool is_dropped = true;
  for (entry& vm : f.vms) {
    auto& handler = vm.state->membership_agent.state->on_replication_message;
    handler = [&, next = handler](const peer_link& link,
                                  wire::messageUnion& message) {
      if (!is_dropped || !message.Asshared_request() ||
          link.peer.vm != f.State().options.vm)
        next(link, message);
    };
    vm.state->subscribers.erase(f.State().options.vm);
  }
  f.Change();
  f.RunFor(milliseconds(300));
  EXPECT_EQ(f.State().table->version, 1);
  is_dropped = false;
  EXPECT_TRUE(f.GetsAllChanges());
}

// Messages about how recent the data is made up for no lost change, but the VM
// relied on them.
TEST(MissedChanges, VmThatLosesAMessageGetsThem) {
  follower_fixture f;
  ASSERT_TRUE(f.follower);
  bool loses_changes = true;
  f.Filter([&](const peer_link&, wire::messageUnion& message) {
    return !loses_changes || !message.Asshared_objects();
  });
  f.Change();
  f.RunFor(milliseconds(300));
  EXPECT_EQ(f.State().table->version, 1);
  loses_changes = false;
  EXPECT_TRUE(f.GetsAllChanges());
}

// A later change was applied without the one before it.
TEST(MissedChanges, LaterChangeBringsTheEarlierOnes) {
  follower_fixture f;
  ASSERT_TRUE(f.follower);
  bool loses_changes = true;
  f.Filter([&](const peer_link&, wire::messageUnion& message) {
    return !loses_changes ||
           (!message.Asshared_objects() && !message.Asshared_ages());
  });
  f.Change();
  f.RunFor(milliseconds(100));
  loses_changes = false;
  PutObject(*f.store, "servers", "t2",
            EntryTargetRecord(f.targets[1]->Address(), "panel", 0, "draining"));
  EXPECT_TRUE(f.GetsAllChanges());
}

// A VM that subscribes again is sent only what it does not have: all objects at
// each subscription fill the link and the memory of a small VM.
TEST(MissedChanges, VmThatHasAllChangesIsSentNone) {
  follower_fixture f;
  ASSERT_TRUE(f.follower);
  std::size_t objects = 0;
  f.Filter([&](const peer_link&, wire::messageUnion& message) {
    if (const auto* sent = message.Asshared_objects())
      objects += sent->objects.size();
    return true;
  });
  f.State().upstreams.clear();
  ASSERT_TRUE(f.RunUntil([&] { return f.IsFullySynced(*f.follower); }));
  f.RunFor(milliseconds(500));
  EXPECT_EQ(objects, 0u);
  f.Change();
  EXPECT_TRUE(f.GetsAllChanges());
}

}  // namespace
}  // namespace waxwing
