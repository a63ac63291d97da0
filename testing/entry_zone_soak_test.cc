// Soak test of changes at entries of large zones that run as processes with
// small shares of a processor. Each round makes a few changes, while VMs
// freeze, start again or are turned away by the store, and then rests: a VM
// that has missed a change is cured by the next one, so only a rest shows it.
//
// Changes: routes that are added, dropped and moved to another service, keys
// that are taken away, targets that leave according to the store or to their
// own responses only.
//
// WAXWING_ZONE_SEEDS=N runs N seeds from WAXWING_ZONE_FIRST on,
// WAXWING_ZONE_VMS=N runs N VMs in zones of about 20, WAXWING_ZONE_ROUNDS=N
// makes N rounds; the default is what CI runs. WAXWING_ZONE_LOGS=DIR keeps the
// VMs' logs.

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <optional>
#include <random>
#include <utility>

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
// Those with an even index are of one service, the others of another.
constexpr std::size_t kTargets = 8;
// Bounds of the deployment: a change is in force, and a target that leaves gets
// no more requests, this long after the store's acknowledgement.
constexpr milliseconds kApplyTime{3'000};
constexpr milliseconds kDrainTime{3'000};
// Added to the former while the store turns VMs away.
constexpr milliseconds kStretch{6'000};
constexpr milliseconds kRest{10'000};
constexpr milliseconds kFreeze{4'000};
// A frozen VM is bound again this long after it wakes.
constexpr milliseconds kContact{4'000};
constexpr milliseconds kSlice{100};
constexpr double kLargestShare = 0.5;
constexpr int kDeadlineMs = 2'500;
// Requests a second of all callers.
constexpr int kLoad = 400;

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
  milliseconds apply_time = kApplyTime;
  // The target that the store lists as leaving, and the one that states it.
  int leaving = -1;
  clock::time_point left_at;
  int stating = -1;
  std::optional<clock::time_point> stated_at;
  std::vector<int> starts = std::vector<int>(kTargets);
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

std::string KeyOf(int version) {
  return "key-of-" + std::to_string(version);
}

std::string ServiceOf(std::size_t target) {
  return target % 2 == 0 ? "panel" : "desk";
}

// The service to which a version moves the route /moved/.
std::string MovedTo(int version) {
  return ServiceOf(static_cast<std::size_t>(version));
}

// The configuration with a route and a key that no other version has.
void PutConfig(zone_run& z) {
  json::object config =
      json::parse(
          EntryConfig(
              z.version,
              json::array{EntryRoute("round-" + std::to_string(z.version),
                                     RouteOf(z.version), "idempotent", "panel",
                                     2, false),
                          EntryRoute("moved", "/moved/", "idempotent",
                                     MovedTo(z.version), 2, false)}))
          .as_object();
  config["services"].as_array().push_back(json::object{{"name", "desk"}});
  config["tenants"].as_array()[0].as_object()["api_keys"] =
      json::array{"key-1", KeyOf(z.version)};
  PutObject(*z.store, "config", "main", json::serialize(config));
  z.changed_at = clock::now();
}

void PutTarget(zone_run& z, std::size_t index, std::string_view state) {
  json::object record =
      json::parse(EntryTargetRecord(z.targets[index]->Address(),
                                    ServiceOf(index), 0, state))
          .as_object();
  record["born"] = 1'790'000'000'000 + z.starts[index];
  PutObject(*z.store, "servers", "t" + std::to_string(index),
            json::serialize(record));
}

// Lists a target that had left as a new start.
void ReturnTarget(zone_run& z, int& index) {
  if (index < 0)
    return;
  const auto i = static_cast<std::size_t>(std::exchange(index, -1));
  ++z.starts[i];
  PutTarget(z, i, "ready");
}

scripted_response Respond(zone_run& z,
                          std::size_t index,
                          const http_request& request) {
  const std::string id(waxwing::FindHeader(request.headers, "Request-Id"));
  if (request.target.starts_with("/api/"))
    return {{PlainResponse(404, id, "{}")}};
  const bool is_stating = static_cast<int>(index) == z.stating;
  if (is_stating && !z.stated_at)
    z.stated_at = clock::now();
  std::optional<clock::time_point> left_at;
  if (is_stating)
    left_at = z.stated_at;
  else if (static_cast<int>(index) == z.leaving)
    left_at = z.left_at;
  const auto sent = z.sent_at.find(id);
  const milliseconds allowed = kDrainTime + (z.apply_time - kApplyTime);
  if (left_at && sent != z.sent_at.end() && sent->second > *left_at + allowed &&
      sent->second > z.sent_to.at(id)->bound_from) {
    ++z.late[z.sent_to.at(id)->name];
    std::printf("late: %s sent %s to t%zu, which %s, %lld ms after that\n",
                z.sent_to.at(id)->name.c_str(), id.c_str(), index,
                is_stating ? "states that it is leaving" : "has left",
                static_cast<long long>(waxwing::ToMs(sent->second - *left_at)));
  }
  // States that work takes as long as usual, so that VMs share their load.
  return {{PlainResponse(200, id, ServiceOf(index),
                         std::string("Instance-Load: 1,0,8,100\r\n") +
                             (is_stating ? "Server-Leaving: 1\r\n" : ""))}};
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

void StartVm(zone_vm& vm) {
  const char* logs = std::getenv("WAXWING_ZONE_LOGS");
  if (logs)
    setenv("WAXWING_TEST_LOG",
           (std::string(logs) + "/" + vm.name + ".log").c_str(), 1);
  vm.process = Spawn("waxwing-entry", {},
                     {"WAXWINGPASS_SETTINGS=" + vm.settings, "WAXWING_KEY=soak",
                      "WAXWING_LOG_LEVEL=info"},
                     false);
  unsetenv("WAXWING_TEST_LOG");
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
  constexpr double kShares[] = {
      0.09, 0.3, 0.09, 0.09, kLargestShare, 0.09, 0.3, 0.09, 0.09, 0.09, 0.3};
  z.vms.resize(count);
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
    StartVm(vm);
  }
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

// What a request uses that one version of the configuration has.
enum class probe { kRoute, kKey, kMovedRoute };

// True if a response shows that the VM has not applied the newest version.
// `is_newest` if the request uses what that version has, and not what the one
// before had.
bool IsStale(const zone_run& z,
             probe kind,
             bool is_newest,
             const waxwing::http_response& response) {
  if (kind == probe::kMovedRoute)
    return response.status == 200 && response.body != MovedTo(z.version);
  if (!is_newest)
    return response.status == 200;
  return response.status == 401 || response.status == 404;
}

// Sends a request to a VM and judges how it is handled.
asio::awaitable<void> SendRequest(zone_run& z,
                                  zone_vm& vm,
                                  probe kind,
                                  int version) {
  const std::string id = "r" + std::to_string(z.next_id++);
  const auto sent = clock::now();
  const auto changed_at = z.changed_at;
  const bool is_newest = version == z.version;
  http_request request;
  request.method = "POST";
  request.target = "/status/x";
  if (kind == probe::kRoute)
    request.target = RouteOf(version) + "x";
  else if (kind == probe::kMovedRoute)
    request.target = "/moved/x";
  request.headers = {
      {"Host", "calls.example"},
      {"Request-Id", id},
      {"Deadline-Ms", std::to_string(kDeadlineMs)},
      {"Authorization",
       "Token " + (kind == probe::kKey ? KeyOf(version) : "key-1")}};
  z.sent_at[id] = sent;
  z.sent_to[id] = &vm;
  const waxwing::http_call_options options{milliseconds(kDeadlineMs + 500),
                                           false};
  const auto response =
      co_await waxwing::Fetch(z.pool, vm.callers, request, options);
  z.sent_at.erase(id);
  z.sent_to.erase(id);
  const bool is_bound =
      sent > changed_at + z.apply_time && sent > vm.bound_from;
  const bool has_changed_since = z.changed_at != changed_at;
  if (!response || !is_bound || has_changed_since)
    co_return;
  ++z.judged;
  if (IsStale(z, kind, is_newest, *response)) {
    ++z.stale[vm.name];
    std::printf(
        "stale: %s handled %s (%s, key of version %d) with %u, "
        "%lld ms after the change\n",
        vm.name.c_str(), request.target.c_str(), id.c_str(),
        kind == probe::kKey ? version : 0, response->status,
        static_cast<long long>(waxwing::ToMs(sent - z.changed_at)));
  }
}

asio::awaitable<void> RunLoad(zone_run& z) {
  asio::steady_timer timer(z.context);
  auto next = clock::now();
  while (!z.is_finished) {
    zone_vm& vm = z.vms[z.random() % z.vms.size()];
    const int version = z.version - static_cast<int>(z.random() % 4 == 0);
    const auto kind = static_cast<probe>(z.random() % 3);
    asio::co_spawn(z.context, SendRequest(z, vm, kind, version),
                   asio::detached);
    next += std::chrono::microseconds(1'000'000 / kLoad);
    timer.expires_at(next);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

// Changes configuration and targets, one to three times in quick succession, or
// several times a second. A target states that it is leaving, too.
void MakeChanges(zone_run& z) {
  const bool is_burst = z.random() % 3 == 0;
  ReturnTarget(z, z.stating);
  z.stated_at.reset();
  z.stating = static_cast<int>(z.random() % kTargets);
  RunFor(z, milliseconds(z.random() % 300));
  for (std::size_t i = is_burst ? 8 : 1 + z.random() % 3; i > 0; --i) {
    ++z.version;
    PutConfig(z);
    ReturnTarget(z, z.leaving);
    // Any but the one that states its departure.
    z.leaving =
        (z.stating + 1 + static_cast<int>(z.random() % (kTargets - 1))) %
        static_cast<int>(kTargets);
    z.left_at = clock::now();
    const auto index = static_cast<std::size_t>(z.leaving);
    if (z.random() % 2 == 0)
      RemoveObject(*z.store, "servers", "t" + std::to_string(index));
    else
      PutTarget(z, index, "draining");
    RunFor(z, milliseconds(z.random() % (is_burst ? 250 : 700)));
  }
}

// Picks up to a quarter of the VMs.
std::vector<zone_vm*> PickVms(zone_run& z) {
  std::vector<zone_vm*> out;
  for (std::size_t i = z.random() % (z.vms.size() / 4); i > 0; --i)
    out.push_back(&z.vms[z.random() % z.vms.size()]);
  return out;
}

// Kills some VMs and starts them again, among them one of the largest.
void RestartVms(zone_run& z) {
  std::vector<zone_vm*> chosen = PickVms(z);
  chosen.resize(std::min<std::size_t>(chosen.size(), 3));
  std::vector<zone_vm*> largest;
  for (zone_vm& vm : z.vms) {
    if (vm.share == kLargestShare)
      largest.push_back(&vm);
  }
  chosen.push_back(largest[z.random() % largest.size()]);
  for (zone_vm* vm : chosen) {
    KillProcess(vm->process);
    StartVm(*vm);
  }
}

// The largest VMs of one zone, on which the others depend.
void AddLargestOfAZone(zone_run& z, std::vector<zone_vm*>& out) {
  const std::size_t zones = (z.vms.size() + kZoneSize - 1) / kZoneSize;
  const std::size_t zone = z.random() % zones;
  for (std::size_t i = zone; i < z.vms.size(); i += zones) {
    if (z.vms[i].share == kLargestShare)
      out.push_back(&z.vms[i]);
  }
}

// The store refuses some VMs and others freeze, or the same, around the changes
// of a round. Then everything is calm for long enough that all are in force; in
// some rounds the store goes on to refuse VMs meanwhile.
void RunRound(zone_run& z) {
  std::vector<zone_vm*> refused = PickVms(z);
  const bool goes_on = z.random() % 3 == 0;
  const bool has_restarts = z.random() % 2 == 0;
  if (goes_on || z.random() % 2 == 0)
    AddLargestOfAZone(z, refused);
  z.apply_time = goes_on ? kApplyTime + kStretch : kApplyTime;
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
  if (has_restarts)
    RestartVms(z);
  MakeChanges(z);
  for (zone_vm* vm : frozen)
    vm->is_frozen = false;
  RunFor(z, milliseconds(z.random() % 4'000));
  if (!goes_on) {
    for (zone_vm* vm : refused)
      vm->store->is_refused = false;
  }
  for (zone_vm& vm : z.vms)
    vm.bound_from = clock::now() + kContact;
  RunFor(z, goes_on ? kRest + kStretch : kRest);
  for (zone_vm* vm : refused) {
    vm->store->is_refused = false;
    vm->bound_from = clock::now() + kContact;
  }
}

// A VM kept an older configuration and a target that had left, after a message
// to it was lost, until the next change.
TEST(EntrySoakZones, ChangesAreInForceAtEveryVm) {
  const std::uint64_t first = FromEnvironment("WAXWING_ZONE_FIRST", 1);
  const std::uint64_t count = FromEnvironment("WAXWING_ZONE_SEEDS", 1);
  const std::uint64_t rounds = FromEnvironment("WAXWING_ZONE_ROUNDS", 2);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    zone_run z;
    z.random.seed(seed);
    StartAll(z, FromEnvironment("WAXWING_ZONE_VMS", kZoneSize));
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
