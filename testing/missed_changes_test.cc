// Tests that a VM that follows the zone watchers gets the changes of which a
// message to it was lost, whatever kept the message from it.

#include <gtest/gtest.h>

#include <functional>
#include <utility>

#include "platform/store.h"
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

// Messages that a partition or a busy VM had held up were taken for new ones,
// so that the VM relied on data of the time before and did not read the store.
TEST(MissedChanges, MessagesThatWereHeldUpDoNotMakeDataCurrent) {
  constexpr milliseconds kHeldUp{2'500};
  follower_fixture f;
  ASSERT_TRUE(f.follower);
  struct held_message {
    peer_link link;
    wire::messageUnion content;
  };
  std::vector<held_message> held;
  auto& handler = f.State().membership_agent.state->on_replication_message;
  const auto pass = handler;
  handler = [&](const peer_link& link, wire::messageUnion& message) {
    if (message.Asshared_ages())
      held.push_back({link, std::move(message)});
    else
      pass(link, message);
  };
  f.RunFor(kHeldUp);
  ASSERT_FALSE(f.IsFullySynced(*f.follower));
  for (std::size_t i = 0; i < held.size() / 4; ++i)
    pass(held[i].link, held[i].content);
  EXPECT_FALSE(f.IsFullySynced(*f.follower));
  for (held_message& each : held)
    pass(each.link, each.content);
  handler = pass;
  EXPECT_TRUE(f.RunUntil([&] { return f.IsFullySynced(*f.follower); }));
}

// A member's record is sent once; who misses it is sent the whole table.
TEST(MissedChanges, MemberRecordThatWasLostReachesAllVms) {
  zone_fixture f(kVms);
  ASSERT_TRUE(f.WaitUntilSettled());
  constexpr std::uint32_t kCapacity = 77;
  member& changed =
      f.vms[2].state->membership_agent.state->members.members.at("vm-2").data;
  changed.request_capacity = kCapacity;
  ++changed.version;
  EXPECT_TRUE(f.RunUntil([&] {
    return std::all_of(f.vms.begin(), f.vms.end(), [&](const entry& vm) {
      return vm.state->membership_agent.state->members.members.at("vm-2")
                 .data.request_capacity == kCapacity;
    });
  }));
}

// --- Responses of the store that a zone watcher's message has overtaken.

// Called once when the store has responded to a list or a watch of targets,
// before the VM handles the response.
std::function<void()> on_list;
std::function<void()> on_watch;

void CallOnce(std::function<void()>& hook, object_kind kind) {
  if (kind == object_kind::kTargets && hook)
    std::exchange(hook, nullptr)();
}

store_task<object_list> ListAndCall(object_store& store,
                                    object_kind kind,
                                    std::string after) {
  auto out = co_await platform::ListObjects(store, kind, std::move(after));
  CallOnce(on_list, kind);
  co_return out;
}

store_task<object_changes> WatchAndCall(object_store& store,
                                        object_kind kind,
                                        std::uint64_t revision,
                                        milliseconds wait) {
  auto out = co_await platform::WatchObjects(store, kind, revision, wait);
  CallOnce(on_watch, kind);
  co_return out;
}

// A VM whose target t1 is removed while a response is on its way that lists it.
struct overtaken_fixture : entry_fixture {
  overtaken_fixture() {
    AddTarget("t1", "panel", RespondOk);
    AddTarget("t2", "panel", RespondOk);
    Start(2);
    running.state->protocol.list = ListAndCall;
    running.state->protocol.watch = WatchAndCall;
    // The call in progress ends with the change, the next one is intercepted.
    ChangeT2();
  }
  ~overtaken_fixture() {
    on_list = nullptr;
    on_watch = nullptr;
  }

  void ChangeT2() {
    const std::uint64_t revision = store->revision;
    PutObject(*store, "servers", "t2",
              EntryTargetRecord(targets[1]->Address(), "panel", 0, "draining"));
    RunUntil([&] {
      return running.state->watches[object_kind::kTargets].revision > revision;
    });
  }
  void RemoveT1On(std::function<void()>& hook) {
    hook = [this] {
      const std::uint64_t before = store->revision;
      RemoveObject(*store, "servers", "t1");
      wire::shared_objectsT told;
      told.kind = static_cast<std::uint8_t>(object_kind::kTargets);
      told.revision = store->revision;
      told.after = running.state->watches[object_kind::kTargets].revision;
      auto object = std::make_unique<wire::shared_objectT>();
      object->name = "t1";
      object->revision = before + 1;
      object->is_removed = true;
      told.objects.push_back(std::move(object));
      wire::messageUnion message;
      message.Set(std::move(told));
      running.state->membership_agent.state->on_replication_message({},
                                                                    message);
    };
  }
  bool KeepsT1() {
    RunUntil([&] { return !on_list && !on_watch; });
    RunUntil([&] { return !running.state->targets.contains("t1"); });
    return running.state->targets.contains("t1");
  }
};

// A target that had left got requests again, as an older list of targets was
// applied after the news of its removal.
TEST(MissedChanges, ListThatIsOvertakenDoesNotBringATargetBack) {
  overtaken_fixture f;
  f.RemoveT1On(on_list);
  // Ends the watch in progress; a list follows.
  f.store->oldest_revision = f.store->revision + 1;
  f.RunUntil([&] {
    return !f.running.state->watches[object_kind::kTargets].is_listed;
  });
  f.store->oldest_revision = 0;
  EXPECT_FALSE(f.KeepsT1());
}

TEST(MissedChanges, WatchThatIsOvertakenDoesNotBringATargetBack) {
  overtaken_fixture f;
  f.RemoveT1On(on_watch);
  PutObject(*f.store, "servers", "t1",
            EntryTargetRecord(f.targets[0]->Address(), "panel", 0));
  EXPECT_FALSE(f.KeepsT1());
}

}  // namespace
}  // namespace waxwing
