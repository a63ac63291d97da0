// Tests of the choice of VMs that directory responses list.

#include "waxwing/vm_selection.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>

namespace waxwing {
namespace {

std::vector<member> MakeVms(int count,
                            std::uint32_t capacity,
                            std::string_view prefix = "vm") {
  std::vector<member> out;
  for (int i = 0; i < count; ++i) {
    member vm;
    vm.vm = std::string(prefix) + std::to_string(i);
    vm.request_capacity = capacity;
    out.push_back(vm);
  }
  return out;
}

std::vector<const member*> PointersTo(const std::vector<member>& vms) {
  std::vector<const member*> out;
  out.reserve(vms.size());
  for (const member& vm : vms)
    out.push_back(&vm);
  return out;
}

std::set<std::string> Names(const std::vector<const member*>& vms) {
  std::set<std::string> out;
  for (const member* vm : vms)
    out.insert(vm->vm);
  return out;
}

TEST(VmSelection, CapacityIsLimitedByProcessorAndLink) {
  EXPECT_EQ(RequestCapacity({0.5, 0}), 500u);
  EXPECT_EQ(RequestCapacity({0.5, 10}), 100u);
  EXPECT_EQ(RequestCapacity({0, 0}), 1u);
}

TEST(VmSelection, ListsAllVmsOfASmallZoneOrWithoutKnownLoad) {
  const std::vector<member> small = MakeVms(3, 250);
  EXPECT_EQ(ChooseListedVms(PointersTo(small), 0.0).size(), 3u);
  const std::vector<member> large = MakeVms(60, 120);
  EXPECT_EQ(ChooseListedVms(PointersTo(large), std::nullopt).size(), 60u);
}

TEST(VmSelection, ListsMoreVmsAsTheLoadGrowsAndKeepsTheFirstOnes) {
  const std::vector<member> vms = MakeVms(60, 120);
  std::set<std::string> before;
  for (const double rate : {0.0, 100.0, 366.0, 700.0, 2'000.0, 9'000.0}) {
    const auto names = Names(ChooseListedVms(PointersTo(vms), rate));
    EXPECT_TRUE(std::includes(names.begin(), names.end(), before.begin(),
                              before.end()));
    before = names;
  }
  EXPECT_EQ(before.size(), 60u);
}

// VMs that differ widely: callers choose among the listed ones at random, so
// each of them must carry an equal share, also after the loss of any two.
RC_GTEST_PROP(VmSelection, EveryListedVmCarriesItsShareAfterTwoLosses, ()) {
  std::vector<member> vms;
  double total = 0;
  for (const auto capacity : *rc::gen::container<std::vector<std::uint32_t>>(
           60, rc::gen::inRange<std::uint32_t>(50, 1'000))) {
    member vm;
    vm.vm = std::to_string(vms.size());
    vm.request_capacity = capacity;
    total += capacity;
    vms.push_back(vm);
  }
  const double rate = *rc::gen::inRange(0, 3'000);
  const auto listed = ChooseListedVms(PointersTo(vms), rate);
  RC_ASSERT(listed.size() >= 4u);
  if (listed.size() == vms.size())
    return;
  const double share = rate / static_cast<double>(listed.size() - 2);
  for (const member* vm : listed)
    RC_ASSERT(share <= vm->request_capacity);
}

TEST(VmSelection, LosingAListedVmAddsOneAndMovesNoOther) {
  std::vector<member> vms = MakeVms(60, 120);
  const auto before = Names(ChooseListedVms(PointersTo(vms), 366.0));
  ASSERT_LT(before.size(), 20u);
  const std::string lost = *before.begin();
  std::erase_if(vms, [&](const member& vm) { return vm.vm == lost; });
  auto after = Names(ChooseListedVms(PointersTo(vms), 366.0));
  EXPECT_EQ(after.size(), before.size());
  for (const std::string& vm : before)
    EXPECT_EQ(after.contains(vm), vm != lost);
}

TEST(VmSelection, PeakFollowsAnIncreaseAtOnceAndADecreaseSlowly) {
  peak_rate peak;
  instant now = instant{} + seconds(100);
  UpdatePeakRate(peak, 300, now);
  EXPECT_EQ(peak.requests_per_second, 300);
  now += seconds(2);
  UpdatePeakRate(peak, 100, now);
  EXPECT_GT(peak.requests_per_second, 200);
  now += seconds(60);
  UpdatePeakRate(peak, 100, now);
  EXPECT_EQ(peak.requests_per_second, 100);
}

}  // namespace
}  // namespace waxwing
