// Tests of an object store that returns from an older copy of its content: in
// the next era, with revisions that were given out before.

#include "waxwing/store_era.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "testing/entry_fixture.h"

namespace waxwing {
namespace {

using namespace testing_support;  // NOLINT(google-build-using-namespace)

TEST(StoreEra, MessageWithoutAnEraIsCurrent) {
  EXPECT_EQ(CompareEras(0, 0), era_relation::kCurrent);
  EXPECT_EQ(CompareEras(7, 0), era_relation::kCurrent);
  EXPECT_EQ(CompareEras(7, 7), era_relation::kCurrent);
  EXPECT_EQ(CompareEras(7, 6), era_relation::kOlder);
  EXPECT_EQ(CompareEras(7, 8), era_relation::kNewer);
}

// --- Leases.

lease_view MakeView(const std::string& self) {
  lease_view view;
  view.self = self;
  view.incarnation = 1;
  return view;
}

constexpr instant kStart = instant{} + seconds(100);

void Acquire(lease_view& view, std::uint64_t version, instant now) {
  ASSERT_EQ(NextLeaseAction(view, now), lease_action::kAcquire);
  const lease_record record = NextLeaseRecord(view, lease_action::kAcquire);
  ObserveLease(view, record, version, now, lease_put{record, now});
  ASSERT_TRUE(HoldsLease(view, now));
}

TEST(StoreEra, HolderOfALostLeaseMayNotGiveOrdersUntilItHasANewOne) {
  lease_view view = MakeView("a");
  Acquire(view, 5, kStart);
  const std::uint64_t fence = view.record.fencing_token;
  StartLeaseEra(view, 2, kStart);
  EXPECT_FALSE(HoldsLease(view, kStart));
  // Nobody else can have held it, so it need not wait.
  Acquire(view, 3, kStart);
  EXPECT_GT(view.record.fencing_token, fence);
}

TEST(StoreEra, OthersWaitForTheHolderOfAnEarlierEra) {
  lease_view view = MakeView("b");
  StartLeaseEra(view, 2, kStart);
  const instant allowed = kStart + view.timing.takeover_timeout;
  EXPECT_EQ(NextLeaseAction(view, allowed - milliseconds(1)),
            lease_action::kWait);
  EXPECT_EQ(NextLeaseAction(view, allowed), lease_action::kAcquire);
}

TEST(StoreEra, LeaseOfThePreviousHolderInTheCopyGivesNoRight) {
  lease_view view = MakeView("b");
  Acquire(view, 5, kStart);
  const lease_record own = view.record;
  // Another VM has taken the lease; its record is lost with the store.
  const instant later = kStart + view.timing.term;
  ObserveLease(view, {"a", 1, own.fencing_token + 1, 1}, 9, later, {});
  StartLeaseEra(view, 2, later);
  ObserveLease(view, own, 5, later, {});
  EXPECT_FALSE(HoldsLease(view, later));
  EXPECT_EQ(NextLeaseAction(view, later), lease_action::kWait);
  Acquire(view, 6, later + view.timing.takeover_timeout);
  EXPECT_GT(view.record.fencing_token, own.fencing_token + 1);
}

RC_GTEST_PROP(StoreEra, FencingTokensRiseOverErasWhateverTheCopyHolds, ()) {
  lease_view view = MakeView("a");
  std::uint64_t highest = 0;
  std::uint64_t era = 0;
  instant now = kStart;
  for (int i = *rc::gen::inRange(1, 20); i > 0; --i) {
    if (*rc::gen::inRange(0, 3) == 0) {
      era += *rc::gen::inRange<std::uint64_t>(1, 4);
      StartLeaseEra(view, era, now);
      // The copy may hold the record of any earlier holder.
      if (highest > 0 && *rc::gen::inRange(0, 2) == 0)
        ObserveLease(
            view, {"b", 1, *rc::gen::inRange<std::uint64_t>(1, highest + 1), 1},
            era * 10, now, {});
    }
    now += view.timing.takeover_timeout;
    if (NextLeaseAction(view, now) != lease_action::kAcquire)
      continue;
    const lease_record record = NextLeaseRecord(view, lease_action::kAcquire);
    RC_ASSERT(record.fencing_token > highest);
    highest = record.fencing_token;
    RC_ASSERT(ReadLease(WriteLease(record)) == record);
    ObserveLease(view, record, era * 10 + 1, now, lease_put{record, now});
    now += view.timing.term;
    view.renewal_sent_at.reset();
  }
}

// --- Entries.

struct era_fixture : entry_fixture {
  era_fixture() { store->era = 1; }

  // Takes the store away for a moment and returns it from the copy.
  void ReturnFrom(const store_copy& copy) {
    store->is_down = true;
    const instant away_until =
        std::chrono::steady_clock::now() + milliseconds(300);
    RunUntil([&] { return std::chrono::steady_clock::now() >= away_until; });
    RestoreStore(*store, copy);
    store->is_down = false;
  }

  bool WaitForEra(std::uint64_t era) {
    return RunUntil([&] {
      const entry_state& state = *running.state;
      return state.store_era == era &&
             state.watches.at(object_kind::kConfig).is_listed &&
             state.watches.at(object_kind::kTargets).is_listed &&
             state.watches.at(object_kind::kWeights).is_listed;
    });
  }

  std::int64_t ConfigVersion() const { return running.state->table->version; }
};

TEST(StoreEra, RevisionThatExistsAgainWithOtherContentIsNoticed) {
  era_fixture f;
  f.AddTarget("t1", "panel", RespondOk);
  f.Start(1);
  const store_copy copy = CopyStore(*f.store);
  // Raises the revision that the entry has seen.
  for (int i = 0; i < 5; ++i)
    PutObject(*f.store, "config", "main", EntryConfig(2 + i));
  ASSERT_TRUE(f.RunUntil([&] { return f.ConfigVersion() == 6; }));
  f.ReturnFrom(copy);
  ASSERT_TRUE(f.WaitForEra(2));
  // Revisions below the highest one seen before.
  f.AddTarget("t2", "panel", RespondOk);
  PutObject(*f.store, "config", "main", EntryConfig(7));
  ASSERT_LT(f.store->revision, copy.revision + 5);
  EXPECT_TRUE(f.RunUntil([&] {
    return f.running.state->targets.contains("t2") && f.ConfigVersion() == 7;
  }));
}

TEST(StoreEra, ConfigurationWeightsAndKeysDoNotGoBack) {
  era_fixture f;
  f.AddTarget("t1", "panel", RespondOk);
  f.Start(1);
  const store_copy copy = CopyStore(*f.store);
  PutObject(*f.store, "config", "main", EntryConfig(5));
  PutObject(*f.store, "versions", "m", R"({"model":"m","version":3})");
  ASSERT_TRUE(f.RunUntil([&] {
    return f.ConfigVersion() == 5 &&
           f.running.state->desired_weights.contains("m");
  }));
  f.ReturnFrom(copy);
  ASSERT_TRUE(f.WaitForEra(2));
  EXPECT_EQ(f.ConfigVersion(), 5);
  EXPECT_EQ(DesiredVersion(f.running.state->desired_weights.at("m")), 3);
  // Peers that start are given the newer configuration too.
  const stored_object& known =
      f.running.state->objects[object_kind::kConfig].at("main");
  EXPECT_EQ(platform::MakeProtocolAdapter().read_config(known.spec)->version,
            5);
}

TEST(StoreEra, TargetThatHasLeftDoesNotReturnWithTheCopy) {
  era_fixture f;
  const auto leaving = f.AddTarget("t1", "panel", RespondOk);
  f.AddTarget("t2", "panel", RespondOk);
  f.AddTarget("t3", "panel", RespondOk);
  f.Start(3);
  const store_copy copy = CopyStore(*f.store);
  PutObject(*f.store, "servers", "t1",
            EntryTargetRecord(leaving->Address(), "panel", 0, "draining"));
  RemoveObject(*f.store, "servers", "t2");
  const entry_state& state = *f.running.state;
  ASSERT_TRUE(f.RunUntil([&] {
    return state.targets.at("t1").record.is_draining &&
           !state.targets.contains("t2");
  }));
  f.ReturnFrom(copy);
  ASSERT_TRUE(f.WaitForEra(2));
  EXPECT_TRUE(state.targets.at("t1").record.is_draining);
  EXPECT_FALSE(state.targets.contains("t2"));
  for (int i = 0; i < 6; ++i)
    EXPECT_EQ(f.Send(kNonIdempotentPath)->status, 200u);
  EXPECT_EQ(f.targets[2]->requests.size(), 6u);
  // A live target writes its record again.
  PutObject(*f.store, "servers", "t2",
            EntryTargetRecord(f.targets[1]->Address(), "panel", 0));
  EXPECT_TRUE(f.RunUntil([&] { return state.targets.contains("t2"); }));
}

// Ends the watches in progress, after which everything is listed again.
void CutWatches(era_fixture& f) {
  watch_position& position = f.running.state->watches[object_kind::kTargets];
  f.store->oldest_revision = f.store->revision + 1;
  EXPECT_TRUE(f.RunUntil([&] { return !position.is_listed; }));
  f.store->oldest_revision = 0;
  EXPECT_TRUE(f.RunUntil([&] { return position.is_listed; }));
}

// Delivers the store's list of targets as another VM would.
void ReceiveSnapshot(era_fixture& f) {
  wire::shared_objectsT told;
  told.era = f.store->era;
  told.kind = static_cast<std::uint8_t>(object_kind::kTargets);
  told.revision = f.store->revision;
  told.is_whole = true;
  for (const auto& [name, stored] : f.store->objects_by_kind["servers"]) {
    auto object = std::make_unique<wire::shared_objectT>();
    object->name = name;
    object->revision = stored.revision;
    object->spec = stored.spec;
    told.objects.push_back(std::move(object));
  }
  wire::messageUnion message;
  message.Set(std::move(told));
  f.running.state->membership_agent.state->on_replication_message({}, message);
}

// Requests were lost at the exit of a target that had left: the first list of
// the older copy was recognized as outdated, but not the second one.
TEST(StoreEra, TargetThatHasLeftDoesNotReturnWithALaterListOfTheCopy) {
  for (const bool is_from_peer : {false, true}) {
    era_fixture f;
    f.AddTarget("t1", "panel", RespondOk);
    f.AddTarget("t2", "panel", RespondOk);
    f.Start(2);
    const store_copy copy = CopyStore(*f.store);
    RemoveObject(*f.store, "servers", "t2");
    const entry_state& state = *f.running.state;
    ASSERT_TRUE(f.RunUntil([&] { return !state.targets.contains("t2"); }));
    f.ReturnFrom(copy);
    ASSERT_TRUE(f.WaitForEra(2));
    ASSERT_FALSE(state.targets.contains("t2"));
    if (is_from_peer) {
      ++f.store->revision;
      ReceiveSnapshot(f);
    } else {
      CutWatches(f);
    }
    EXPECT_FALSE(state.targets.contains("t2")) << is_from_peer;
    PutObject(*f.store, "servers", "t2",
              EntryTargetRecord(f.targets[1]->Address(), "panel", 0));
    EXPECT_TRUE(f.RunUntil([&] { return state.targets.contains("t2"); }));
  }
}

TEST(StoreEra, TargetMissingFromTheCopyStaysInUseUntilItMustBeBack) {
  era_fixture f;
  const store_copy copy = CopyStore(*f.store);
  f.AddTarget("t1", "panel", RespondOk);
  f.Start(1);
  f.running.state->options.bounds.relist_grace = milliseconds(500);
  f.ReturnFrom(copy);
  ASSERT_TRUE(f.WaitForEra(2));
  EXPECT_EQ(f.Send(kNonIdempotentPath)->status, 200u);
  EXPECT_TRUE(
      f.RunUntil([&] { return !f.running.state->targets.contains("t1"); }));
}

TEST(StoreEra, TwoReturnsInARow) {
  era_fixture f;
  f.AddTarget("t1", "panel", RespondOk);
  f.Start(1);
  const store_copy copy = CopyStore(*f.store);
  for (std::uint64_t era = 2; era <= 3; ++era) {
    for (int i = 0; i < 4; ++i)
      PutObject(*f.store, "config", "main",
                EntryConfig(static_cast<int>(era) * 10 + i));
    ASSERT_TRUE(f.RunUntil(
        [&] { return f.ConfigVersion() == static_cast<int>(era) * 10 + 3; }));
    f.ReturnFrom(copy);
    ASSERT_TRUE(f.WaitForEra(era));
  }
  PutObject(*f.store, "config", "main", EntryConfig(99));
  EXPECT_TRUE(f.RunUntil([&] { return f.ConfigVersion() == 99; }));
}

TEST(StoreEra, LateResponseOfAnOlderEraChangesNothing) {
  era_fixture f;
  f.AddTarget("t1", "panel", RespondOk);
  f.Start(1);
  entry_state& state = *f.running.state;
  ASSERT_TRUE(ObserveEra(state, 4));
  EXPECT_EQ(state.watches[object_kind::kConfig].revision, 0u);
  EXPECT_FALSE(ObserveEra(state, 3));
  EXPECT_EQ(state.store_era, 4u);
}

TEST(StoreEra, RolloutContinuesWithTheLeaseLost) {
  era_fixture f;
  std::vector<std::uint64_t> fences;
  const auto target = f.AddTarget(
      "e1", "llm", [&](const http_request& request) -> scripted_response {
        if (request.target == "/api/report")
          return {{PlainResponse(
              200, "",
              R"({"models":[{"name":"m","version":1}],"busy":false,"sequence":3})")}};
        if (request.target != "/api/order")
          return StreamTwoEvents(request);
        const auto body = boost::json::parse(request.body).as_object();
        fences.push_back(body.at("fencing_token").to_number<std::uint64_t>());
        return {{PlainResponse(202, "", "")}};
      });
  f.Start(1);
  f.running.state->options.bounds.order_handover = milliseconds(300);
  f.running.state->lease.create_at = {};
  const store_copy copy = CopyStore(*f.store);
  PutObject(*f.store, "versions", "m", R"({"model":"m","version":2})");
  ASSERT_TRUE(f.RunUntil([&] { return !fences.empty(); }));
  const std::uint64_t before = fences.back();
  f.ReturnFrom(copy);
  ASSERT_TRUE(f.WaitForEra(2));
  // The operator's announcement is lost as well, yet it stays in force.
  EXPECT_TRUE(f.RunUntil([&] { return fences.back() > before; }));
  EXPECT_TRUE(std::is_sorted(fences.begin(), fences.end()));
}

TEST(StoreEra, VmsOfAZoneFollowTheHigherEra) {
  zone_fixture f(4);
  f.store->era = 1;
  f.AddTarget("t1", "panel", RespondOk);
  ASSERT_TRUE(f.WaitUntilSettled());
  ASSERT_TRUE(f.AllHaveConfig(1));
  const store_copy copy = CopyStore(*f.store);
  for (int i = 0; i < 4; ++i)
    PutObject(*f.store, "config", "main", EntryConfig(2 + i));
  ASSERT_TRUE(f.AllHaveConfig(5));
  RestoreStore(*f.store, copy);
  const auto all_in_era = [&] {
    return std::all_of(f.vms.begin(), f.vms.end(), [](const entry& vm) {
      return vm.state->store_era == 2;
    });
  };
  ASSERT_TRUE(f.RunUntil(all_in_era));
  PutObject(*f.store, "config", "main", EntryConfig(6));
  EXPECT_TRUE(f.AllHaveConfig(6));
  // A zone watcher that is still in the older era is not followed.
  entry_state& state = *f.vms[0].state;
  const std::int64_t version = state.table->version;
  wire::shared_objectsT message;
  message.kind = static_cast<std::uint8_t>(object_kind::kTargets);
  message.revision = 1'000;
  message.is_whole = true;
  message.era = 1;
  wire::messageUnion frame;
  frame.Set(std::move(message));
  state.membership_agent.state->on_replication_message({}, frame);
  EXPECT_TRUE(state.targets.contains("t1"));
  EXPECT_EQ(state.table->version, version);
}

TEST(StoreEra, VmThatStartsAfterTheReturnIsInTheNewEra) {
  era_fixture f;
  f.AddTarget("t1", "panel", RespondOk);
  f.Start(1);
  const store_copy copy = CopyStore(*f.store);
  PutObject(*f.store, "config", "main", EntryConfig(2));
  ASSERT_TRUE(f.RunUntil([&] { return f.ConfigVersion() == 2; }));
  f.ReturnFrom(copy);
  ASSERT_TRUE(f.WaitForEra(2));
  entry first = f.running;
  f.Start(1);
  EXPECT_EQ(f.running.state->store_era, 2u);
  // An absent lease is left to its last holder for a while.
  EXPECT_GT(f.running.state->lease.create_at, SuspendAwareNow());
  StopEntry(first);
}

}  // namespace
}  // namespace waxwing
