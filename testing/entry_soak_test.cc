// Soak test of entries that run as processes. Overlapping faults are injected
// from outside while callers send requests; the guarantees are checked by what
// callers and targets have seen.
//
// WAXWING_SOAK_SEEDS=N runs N seeds from WAXWING_SOAK_FIRST on; the default is
// the two seeds of CI. WAXWING_SOAK_VMS=N runs N VMs.

#include <gtest/gtest.h>
#include <signal.h>

#include <cstdlib>
#include <fstream>
#include <random>

#include "testing/busiest_window.h"
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

constexpr std::size_t kVms = 3;
constexpr int kTargets = 4;
constexpr int kEngines = 3;
constexpr int kCallers = 12;
constexpr int kPromptCallers = 9;
// Faults injected per seed.
constexpr int kFaults = 10;
// Bound on starts of requests on replaced weights, and the time without
// disruption from which it counts.
constexpr milliseconds kWeightsLimit{3'000};
// Requests per second that targets state that they take, and the window in
// which requests count.
constexpr int kStatedRate = 3;
constexpr milliseconds kRateWindow{4'000};
// Length of responses that are no HTTP.
constexpr std::size_t kGarbageBytes = 4 * 1024 * 1024;
// Pause that targets ask for in their refusals, in seconds.
constexpr std::string_view kPauseSeconds = "1.5";
// Time within which the system must serve again after all faults have ended.
constexpr milliseconds kRecovery{10'000};

using clock = std::chrono::steady_clock;

struct entry_vm {
  pid_t process = 0;
  endpoint callers;
  std::string settings;
};

// Shares of requests that targets refuse, drop after running them, or fail.
struct target_faults {
  double refuse = 0;
  double drop = 0;
  double fail = 0;
  // Share of refusals that ask for a pause.
  double pause = 0;
  // Share of responses that are no HTTP, but many bytes.
  double garbage = 0;
  // Targets state a request rate in their responses.
  bool state_rate = false;
  // Longest time to the first token of engines; orders are not carried out.
  std::size_t start_delay_ms = 0;
  bool ignore_orders = false;
};

// A model engine: its weights version, and the one that it is loading.
struct soak_engine {
  int version = 1;
  int orders = 0;
};

struct caller_result {
  bool is_non_idempotent = false;
  unsigned status = 0;
  bool is_complete = false;
};

struct soak_run {
  asio::io_context context;
  // Chooses the faults, which depend on the seed alone. `timing_random` makes
  // all choices that depend on timing.
  std::mt19937_64 fault_random;
  std::mt19937_64 timing_random;
  std::unique_ptr<object_store_standin> store = StartObjectStore(context);
  std::vector<std::shared_ptr<scripted_target>> targets;
  std::vector<entry_vm> vms =
      std::vector<entry_vm>(FromEnvironment("WAXWING_SOAK_VMS", kVms));
  waxwing::http_pool pool = waxwing::MakeHttpPool(context.get_executor(), {});
  target_faults faults;
  int config_version = 1;
  bool is_finished = false;
  int next_id = 1;
  // How often targets ran each request, and what callers saw.
  std::map<std::string, int> runs;
  std::map<std::string, caller_result> results;
  std::string fault_log;
  std::vector<soak_engine> engines{kEngines};
  // Engine service. Its requests start on the version that is stated.
  std::vector<std::shared_ptr<scripted_target>> engine_targets;
  int weights = 1;
  // When each version of the weights was announced, and when the last fault of
  // the store or of a VM ended or will end at the latest.
  std::map<int, clock::time_point> announced_at;
  clock::time_point calm_since;
  int late_starts = 0;
  // By target: when its requests arrived.
  std::vector<clock::time_point> arrivals[kTargets];
  // Index of a target that states its departure, or -1, and its incarnations.
  int leaving_target = -1;
  std::int64_t born = 1;

  ~soak_run() {
    for (entry_vm& vm : vms)
      KillProcess(vm.process);
    for (const auto& target : targets)
      target->acceptor.close();
    for (const auto& target : engine_targets)
      target->acceptor.close();
    waxwing::CloseServer(store->server);
  }
};

bool Chance(soak_run& s, double share) {
  return std::uniform_real_distribution<>()(s.timing_random) < share;
}

std::size_t PickIndex(soak_run& s, std::size_t count) {
  return s.timing_random() % count;
}

std::size_t PickFaultValue(soak_run& s, std::size_t count) {
  return s.fault_random() % count;
}

void RunFor(soak_run& s, milliseconds time) {
  s.context.restart();
  s.context.run_for(time);
}

// The configuration, with a route whose requests may wait long for an engine.
std::string SoakConfig(int version) {
  json::object patient =
      EntryRoute("long", "/long/", "streaming", "llm", 2, true);
  patient["timeout_ms"] = 6'000;
  return EntryConfig(version, json::array{std::move(patient)});
}

// Returns the record of target or engine `index`.
std::string SoakRecord(const soak_run& s, std::size_t index, bool is_engine) {
  json::object record =
      json::parse(EntryTargetRecord(is_engine
                                        ? s.engine_targets[index]->Address()
                                        : s.targets[index]->Address(),
                                    is_engine ? "llm" : "panel",
                                    is_engine ? s.engines[index].version : 0))
          .as_object();
  record["born"] = s.born;
  return json::serialize(record);
}

// Writes what the operator and the targets have written, as they do after a
// loss.
void WriteAgain(soak_run& s) {
  PutObject(*s.store, "config", "main", SoakConfig(s.config_version));
  if (s.weights > 1)
    PutObject(
        *s.store, "versions", "m",
        json::serialize(json::object{{"model", "m"}, {"version", s.weights}}));
  for (std::size_t i = 0; i < s.targets.size(); ++i)
    PutObject(*s.store, "servers", "t" + std::to_string(i),
              SoakRecord(s, i, false));
  for (std::size_t i = 0; i < s.engine_targets.size(); ++i)
    PutObject(*s.store, "servers", "e" + std::to_string(i),
              SoakRecord(s, i, true));
}

// Counts a request that starts on weights that were replaced too long ago.
void CheckStart(soak_run& s, int version) {
  const auto newer = s.announced_at.upper_bound(version);
  if (newer != s.announced_at.end() &&
      clock::now() > std::max(newer->second, s.calm_since) + kWeightsLimit)
    ++s.late_starts;
}

scripted_response RespondAsEngine(soak_run& s,
                                  std::size_t index,
                                  const http_request& request) {
  const std::string id(waxwing::FindHeader(request.headers, "Request-Id"));
  soak_engine& engine = s.engines[index];
  if (request.target == "/api/report")
    return {{PlainResponse(
        200, id,
        json::serialize(json::object{
            {"models", json::array{json::object{{"name", "m"},
                                                {"version", engine.version}}}},
            {"busy", false},
            {"sequence", engine.orders}}))}};
  if (request.target == "/api/order") {
    if (s.faults.ignore_orders)
      return {{PlainResponse(409, id, "{}")}};
    ++engine.orders;
    engine.version = static_cast<int>(json::parse(request.body)
                                          .as_object()
                                          .at("version")
                                          .to_number<std::int64_t>());
    PutObject(*s.store, "servers", "e" + std::to_string(index),
              SoakRecord(s, index, true));
    return {{PlainResponse(202, id, "{}")}};
  }
  if (request.target.starts_with("/api/"))
    return {{PlainResponse(404, id, "{}")}};
  const std::string expected(
      waxwing::FindHeader(request.headers, "Expect-Version"));
  if (expected != std::to_string(engine.version))
    return {{PlainResponse(421, id, "", "Not-Executed: 1\r\n")}};
  scripted_response out{{StreamHead(id), StreamEvent(1, id), StreamEnd()}};
  out.delay = milliseconds(1 + PickIndex(s, s.faults.start_delay_ms + 20));
  out.on_start = [&s, version = engine.version] { CheckStart(s, version); };
  return out;
}

scripted_response RespondAsTarget(soak_run& s,
                                  std::size_t index,
                                  const http_request& request) {
  const std::string id(waxwing::FindHeader(request.headers, "Request-Id"));
  if (request.target.starts_with("/api/"))
    return {{PlainResponse(404, id, "{}")}};
  s.arrivals[index].push_back(clock::now());
  const std::string rate =
      s.faults.state_rate
          ? "Server-Limit: " + std::to_string(kStatedRate) + "\r\n"
          : "";
  if (static_cast<int>(index) == s.leaving_target) {
    ++s.runs[id];
    return {
        {PlainResponse(200, id, "answer to " + id, "Server-Leaving: 1\r\n")}};
  }
  if (Chance(s, s.faults.pause))
    return {{PlainResponse(503, id, "",
                           "Not-Executed: 1\r\nRetry-After: " +
                               std::string(kPauseSeconds) + "\r\n")}};
  if (Chance(s, s.faults.refuse))
    return {{PlainResponse(503, id, "", "Not-Executed: 1\r\n" + rate)}};
  ++s.runs[id];
  if (Chance(s, s.faults.garbage))
    return {{std::string(kGarbageBytes, 'x')}};
  if (Chance(s, s.faults.drop))
    return {{}, true};
  if (Chance(s, s.faults.fail))
    return {{PlainResponse(500, id, "sorry", rate)}};
  return {{PlainResponse(200, id, "answer to " + id, rate)}};
}

void StartVm(entry_vm& vm) {
  if (vm.process != 0)
    return;
  vm.process = Spawn("waxwing-entry", {},
                     {"WAXWINGPASS_SETTINGS=" + vm.settings, "WAXWING_KEY=soak",
                      "WAXWING_LOG_LEVEL=info"},
                     false);
}

void StartAll(soak_run& s) {
  s.store->era = 1;
  s.targets.reserve(kTargets);
  for (std::size_t i = 0; i < kTargets; ++i)
    s.targets.push_back(
        StartTarget(s.context, [&s, i](const http_request& request) {
          return RespondAsTarget(s, i, request);
        }));
  for (std::size_t i = 0; i < kEngines; ++i)
    s.engine_targets.push_back(
        StartTarget(s.context, [&s, i](const http_request& request) {
          return RespondAsEngine(s, i, request);
        }));
  WriteAgain(s);
  std::vector<endpoint> peers;
  peers.reserve(s.vms.size());
  for (std::size_t i = 0; i < s.vms.size(); ++i)
    peers.push_back(FindFreeAddress(s.context));
  for (std::size_t i = 0; i < s.vms.size(); ++i) {
    entry_vm& vm = s.vms[i];
    vm.callers = FindFreeAddress(s.context);
    vm.settings = ::testing::TempDir() + "waxwing-soak-" +
                  std::to_string(getpid()) + "-" + std::to_string(i) + ".json";
    json::array seeds;
    for (const endpoint& peer : peers)
      seeds.emplace_back(ToText(peer));
    std::ofstream(vm.settings) << json::serialize(json::object{
        {"node_name", "vm-" + std::to_string(i)},
        {"zone", "a"},
        {"region", "r"},
        {"listen",
         json::object{{"front", ToText(vm.callers)},
                      {"ready", ToText(FindFreeAddress(s.context))},
                      {"control", ToText(peers[i])},
                      {"directory", ToText(FindFreeAddress(s.context))}}},
        {"seeds", std::move(seeds)},
        {"limits", json::object{{"max_fds", 4'096}}},
        {"bounds", json::object{{"grace_s", 5},
                                {"retry_slack", 50},
                                {"contact_ms", 1'000},
                                {"version_ms", kWeightsLimit.count()}}},
        {"platform",
         json::object{{"address", ToText(s.store->server.address)}}}});
    StartVm(vm);
  }
}

asio::awaitable<caller_result> SendRequest(soak_run& s,
                                           endpoint address,
                                           std::string id,
                                           bool is_non_idempotent) {
  http_request request;
  request.method = "POST";
  request.target = is_non_idempotent ? "/start/x" : "/status/x";
  request.headers = {{"Host", "calls.example"},
                     {"Request-Id", id},
                     {"Deadline-Ms", "1000"},
                     {"Authorization", "Token key-1"}};
  const waxwing::http_call_options options{milliseconds(1'500), false, nullptr};
  const auto response =
      co_await waxwing::Fetch(s.pool, address, request, options);
  caller_result out;
  out.is_non_idempotent = is_non_idempotent;
  if (response) {
    out.status = response->status;
    out.is_complete = response->body == "answer to " + id;
  }
  co_return out;
}

asio::awaitable<void> RunCaller(soak_run& s) {
  asio::steady_timer timer(s.context);
  while (!s.is_finished) {
    const std::string id = "r" + std::to_string(s.next_id++);
    const endpoint address = s.vms[PickIndex(s, s.vms.size())].callers;
    const bool is_non_idempotent = Chance(s, 0.5);
    const caller_result result =
        co_await SendRequest(s, address, id, is_non_idempotent);
    s.results[id] = result;
    timer.expires_after(milliseconds(5 + PickIndex(s, 20)));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

asio::awaitable<void> RunPromptCaller(soak_run& s) {
  asio::steady_timer timer(s.context);
  while (!s.is_finished) {
    http_request request;
    request.method = "POST";
    request.target = "/long/x";
    request.headers = {{"Host", "calls.example"},
                       {"Request-Id", "p" + std::to_string(s.next_id++)},
                       {"Deadline-Ms", "5000"},
                       {"Model", "m"},
                       {"Token-Count", "100,10"},
                       {"Authorization", "Token key-1"}};
    const endpoint address = s.vms[PickIndex(s, s.vms.size())].callers;
    const waxwing::http_call_options options{milliseconds(6'000), false};
    co_await waxwing::Fetch(s.pool, address, request, options);
    timer.expires_after(milliseconds(5 + PickIndex(s, 20)));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

// Announces new weights while engines are slow to start and to load.
std::function<void()> AnnounceWeights(soak_run& s) {
  s.faults.start_delay_ms = 2'500;
  s.faults.ignore_orders = true;
  ++s.weights;
  PutObject(
      *s.store, "versions", "m",
      json::serialize(json::object{{"model", "m"}, {"version", s.weights}}));
  s.announced_at[s.weights] = clock::now();
  return [&s] {
    s.faults.start_delay_ms = 0;
    s.faults.ignore_orders = false;
  };
}

// A target states its departure; another incarnation follows it.
std::function<void()> LetTargetLeave(soak_run& s) {
  const std::size_t index = PickFaultValue(s, kTargets);
  s.leaving_target = static_cast<int>(index);
  return [&s, index] {
    s.leaving_target = -1;
    ++s.born;
    PutObject(*s.store, "servers", "t" + std::to_string(index),
              SoakRecord(s, index, false));
  };
}

// Injects one fault and returns what ends it.
std::function<void()> InjectFault(soak_run& s) {
  entry_vm& vm = s.vms[PickFaultValue(s, s.vms.size())];
  switch (PickFaultValue(s, 15)) {
    case 9:
      s.fault_log += " weights";
      return AnnounceWeights(s);
    case 10:
      s.fault_log += " copy";
      return [&s, copy = CopyStore(*s.store)] {
        RestoreStore(*s.store, copy);
        WriteAgain(s);
      };
    case 11:
      s.fault_log += " leave";
      return LetTargetLeave(s);
    case 12:
      s.fault_log += " pause";
      s.faults.pause = 0.2;
      return [&s] { s.faults.pause = 0; };
    case 13:
      s.fault_log += " rate";
      s.faults.state_rate = true;
      return [&s] { s.faults.state_rate = false; };
    case 14:
      s.fault_log += " garbage";
      s.faults.garbage = 0.2;
      return [&s] { s.faults.garbage = 0; };
    case 0:
      s.fault_log += " kill";
      KillProcess(vm.process);
      return [&vm] { StartVm(vm); };
    case 1:
      s.fault_log += " stop";
      if (vm.process != 0)
        PauseProcess(vm.process);
      return [&vm] {
        if (vm.process != 0)
          ResumeProcess(vm.process);
      };
    case 2:
      s.fault_log += " store-down";
      s.store->is_down = true;
      return [&s] { s.store->is_down = false; };
    case 3:
      s.fault_log += " history-lost";
      s.store->oldest_revision = s.store->revision;
      return [] {};
    case 4:
      s.fault_log += " config";
      PutObject(*s.store, "config", "main", SoakConfig(++s.config_version));
      return [] {};
    case 5:
      s.fault_log += " refuse";
      s.faults.refuse = 0.4;
      return [&s] { s.faults.refuse = 0; };
    case 6:
      s.fault_log += " drop";
      s.faults.drop = 0.2;
      return [&s] { s.faults.drop = 0; };
    case 7:
      s.fault_log += " fail";
      s.faults.fail = 0.3;
      return [&s] { s.faults.fail = 0; };
    default:
      s.fault_log += " all-killed";
      for (entry_vm& each : s.vms)
        KillProcess(each.process);
      return [&s] {
        for (entry_vm& each : s.vms)
          StartVm(each);
      };
  }
}

// A fault begins every 0.2 to 0.8 s and lasts 0.2 to 1.2 s, so that faults
// overlap.
void RunFaults(soak_run& s) {
  struct active_fault {
    clock::time_point heal_at;
    std::function<void()> heal;
  };
  std::vector<active_fault> active;
  for (int i = 0; i < kFaults; ++i) {
    const milliseconds length(200 + PickFaultValue(s, 1'000));
    std::function<void()> heal = InjectFault(s);
    active.push_back({clock::now() + length, std::move(heal)});
    // Faults end with the check after their time, at the latest.
    s.calm_since =
        std::max(s.calm_since, clock::now() + length + milliseconds(800));
    RunFor(s, milliseconds(200 + PickFaultValue(s, 600)));
    std::erase_if(active, [&](const active_fault& each) {
      if (each.heal_at > clock::now())
        return false;
      each.heal();
      return true;
    });
  }
  for (const active_fault& each : active)
    each.heal();
  for (entry_vm& vm : s.vms)
    StartVm(vm);
}

// True if every VM serves a non-idempotent request within the recovery time.
bool EveryVmServes(soak_run& s) {
  const clock::time_point limit = clock::now() + kRecovery;
  for (const entry_vm& vm : s.vms) {
    bool is_served = false;
    while (!is_served && clock::now() < limit) {
      const std::string id = "r" + std::to_string(s.next_id++);
      is_served =
          RunToEnd(s.context, SendRequest(s, vm.callers, id, true)).is_complete;
    }
    if (!is_served)
      return false;
  }
  return true;
}

// Engines that stay slow and ignore orders must not start requests on replaced
// weights.
void CheckWeightsLimit(soak_run& s) {
  const std::function<void()> heal = AnnounceWeights(s);
  s.calm_since = clock::now();
  RunFor(s, kWeightsLimit + milliseconds(2'500));
  heal();
  EXPECT_EQ(s.late_starts, 0);
}

// A paused target and one that has stated its departure get no new requests.
void CheckNotices(soak_run& s) {
  s.faults.pause = 1;
  RunFor(s, milliseconds(600));
  const auto requests = [&s] {
    std::size_t count = 0;
    for (const auto& target : s.targets)
      count += target->requests.size();
    return count;
  };
  const std::size_t before = requests();
  RunFor(s, milliseconds(700));
  EXPECT_LE(requests() - before, 2 * s.vms.size() * kTargets);
  s.faults.pause = 0;
  RunFor(s, milliseconds(1'500));
  s.leaving_target = 0;
  RunFor(s, milliseconds(2'000));
  const std::size_t at_departure = s.targets[0]->requests.size();
  RunFor(s, milliseconds(1'000));
  EXPECT_EQ(s.targets[0]->requests.size(), at_departure);
}

// Equal targets get equal shares of the requests in calm times.
void CheckShares(soak_run& s) {
  constexpr milliseconds kSettling{2'000};
  constexpr milliseconds kLength{3'000};
  constexpr std::size_t kMinMean = 100;
  constexpr double kMaxRatio = 1.3;
  RunFor(s, kSettling);
  const clock::time_point start = clock::now();
  RunFor(s, kLength);
  std::size_t sum = 0;
  std::size_t busiest = 0;
  for (const auto& arrivals : s.arrivals) {
    const auto count = static_cast<std::size_t>(
        std::count_if(arrivals.begin(), arrivals.end(),
                      [&](clock::time_point each) { return each > start; }));
    sum += count;
    busiest = std::max(busiest, count);
  }
  if (sum >= kMinMean * kTargets) {
    EXPECT_LE(static_cast<double>(busiest),
              kMaxRatio * static_cast<double>(sum) / kTargets);
  }
}

// All VMs together keep to the rate that each target states, and use it.
void CheckRates(soak_run& s) {
  constexpr milliseconds kNoticeTime{500};
  s.leaving_target = -1;
  s.faults.state_rate = true;
  const clock::time_point start = clock::now() + kNoticeTime;
  RunFor(s, 2 * kRateWindow);
  s.faults.state_rate = false;
  for (const auto& all : s.arrivals) {
    std::vector<clock::time_point> arrivals;
    std::copy_if(all.begin(), all.end(), std::back_inserter(arrivals),
                 [&](clock::time_point each) { return each > start; });
    const std::size_t busiest = BusiestWindow(arrivals, kRateWindow);
    const auto window_seconds = kRateWindow.count() / 1'000;
    EXPECT_LE(busiest, kStatedRate * window_seconds * 3 / 2 + 5);
    // The first target has left.
    if (&all != &s.arrivals[0]) {
      EXPECT_GE(busiest, kStatedRate * window_seconds / 2);
    }
  }
}

void CheckGuarantees(const soak_run& s) {
  int complete = 0;
  for (const auto& [id, result] : s.results) {
    const auto found = s.runs.find(id);
    const int runs = found == s.runs.end() ? 0 : found->second;
    if (result.is_non_idempotent) {
      EXPECT_LE(runs, 1) << id << " ran " << runs << " times";
    }
    if (result.status == 200) {
      EXPECT_TRUE(result.is_complete) << id << ": not its own response";
      EXPECT_GE(runs, 1) << id << ": response to a request that has not run";
      ++complete;
    }
    // The entry's own refusals state that the request was not run. Requests
    // that ended with 500, 502 or 504 may have run.
    if (result.status == 503 || result.status == 429) {
      EXPECT_EQ(runs, 0) << id << ": refused as not run, but has run";
    }
  }
  EXPECT_GT(complete, 0);
}

// Starts everything and runs the faults of a seed.
void RunWithFaults(soak_run& s, std::uint64_t seed) {
  s.fault_random.seed(seed);
  s.timing_random.seed(seed);
  StartAll(s);
  RunFor(s, milliseconds(1'000));
  for (int i = 0; i < kCallers; ++i)
    asio::co_spawn(s.context, RunCaller(s), asio::detached);
  for (int i = 0; i < kPromptCallers; ++i)
    asio::co_spawn(s.context, RunPromptCaller(s), asio::detached);
  RunFaults(s);
}

TEST(EntrySoak, EqualTargetsGetEqualSharesAfterFaults) {
  const std::uint64_t first = FromEnvironment("WAXWING_SOAK_FIRST", 701);
  const std::uint64_t count = FromEnvironment("WAXWING_SOAK_SEEDS", 1);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    soak_run s;
    RunWithFaults(s, seed);
    EXPECT_TRUE(EveryVmServes(s));
    CheckShares(s);
    s.is_finished = true;
    RunFor(s, milliseconds(2'000));
    EXPECT_FALSE(::testing::Test::HasFailure())
        << "seed " << seed << ":" << s.fault_log;
  }
}

TEST(EntrySoak, GuaranteesHoldUnderOverlappingFaults) {
  const std::uint64_t first = FromEnvironment("WAXWING_SOAK_FIRST", 1);
  const std::uint64_t count = FromEnvironment("WAXWING_SOAK_SEEDS", 2);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    soak_run s;
    RunWithFaults(s, seed);
    EXPECT_TRUE(EveryVmServes(s));
    CheckWeightsLimit(s);
    CheckNotices(s);
    CheckRates(s);
    s.is_finished = true;
    RunFor(s, milliseconds(2'000));
    CheckGuarantees(s);
    std::printf("seed %llu: %zu requests;%s\n",
                static_cast<unsigned long long>(seed), s.results.size(),
                s.fault_log.c_str());
    if (::testing::Test::HasFailure()) {
      FAIL() << "seed " << seed << ":" << s.fault_log;
    }
  }
}

}  // namespace
}  // namespace testing_support
