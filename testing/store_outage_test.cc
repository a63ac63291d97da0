// Tests of targets that leave, or whose records expire, while a VM does not
// hear of it from the store. Records may expire in an outage of the store, but
// not because one of the VM's connections to it is unresponsive.

#include <gtest/gtest.h>

#include <utility>

#include "testing/entry_fixture.h"

namespace waxwing {
namespace {

using namespace testing_support;  // NOLINT(google-build-using-namespace)

// A VM must have the changes of the store this long after its connections have
// become unresponsive.
constexpr seconds kContactTime{3};

// A call reaches the store within this time.
constexpr milliseconds kCallStart{100};

// A VM that has listed two targets and watches them.
struct outage_fixture : entry_fixture {
  outage_fixture() {
    AddTarget("t1", "panel", RespondOk);
    AddTarget("t2", "panel", RespondOk);
    Start(2);
    // The call in progress ends with the change; the next one follows it.
    PutObject(*store, "servers", "t2",
              EntryTargetRecord(targets[1]->Address(), "panel", 0, "draining"));
    RunUntil([&] { return Position().revision == store->revision; });
    const instant end = std::chrono::steady_clock::now() + kCallStart;
    RunUntil([&] { return std::chrono::steady_clock::now() > end; });
  }

  entry_state& State() const { return *running.state; }
  watch_position& Position() const {
    return State().watches[object_kind::kTargets];
  }
  bool HasTarget(const std::string& id) const {
    return State().targets.contains(id);
  }
  bool IsKeptForNow(const std::string& id) const {
    const auto found = State().targets.find(id);
    return found != State().targets.end() && found->second.drop_at;
  }
  // Connections on which a call is in progress become unresponsive.
  void SilenceConnections() { store->muted_calls = store->calls; }
  bool WaitUntilCallFailed() {
    return RunUntil([&] { return Position().unavailable_since.has_value(); });
  }
  // Delivers a complete list without t1 that another VM has read.
  void ReceiveListFromPeer() {
    wire::shared_objectsT told;
    told.kind = static_cast<std::uint8_t>(object_kind::kTargets);
    told.revision = store->revision;
    told.is_whole = true;
    auto object = std::make_unique<wire::shared_objectT>();
    object->name = "t2";
    object->revision = store->revision - 1;
    object->spec = State().objects[object_kind::kTargets].at("t2").spec;
    told.objects.push_back(std::move(object));
    wire::messageUnion message;
    message.Set(std::move(told));
    State().membership_agent.state->on_replication_message({}, message);
  }
};

// Requests were sent to a target for 2 s more after a VM had found that it had
// left, as the VM took its own unresponsive connection for an outage.
TEST(StoreOutage, TargetThatLeavesWhileConnectionsAreSilentIsDroppedInTime) {
  outage_fixture f;
  ASSERT_TRUE(f.HasTarget("t1"));
  const instant silent_at = std::chrono::steady_clock::now();
  f.SilenceConnections();
  RemoveObject(*f.store, "servers", "t1");
  EXPECT_TRUE(f.RunUntil([&] { return !f.HasTarget("t1"); }));
  EXPECT_LT(std::chrono::steady_clock::now() - silent_at, kContactTime);
}

// The same, if another VM's list arrives before this VM has called again.
TEST(StoreOutage, TargetMissingFromAPeersListIsDroppedAfterASilentConnection) {
  outage_fixture f;
  ASSERT_TRUE(f.HasTarget("t1"));
  f.SilenceConnections();
  RemoveObject(*f.store, "servers", "t1");
  ASSERT_TRUE(f.WaitUntilCallFailed());
  ASSERT_TRUE(f.HasTarget("t1"));
  f.ReceiveListFromPeer();
  EXPECT_FALSE(f.HasTarget("t1"));
}

// A live target whose record has expired writes it again; it stays in use.
TEST(StoreOutage, TargetThatExpiredWhileTheStoreRefusedCallsIsKept) {
  outage_fixture f;
  f.store->is_down = true;
  ASSERT_TRUE(f.WaitUntilCallFailed());
  RemoveObject(*f.store, "servers", "t1");
  f.store->is_down = false;
  EXPECT_TRUE(f.RunUntil([&] { return f.IsKeptForNow("t1"); }));
  PutObject(*f.store, "servers", "t1",
            EntryTargetRecord(f.targets[0]->Address(), "panel", 0));
  EXPECT_TRUE(f.RunUntil([&] { return !f.IsKeptForNow("t1"); }));
  EXPECT_TRUE(f.HasTarget("t1"));
}

// New connections are unresponsive too: the store itself is out of reach.
TEST(StoreOutage, TargetThatExpiredWhileTheStoreWasSilentIsKept) {
  outage_fixture f;
  asio::ip::tcp::acceptor silent(f.context,
                                 {asio::ip::make_address("127.0.0.1"), 0});
  f.SilenceConnections();
  f.State().store.address = {"127.0.0.1", silent.local_endpoint().port()};
  ASSERT_TRUE(f.WaitUntilCallFailed());
  const instant failed_at = *f.Position().unavailable_since;
  RemoveObject(*f.store, "servers", "t1");
  // Long enough for a second call to fail, which has 700 ms.
  f.RunUntil([&] {
    return std::chrono::steady_clock::now() > failed_at + milliseconds(1'000);
  });
  f.State().store.address = f.store->server.address;
  EXPECT_TRUE(f.RunUntil([&] { return f.IsKeptForNow("t1"); }));
}

// A target that was missing from the store was kept for good once it had
// reported newer weights in a response.
TEST(StoreOutage, MissingTargetThatReportsNewWeightsIsDropped) {
  outage_fixture f;
  f.store->is_down = true;
  ASSERT_TRUE(f.WaitUntilCallFailed());
  RemoveObject(*f.store, "servers", "t1");
  f.store->is_down = false;
  ASSERT_TRUE(f.RunUntil([&] { return f.IsKeptForNow("t1"); }));
  RecordTargetWeights(f.State(), "t1", "m", 2);
  EXPECT_TRUE(f.RunUntil([&] { return !f.HasTarget("t1"); }));
}

}  // namespace
}  // namespace waxwing
