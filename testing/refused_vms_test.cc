// Tests of VMs that the store turns away while it serves others: they learn of
// changes from VMs that it serves.

#include <gtest/gtest.h>

#include <memory>

#include "testing/entry_fixture.h"

namespace waxwing {
namespace {

using namespace testing_support;  // NOLINT(google-build-using-namespace)

constexpr std::size_t kVmsPerZone = 3;
// The time in which a change must be in force.
constexpr seconds kApplyTime{2};

// VMs of several zones, each with its own way to the store.
struct zones_fixture : entry_fixture {
  std::vector<std::unique_ptr<store_access>> ways;
  std::vector<entry> vms;

  explicit zones_fixture(std::size_t zones) {
    AddTarget("t1", "panel", RespondOk);
    for (std::size_t i = 0; i < zones * kVmsPerZone; ++i) {
      ways.push_back(OpenStoreAccess(*store));
      entry_options options;
      options.vm = "vm-" + std::to_string(i);
      options.zone = std::string(1, static_cast<char>('a' + i / kVmsPerZone));
      options.store = ways.back()->server.address;
      options.key = "test";
      if (i > 0)
        options.seeds = {vms[0].state->membership_agent.address};
      vms.push_back(*StartEntry(context.get_executor(), options,
                                platform::MakeProtocolAdapter()));
    }
  }
  ~zones_fixture() {
    for (entry& vm : vms)
      StopEntry(vm);
    for (const auto& way : ways)
      CloseServer(way->server);
  }

  bool All(const std::function<bool(const entry_state&)>& condition) {
    return RunUntil([&] {
      return std::all_of(vms.begin(), vms.end(),
                         [&](const entry& vm) { return condition(*vm.state); });
    });
  }
  bool WaitUntilSettled() {
    return All([&](const entry_state& state) {
      return CountServingVms(state) == vms.size() &&
             state.zone_watchers.size() == kWatchersPerZone &&
             state.table->version == 1 && state.targets.contains("t1");
    });
  }
  static bool HasLostStore(const entry_state& state) {
    return state.watches.at(object_kind::kConfig).unavailable_since &&
           state.watches.at(object_kind::kTargets).unavailable_since;
  }
  // The store turns the first VMs away, as these notice within 3 s.
  bool Refuse(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i)
      ways[i]->is_refused = true;
    return RunUntil([&] {
      return std::all_of(
          vms.begin(), vms.begin() + static_cast<std::ptrdiff_t>(count),
          [](const entry& vm) { return HasLostStore(*vm.state); });
    });
  }
  static bool HasAllChanges(const entry_state& state) {
    const auto found = state.targets.find("t1");
    return state.table->version == 2 &&
           (found == state.targets.end() || found->second.drop_at ||
            found->second.record.is_draining);
  }
  void Change() {
    PutObject(*store, "config", "main", EntryConfig(2));
    PutObject(*store, "servers", "t1",
              EntryTargetRecord(targets[0]->Address(), "panel", 0, "draining"));
  }
  // VMs that do not have all changes when they must be in force.
  std::size_t CountStale() {
    const instant end = std::chrono::steady_clock::now() + kApplyTime;
    const auto count = [&] {
      return std::count_if(vms.begin(), vms.end(), [](const entry& vm) {
        return !HasAllChanges(*vm.state);
      });
    };
    while (count() > 0 && std::chrono::steady_clock::now() < end) {
      context.restart();
      context.run_one_for(milliseconds(20));
    }
    return static_cast<std::size_t>(count());
  }
};

// VMs that the store turned away kept an older configuration and targets that
// had left, if it turned away both zone watchers of their zone, too.
TEST(RefusedVms, ChangesReachAZoneThatTheStoreTurnsAway) {
  zones_fixture f(2);
  ASSERT_TRUE(f.WaitUntilSettled());
  ASSERT_TRUE(f.Refuse(kVmsPerZone));
  f.Change();
  EXPECT_EQ(f.CountStale(), 0u);
}

// The VMs that are asked may be turned away themselves.
TEST(RefusedVms, ChangesReachThemFromTheOnlyZoneThatIsServed) {
  zones_fixture f(3);
  ASSERT_TRUE(f.WaitUntilSettled());
  ASSERT_TRUE(f.Refuse(2 * kVmsPerZone));
  f.Change();
  EXPECT_EQ(f.CountStale(), 0u);
}

// With one zone, only a VM that does not watch for the zone may be served.
TEST(RefusedVms, ChangesReachThemFromTheOnlyVmThatIsServed) {
  zones_fixture f(1);
  ASSERT_TRUE(f.WaitUntilSettled());
  const auto& watchers = f.vms[0].state->zone_watchers;
  for (std::size_t i = 0; i < kVmsPerZone; ++i)
    f.ways[i]->is_refused =
        std::find(watchers.begin(), watchers.end(),
                  f.vms[i].state->options.vm) != watchers.end();
  ASSERT_TRUE(f.RunUntil([&] {
    return std::count_if(f.vms.begin(), f.vms.end(), [](const entry& vm) {
             return zones_fixture::HasLostStore(*vm.state);
           }) == static_cast<std::ptrdiff_t>(kWatchersPerZone);
  }));
  f.Change();
  EXPECT_EQ(f.CountStale(), 0u);
}

// Once the store serves a VM again, it follows only watchers of its zone.
TEST(RefusedVms, OutsideSubscriptionsEndWithTheRefusal) {
  zones_fixture f(2);
  ASSERT_TRUE(f.WaitUntilSettled());
  for (std::size_t i = 0; i < kVmsPerZone; ++i)
    f.ways[i]->is_refused = true;
  const auto is_outside = [](const entry_state& state) {
    return std::any_of(
        state.upstreams.begin(), state.upstreams.end(), [&](const auto& entry) {
          return std::find(state.zone_watchers.begin(),
                           state.zone_watchers.end(),
                           entry.first) == state.zone_watchers.end();
        });
  };
  ASSERT_TRUE(f.RunUntil([&] {
    return std::all_of(f.vms.begin(), f.vms.begin() + kVmsPerZone,
                       [&](const entry& vm) { return is_outside(*vm.state); });
  }));
  for (const auto& way : f.ways)
    way->is_refused = false;
  EXPECT_TRUE(
      f.All([&](const entry_state& state) { return !is_outside(state); }));
}

}  // namespace
}  // namespace waxwing
