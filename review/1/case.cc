// A VM that gets the operator's changes from the zone watchers is frozen while
// the store turns it away. The zone watchers drop it as a subscriber and take
// it back without telling it what they have published meanwhile.

#include <signal.h>

#include <algorithm>
#include <map>

#include "review/rig.h"
#include "waxwing/membership.h"
#include "waxwing/replication.h"

namespace review {
namespace {

namespace json = boost::json;
using testing_support::PlainResponse;
using testing_support::scripted_response;
using waxwing::http_request;
using waxwing::milliseconds;

constexpr int kVms = 16;
constexpr const char* kZone = "bergen-a";
// The doses of vbf-vest.toml: `node_freeze` for 4.0 s, `platform_down` with
// `how` "nodes reset revoke meet" for 9.0 s.
constexpr milliseconds kFreeze{4'000};
constexpr milliseconds kTurnedAway{9'000};
// After the beginning of the freeze.
constexpr milliseconds kRevokedAfter{3'500};
// Bounds of the deployment.
constexpr milliseconds kContact{3'000};
constexpr milliseconds kConfigApply{2'000};
constexpr milliseconds kMaxStretch{5'000};
constexpr int kQuestions = 10;

waxwing::membership MakeTable(const rig& r, const std::string& self) {
  waxwing::membership table;
  table.self = self;
  for (const entry_vm& vm : r.vms) {
    waxwing::member record;
    record.vm = vm.name;
    record.zone = vm.zone;
    table.members[vm.name] = {record, {}};
  }
  return table;
}

bool IsWatchedBy(const rig& r, const std::string& vm, const std::string& by) {
  const auto links = waxwing::ChooseLinks(MakeTable(r, by));
  return std::find(links.begin(), links.end(), vm) != links.end();
}

// Returns the VMs that follow the zone watchers and exchange no heartbeats with
// them, as most VMs of a zone with many.
std::vector<entry_vm*> FindFollowers(rig& r) {
  const auto watchers = waxwing::ChooseVmsInZone(
      MakeTable(r, r.vms[0].name), std::string("store/") + kZone, kZone,
      waxwing::kWatchersPerZone);
  std::vector<entry_vm*> out;
  for (entry_vm& vm : r.vms) {
    const bool is_apart = std::none_of(
        watchers.begin(), watchers.end(), [&](const std::string& watcher) {
          return vm.name == watcher || IsWatchedBy(r, vm.name, watcher) ||
                 IsWatchedBy(r, watcher, vm.name);
        });
    if (is_apart)
      out.push_back(&vm);
  }
  return out;
}

caller_request Question(int number, const std::string& key) {
  caller_request out;
  out.id = "q" + std::to_string(number) + "-" + key;
  out.path = "/status/x";
  out.key = key;
  return out;
}

int Run(rig& r) {
  std::map<std::string, std::string> runs;
  const auto target = AddTarget(r, [&](const http_request& request) {
    const std::string id(waxwing::FindHeader(request.headers, "Request-Id"));
    runs[id] = std::string(waxwing::FindHeader(request.headers, "Tenant"));
    return scripted_response{{PlainResponse(200, id, "answer to " + id)}};
  });
  PutObject(*r.store, "servers", "i-1",
            testing_support::EntryTargetRecord(target->Address(), "panel", 0));
  PutObject(*r.store, "config", "main",
            Config(1, {Account("desk", {"key-kept"}),
                       Account("crew", {"key-revoked"})}));
  const auto gate = OpenGate(r);
  for (int i = 0; i < kVms; ++i)
    AddVm(r, "front-" + std::to_string(i), kZone);
  const auto followers = FindFollowers(r);
  Record(r, std::to_string(followers.size()) + " of " + std::to_string(kVms) +
                " VMs follow zone watchers with which they exchange no "
                "heartbeats");
  if (followers.empty())
    return kNotRun;
  entry_vm& vm = *followers.front();
  // The way of this VM to the store.
  vm.store = gate->Address();
  StartVms(r);
  if (!WaitUntilReady(r, milliseconds(15'000)))
    return kNotRun;
  RunFor(r, milliseconds(8'000));
  for (const std::string key : {"key-kept", "key-revoked"}) {
    const auto answer = CallAndWait(r, vm.callers, Question(0, key));
    Record(r, "before: " + vm.name + " answers " + key + " with " +
                  std::to_string(answer.status));
    if (answer.status != 200)
      return kNotRun;
  }
  if (r.has_trouble) {
    Record(r, "the store turns " + vm.name + " away (resets)");
    TurnAway(*gate, true);
  }
  RunFor(r, milliseconds(1'000));
  if (r.has_trouble) {
    Record(r, vm.name + " freezes");
    kill(vm.process, SIGSTOP);
  }
  RunFor(r, kRevokedAfter);
  PutObject(*r.store, "config", "main",
            Config(2, {Account("desk", {"key-kept"}), Account("crew", {})}));
  Record(r, "the store acknowledges configuration 2, without key-revoked");
  RunFor(r, kFreeze - kRevokedAfter);
  if (r.has_trouble) {
    kill(vm.process, SIGCONT);
    Record(r, vm.name + " wakes");
  }
  RunFor(r, kTurnedAway - kFreeze - milliseconds(1'000));
  if (r.has_trouble) {
    TurnAway(*gate, false);
    Record(r, "the store serves " + vm.name + " again");
  }
  RunFor(r, kContact + kConfigApply + kMaxStretch);
  int late = 0;
  for (int i = 1; i <= kQuestions; ++i) {
    const caller_request question = Question(i, "key-revoked");
    const auto answer = CallAndWait(r, vm.callers, question);
    const bool has_run = runs.contains(question.id);
    late += has_run;
    Record(r, question.id + " at " + vm.name + ": status " +
                  std::to_string(answer.status) +
                  (has_run ? ", run for tenant " + runs[question.id]
                           : ", not run"));
    RunFor(r, milliseconds(500));
  }
  const entry_vm& other = &vm == &r.vms[0] ? r.vms[1] : r.vms[0];
  const auto elsewhere =
      CallAndWait(r, other.callers, Question(99, "key-revoked"));
  Record(r, "the same key at " + other.name + ": status " +
                std::to_string(elsewhere.status));
  const auto kept = CallAndWait(r, vm.callers, Question(100, "key-kept"));
  Record(r,
         "key-kept at " + vm.name + ": status " + std::to_string(kept.status));
  if (kept.status != 200)
    return kNotRun;
  return late > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, const char** argv) {
  return review::RunCase(argc, argv, review::Run);
}
