// Tests that no stream of two builds comes of a VM that is out of step with the
// others while targets of a new build join.

#include <gtest/gtest.h>

#include <deque>

#include "testing/take_up_fixture.h"

namespace waxwing {
namespace {

using namespace testing_support;  // NOLINT(google-build-using-namespace)

constexpr int kStreams = 12;
constexpr std::string_view kOneBuild[] = {"v1", "v1"};

// Engines of one build, until Release() adds others. A VM that is cut off
// reaches callers and engines, but neither the store nor other VMs; what was
// sent meanwhile arrives when it is back.
struct out_of_step_fixture : take_up_fixture {
  struct held_message {
    std::size_t vm = 0;
    peer_link link;
    wire::messageUnion content;
    instant held_at;
  };
  std::deque<held_message> held;
  std::vector<std::function<void(const peer_link&, wire::messageUnion&)>>
      handlers;
  std::size_t cut_vm;
  bool is_cut = false;
  endpoint store_address;

  explicit out_of_step_fixture(std::size_t vm_count)
      : take_up_fixture(vm_count, kOneBuild), cut_vm(FindFollower()) {
    // Watches of the store end that VMs began before they knew a zone watcher.
    const instant ready_at = SuspendAwareNow() + milliseconds(1'700);
    RunUntil([&] { return SuspendAwareNow() > ready_at; });
    for (const entry& vm : vms) {
      build_history& history = vm.state->builds.at("llm");
      history.observed_since =
          *history.observed_since - vm.state->stream_lifetime;
    }
    for (std::size_t i = 0; i < vms.size(); ++i) {
      auto& handler =
          vms[i].state->membership_agent.state->on_replication_message;
      handlers.push_back(handler);
      handler = [this, i](const peer_link& link, wire::messageUnion& message) {
        const std::string& cut_name = vms[cut_vm].state->options.vm;
        if (is_cut && (i == cut_vm || link.peer.vm == cut_name))
          held.push_back({i, link, std::move(message), SuspendAwareNow()});
        else
          handlers[i](link, message);
      };
    }
  }

  // Returns a VM that gets its list of targets from another one.
  std::size_t FindFollower() const {
    std::size_t out = 0;
    while (out + 1 < vms.size() && IsZoneWatcher(vms[out]))
      ++out;
    return out;
  }
  std::size_t Other(int i) const {
    return (cut_vm + 1 + static_cast<std::size_t>(i) % (vms.size() - 1)) %
           vms.size();
  }
  void CutFromOthers() { is_cut = true; }
  void Cut() {
    CutFromOthers();
    store_address = vms[cut_vm].state->store.address;
    vms[cut_vm].state->store.address = {"127.0.0.1", 1};
  }
  void DeliverFirstHeld() {
    held_message first = std::move(held.front());
    held.pop_front();
    handlers[first.vm](first.link, first.content);
  }
  void Rejoin() {
    vms[cut_vm].state->store.address = store_address;
    while (!held.empty())
      DeliverFirstHeld();
    is_cut = false;
  }
  // Waits until all VMs but one that is cut off list `count` targets.
  bool AllList(std::size_t count) {
    return RunUntil([&] {
      for (std::size_t i = 0; i < vms.size(); ++i) {
        if (!(is_cut && i == cut_vm) && vms[i].state->targets.size() != count)
          return false;
      }
      return true;
    });
  }
  // Adds targets of another build; those of the first leave.
  void Release() {
    const std::size_t old_count = targets.size();
    for (std::size_t i = 0; i < old_count; ++i)
      AddEngine("v2");
    for (std::size_t i = 0; i < old_count; ++i)
      PutEngine(i, "draining");
    AllList(2 * old_count);
    RunUntil([&] {
      const auto& listed = vms[Other(0)].state->targets;
      return std::count_if(listed.begin(), listed.end(), [](const auto& entry) {
               return entry.second.record.is_draining;
             }) == static_cast<std::ptrdiff_t>(old_count);
    });
  }
  // Takes up each stream that has begun as "first-N". Returns how many go on at
  // their build, and how many at another.
  std::pair<int, int> TakeUpAll(std::size_t vm, const std::string& prefix) {
    std::pair<int, int> out;
    for (int i = 0; i < kStreams; ++i) {
      const std::string first = "first-" + std::to_string(i);
      const std::string next = prefix + std::to_string(i);
      TakeUp(vm, next, first);
      if (BuildOf(first).empty() || BuildOf(next).empty())
        continue;
      ++(BuildOf(next) == BuildOf(first) ? out.first : out.second);
    }
    return out;
  }
};

TEST(VmOutOfStep, StreamOfABuildThatItDoesNotKnowGoesOnAtNoOther) {
  for (const std::size_t vms : {3, 6, 24}) {
    out_of_step_fixture f(vms);
    f.Cut();
    f.Release();
    for (int i = 0; i < kStreams; ++i)
      ASSERT_TRUE(f.BeginAndLeave(f.Other(i), "first-" + std::to_string(i)));
    EXPECT_EQ(f.TakeUpAll(f.cut_vm, "cut-").second, 0) << vms << " VMs";
    f.Rejoin();
    ASSERT_TRUE(f.AllList(4));
    const auto [same, other] = f.TakeUpAll(f.cut_vm, "back-");
    EXPECT_GE(same, 0.9 * kStreams) << vms << " VMs";
    EXPECT_EQ(other, 0) << vms << " VMs";
  }
}

TEST(VmOutOfStep, MessagesThatWereHeldUpDoNotConfirmTheListOfTargets) {
  out_of_step_fixture f(3);
  f.Cut();
  const instant cut_at = SuspendAwareNow();
  f.RunUntil([&] { return SuspendAwareNow() > cut_at + seconds(2); });
  const watch_position& position =
      f.vms[f.cut_vm].state->watches.at(object_kind::kTargets);
  duration longest{};
  while (!f.held.empty()) {
    const instant held_at = f.held.front().held_at;
    const auto confirmed_before = position.confirmed_at;
    f.DeliverFirstHeld();
    if (position.confirmed_at != confirmed_before)
      longest = std::max(longest, *position.confirmed_at - held_at);
  }
  EXPECT_LE(ToMs(longest), 20);
}

// The targets of the first build refuse one VM only, which is cut off from the
// others.
TEST(VmOutOfStep, StreamThatItCanTellNobodyOfGoesOnAtNoOtherBuild) {
  for (const std::size_t vms : {3, 6}) {
    out_of_step_fixture f(vms);
    f.CutFromOthers();
    f.AddEngine("v2");
    f.AddEngine("v2");
    ASSERT_TRUE(f.RunUntil([&] {
      return f.AllList(4) && f.vms[f.cut_vm].state->targets.size() == 4;
    }));
    entry_state& state = *f.vms[f.cut_vm].state;
    for (const std::string_view id : {"e0", "e1"})
      state.placement.targets[state.targets.find(id)->second.index]
          .paused_until = std::chrono::steady_clock::now() + seconds(60);
    for (int i = 0; i < kStreams; ++i)
      f.BeginAndLeave(f.cut_vm, "first-" + std::to_string(i));
    EXPECT_EQ(f.TakeUpAll(f.Other(0), "next-").second, 0) << vms << " VMs";
  }
}

// A stream's first target refuses it. The VM at which it is taken up has the
// record of that attempt only.
TEST(VmOutOfStep, StreamWhoseSecondRecordIsMissingGoesOnAtNoOtherBuild) {
  out_of_step_fixture f(3);
  f.AddEngine("v2");
  f.AddEngine("v2");
  ASSERT_TRUE(f.AllList(4));
  for (const entry& vm : f.vms)
    vm.state->builds.at("llm").builds.at("v2").usable_since = instant::min();
  for (const std::size_t old : {0, 1}) {
    f.targets[old]->script = [&f](const http_request& request) {
      const bool begins = FindHeader(request.headers, "Last-Event-Id").empty();
      if (!begins || request.target.starts_with("/api/"))
        return PauseAfterFirstEvent(request);
      f.CutFromOthers();
      return RefuseAsNotExecuted(request);
    };
  }
  int joined = 0;
  for (int i = 0; i < kStreams; ++i) {
    const std::string first = "first-" + std::to_string(i);
    const std::string next = "next-" + std::to_string(i);
    for (target_view& view : f.vms[f.Other(i)].state->placement.targets)
      ClearFailures(view);
    const bool has_begun = f.BeginAndLeave(f.Other(i), first);
    f.TakeUp(f.cut_vm, next, first);
    joined += has_begun && f.BuildOf(first).ends_with("v2") &&
              f.BuildOf(next) == "v1";
    f.is_cut = false;
    while (!f.held.empty())
      f.DeliverFirstHeld();
  }
  EXPECT_EQ(joined, 0);
}

}  // namespace
}  // namespace waxwing
