// Soak test of changes at entries of large zones that run as processes with
// small shares of a processor. Each round makes a few changes and then rests: a
// VM that has missed a change is cured by the next one, so only a rest shows
// it.
//
// WAXWING_ZONE_SEEDS=N runs N seeds from WAXWING_ZONE_FIRST on,
// WAXWING_ZONE_VMS=N runs N VMs in zones of about 20, WAXWING_ZONE_ROUNDS=N
// makes N rounds; the default is what CI runs. WAXWING_ZONE_LOGS=DIR keeps the
// VMs' logs.

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <random>

#include "testing/event_loop.h"
#include "testing/platform_standin.h"
#include "testing/processes.h"
#include "waxwing/http_client.h"

namespace testing_support {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using waxwing::endpoint;
using waxwing::http_request;
using waxwing::milliseconds;
using clock = std::chrono::steady_clock;

constexpr std::size_t kZoneSize = 20;
constexpr std::size_t kTargets = 6;
// Bounds of the deployment: a change is in force, and a target that leaves gets
// no more requests, this long after the store's acknowledgement.
constexpr milliseconds kApplyTime{3'000};
constexpr milliseconds kDrainTime{3'000};
constexpr milliseconds kRest{7'000};
constexpr milliseconds kFreeze{4'000};
// A frozen VM is bound again this long after it wakes.
constexpr milliseconds kContact{4'000};
constexpr milliseconds kSlice{100};
constexpr int kDeadlineMs = 2'500;
// Requests a second of all callers.
constexpr int kLoad = 400;

std::uint64_t Setting(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text ? std::strtoull(text, nullptr, 10) : fallback;
}

struct zone_vm {
  std::string name;
  pid_t process = 0;
  // Share of the time in which the process may run.
  double share = 1;
  bool is_frozen = false;
  // The VM's way to the store.
  std::unique_ptr<store_access> store;
  // Requests sent before this time are not judged.
  clock::time_point bound_from;
  endpoint callers;
  std::string settings;
};

struct zone_run {
  asio::io_context context;
  std::mt19937_64 random;
  std::unique_ptr<object_store_standin> store = StartObjectStore(context);
  waxwing::http_pool pool = waxwing::MakeHttpPool(context.get_executor(), {});
  std::vector<std::shared_ptr<scripted_target>> targets;
  std::vector<zone_vm> vms;
  int version = 1;
  clock::time_point changed_at;
  int leaving = -1;
  clock::time_point left_at;
  std::map<std::string, clock::time_point> sent_at;
  std::map<std::string, const zone_vm*> sent_to;
  bool is_finished = false;
  int next_id = 1;
  // By VM: requests handled by an older configuration, or run at a target that
  // has left.
  std::map<std::string, int> stale;
  std::map<std::string, int> late;
  std::size_t judged = 0;

  ~zone_run() {
    for (zone_vm& vm : vms)
      KillProcess(vm.process);
    for (const auto& target : targets)
      target->acceptor.close();
    for (const zone_vm& vm : vms)
      waxwing::CloseServer(vm.store->server);
    waxwing::CloseServer(store->server);
  }
};

void RunFor(zone_run& z, milliseconds time) {
  z.context.restart();
  z.context.run_for(time);
}

std::string RouteOf(int version) {
  return "/round-" + std::to_string(version) + "/";
}

// The configuration with a route that no other version has.
void PutConfig(zone_run& z) {
  json::object config =
      json::parse(
          EntryConfig(z.version, json::array{EntryRoute(
                                     "round-" + std::to_string(z.version),
                                     RouteOf(z.version), "idempotent", "panel",
                                     2, false)}))
          .as_object();
  PutObject(*z.store, "config", "main", json::serialize(config));
  z.changed_at = clock::now();
}

void PutTarget(zone_run& z, std::size_t index, std::string_view state) {
  PutObject(*z.store, "servers", "t" + std::to_string(index),
            EntryTargetRecord(z.targets[index]->Address(), "panel", 0, state));
}

scripted_response Respond(zone_run& z,
                          std::size_t index,
                          const http_request& request) {
  const std::string id(waxwing::FindHeader(request.headers, "Request-Id"));
  if (request.target.starts_with("/api/"))
    return {{PlainResponse(404, id, "{}")}};
  const auto sent = z.sent_at.find(id);
  if (static_cast<int>(index) == z.leaving && sent != z.sent_at.end() &&
      sent->second > z.left_at + kDrainTime &&
      sent->second > z.sent_to.at(id)->bound_from)
    ++z.late[z.sent_to.at(id)->name];
  // States that work takes as long as usual, so that VMs share their load.
  return {{PlainResponse(200, id, "ok", "Instance-Load: 1,0,8,100\r\n")}};
}

void WriteSettings(const zone_vm& vm,
                   const std::string& zone,
                   const endpoint& peers,
                   const json::array& seeds,
                   const std::vector<endpoint>& others) {
  std::ofstream(vm.settings) << json::serialize(json::object{
      {"node_name", vm.name},
      {"zone", zone},
      {"region", "r"},
      {"listen", json::object{{"front", ToText(vm.callers)},
                              {"ready", ToText(others[0])},
                              {"control", ToText(peers)},
                              {"directory", ToText(others[1])}}},
      {"seeds", seeds},
      {"bootstrap", true},
      {"heartbeat_ms", 1'200},
      {"limits",
       json::object{
           {"max_fds", 3'075}, {"memory_mb", 96}, {"cpu_share", vm.share}}},
      {"bounds", json::object{{"grace_s", 8},
                              {"retry_slack", 192},
                              {"contact_ms", kContact.count()},
                              {"drain_ms", kDrainTime.count()},
                              {"config_apply_ms", kApplyTime.count()}}},
      {"platform",
       json::object{{"address", ToText(vm.store->server.address)}}}});
}

void StartAll(zone_run& z, std::size_t count) {
  z.store->era = 1;
  for (std::size_t i = 0; i < kTargets; ++i) {
    z.targets.push_back(
        StartTarget(z.context, [&z, i](const http_request& request) {
          return Respond(z, i, request);
        }));
    PutTarget(z, i, "ready");
  }
  PutConfig(z);
  const std::size_t zones = (count + kZoneSize - 1) / kZoneSize;
  std::vector<endpoint> peers;
  for (std::size_t i = 0; i < count; ++i)
    peers.push_back(FindFreeAddress(z.context));
  json::array seeds;
  for (std::size_t i = 0; i < 3; ++i)
    seeds.emplace_back(ToText(peers[i]));
  constexpr double kShares[] = {0.09, 0.3, 0.09, 0.09, 0.5, 0.09, 0.3, 0.09};
  z.vms.resize(count);
  const char* logs = std::getenv("WAXWING_ZONE_LOGS");
  for (std::size_t i = 0; i < count; ++i) {
    zone_vm& vm = z.vms[i];
    vm.name = "vm-" + std::to_string(i);
    vm.share = kShares[i % std::size(kShares)];
    vm.callers = FindFreeAddress(z.context);
    vm.store = OpenStoreAccess(*z.store);
    vm.settings = ::testing::TempDir() + "waxwing-zone-" +
                  std::to_string(getpid()) + "-" + vm.name + ".json";
    WriteSettings(vm, "zone-" + std::to_string(i % zones), peers[i], seeds,
                  {FindFreeAddress(z.context), FindFreeAddress(z.context)});
    if (logs)
      setenv("WAXWING_TEST_LOG",
             (std::string(logs) + "/" + vm.name + ".log").c_str(), 1);
    vm.process = Spawn("waxwing-entry", {},
                       {"WAXWINGPASS_SETTINGS=" + vm.settings,
                        "WAXWING_KEY=soak", "WAXWING_LOG_LEVEL=info"},
                       false);
  }
  unsetenv("WAXWING_TEST_LOG");
}

// Lets each process run for its share of each slice, at a phase of its own.
asio::awaitable<void> Throttle(zone_run& z, std::size_t index) {
  zone_vm& vm = z.vms[index];
  asio::steady_timer timer(z.context);
  auto next = clock::now() + milliseconds(index * 37 % 100);
  const auto run = std::chrono::duration_cast<clock::duration>(
      vm.share * std::chrono::duration<double, std::milli>(kSlice));
  const auto wait = [&](clock::time_point until) {
    timer.expires_at(until);
    return timer.async_wait(asio::as_tuple(asio::use_awaitable));
  };
  while (!z.is_finished) {
    co_await wait(next);
    if (!vm.is_frozen)
      ResumeProcess(vm.process);
    co_await wait(std::max(next + run, clock::now() + run));
    PauseProcess(vm.process);
    next = std::max(next + kSlice, clock::now() + (kSlice - run));
  }
}

// Sends a request to a VM and judges how it is handled.
asio::awaitable<void> SendRequest(zone_run& z, zone_vm& vm, int version) {
  const std::string id = "r" + std::to_string(z.next_id++);
  const auto sent = clock::now();
  const auto changed_at = z.changed_at;
  const bool is_newest = version == z.version;
  http_request request;
  request.method = "POST";
  request.target = RouteOf(version) + "x";
  request.headers = {{"Host", "calls.example"},
                     {"Request-Id", id},
                     {"Deadline-Ms", std::to_string(kDeadlineMs)},
                     {"Authorization", "Token key-1"}};
  z.sent_at[id] = sent;
  z.sent_to[id] = &vm;
  const waxwing::http_call_options options{milliseconds(kDeadlineMs + 500),
                                           false};
  const auto response =
      co_await waxwing::Fetch(z.pool, vm.callers, request, options);
  z.sent_at.erase(id);
  z.sent_to.erase(id);
  const bool is_bound = sent > changed_at + kApplyTime && sent > vm.bound_from;
  const bool has_changed_since = z.changed_at != changed_at;
  if (!response || !is_bound || has_changed_since)
    co_return;
  ++z.judged;
  // A route that is there is not unknown, and one that is gone is not served.
  if (is_newest ? response->status == 404 : response->status == 200) {
    ++z.stale[vm.name];
    std::printf("stale: %s handled %s (%s) with %u, %lld ms after the change\n",
                vm.name.c_str(), request.target.c_str(), id.c_str(),
                response->status,
                static_cast<long long>(waxwing::ToMs(sent - z.changed_at)));
  }
}

asio::awaitable<void> RunLoad(zone_run& z) {
  asio::steady_timer timer(z.context);
  auto next = clock::now();
  while (!z.is_finished) {
    zone_vm& vm = z.vms[z.random() % z.vms.size()];
    const int version = z.version - static_cast<int>(z.random() % 4 == 0);
    asio::co_spawn(z.context, SendRequest(z, vm, version), asio::detached);
    next += std::chrono::microseconds(1'000'000 / kLoad);
    timer.expires_at(next);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

// Changes configuration and targets, one to three times in quick succession.
void MakeChanges(zone_run& z) {
  for (std::size_t i = 1 + z.random() % 3; i > 0; --i) {
    ++z.version;
    PutConfig(z);
    if (z.leaving >= 0)
      PutTarget(z, static_cast<std::size_t>(z.leaving), "ready");
    z.leaving = static_cast<int>(z.random() % kTargets);
    z.left_at = clock::now();
    const auto index = static_cast<std::size_t>(z.leaving);
    if (z.random() % 2 == 0)
      RemoveObject(*z.store, "servers", "t" + std::to_string(index));
    else
      PutTarget(z, index, "draining");
    RunFor(z, milliseconds(z.random() % 700));
  }
}

// Picks up to a quarter of the VMs.
std::vector<zone_vm*> PickVms(zone_run& z) {
  std::vector<zone_vm*> out;
  for (std::size_t i = z.random() % (z.vms.size() / 4); i > 0; --i)
    out.push_back(&z.vms[z.random() % z.vms.size()]);
  return out;
}

// The store refuses some VMs and others freeze, or the same, around the changes
// of a round. Then everything is calm for long enough that all are in force.
void RunRound(zone_run& z) {
  const std::vector<zone_vm*> refused = PickVms(z);
  const std::vector<zone_vm*> frozen =
      z.random() % 2 == 0 ? refused : PickVms(z);
  for (zone_vm* vm : refused)
    vm->store->is_refused = true;
  for (zone_vm* vm : frozen)
    vm->bound_from = clock::time_point::max();
  RunFor(z, milliseconds(500 + z.random() % 1'000));
  for (zone_vm* vm : frozen)
    vm->is_frozen = true;
  RunFor(z, milliseconds(z.random() % kFreeze.count()));
  MakeChanges(z);
  for (zone_vm* vm : frozen)
    vm->is_frozen = false;
  RunFor(z, milliseconds(z.random() % 4'000));
  for (zone_vm* vm : refused)
    vm->store->is_refused = false;
  for (zone_vm& vm : z.vms)
    vm.bound_from = clock::now() + kContact;
  RunFor(z, kRest);
}

// A VM kept an older configuration and a target that had left, after a message
// to it was lost, until the next change.
TEST(EntrySoakZones, ChangesAreInForceAtEveryVm) {
  const std::uint64_t first = Setting("WAXWING_ZONE_FIRST", 1);
  const std::uint64_t count = Setting("WAXWING_ZONE_SEEDS", 1);
  const std::uint64_t rounds = Setting("WAXWING_ZONE_ROUNDS", 2);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    zone_run z;
    z.random.seed(seed);
    StartAll(z, Setting("WAXWING_ZONE_VMS", kZoneSize));
    RunFor(z, milliseconds(4'000));
    for (std::size_t i = 0; i < z.vms.size(); ++i)
      asio::co_spawn(z.context, Throttle(z, i), asio::detached);
    RunFor(z, milliseconds(4'000));
    asio::co_spawn(z.context, RunLoad(z), asio::detached);
    for (std::uint64_t i = 0; i < rounds; ++i)
      RunRound(z);
    z.is_finished = true;
    RunFor(z, milliseconds(kDeadlineMs + 600));
    std::printf(
        "seed %llu: %zu VMs, %zu requests judged, %zu VMs stale, "
        "%zu with late requests\n",
        static_cast<unsigned long long>(seed), z.vms.size(), z.judged,
        z.stale.size(), z.late.size());
    EXPECT_GT(z.judged, 0u);
    EXPECT_TRUE(z.stale.empty());
    EXPECT_TRUE(z.late.empty());
    if (::testing::Test::HasFailure()) {
      FAIL() << "seed " << seed;
    }
  }
}

}  // namespace
}  // namespace testing_support
