// Soak test of entries that run as processes. Overlapping faults are injected
// from outside while callers send requests; the guarantees are checked by what
// callers and targets have seen.
//
// WAXWING_SOAK_SEEDS=N runs N seeds from WAXWING_SOAK_FIRST on; the default is
// the two seeds of CI.

#include <gtest/gtest.h>
#include <signal.h>

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

constexpr int kVms = 3;
constexpr int kTargets = 4;
constexpr int kCallers = 12;
// Faults injected per seed.
constexpr int kFaults = 10;
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
  std::vector<entry_vm> vms{kVms};
  waxwing::http_pool pool = waxwing::MakeHttpPool(context.get_executor(), {});
  target_faults faults;
  int config_version = 1;
  bool is_finished = false;
  int next_id = 1;
  // How often targets ran each request, and what callers saw.
  std::map<std::string, int> runs;
  std::map<std::string, caller_result> results;
  std::string fault_log;

  ~soak_run() {
    for (entry_vm& vm : vms)
      KillProcess(vm.process);
    for (const auto& target : targets)
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

scripted_response RespondAsTarget(soak_run& s, const http_request& request) {
  const std::string id(waxwing::FindHeader(request.headers, "Request-Id"));
  if (request.target.starts_with("/api/"))
    return {{PlainResponse(404, id, "{}")}};
  if (Chance(s, s.faults.refuse))
    return {{PlainResponse(503, id, "", "Not-Executed: 1\r\n")}};
  ++s.runs[id];
  if (Chance(s, s.faults.drop))
    return {{}, true};
  if (Chance(s, s.faults.fail))
    return {{PlainResponse(500, id, "sorry")}};
  return {{PlainResponse(200, id, "answer to " + id)}};
}

void StartVm(entry_vm& vm) {
  vm.process = Spawn("waxwing-entry", {},
                     {"WAXWINGPASS_SETTINGS=" + vm.settings, "WAXWING_KEY=soak",
                      "WAXWING_LOG_LEVEL=info"},
                     false);
}

void StartAll(soak_run& s) {
  PutObject(*s.store, "config", "main", EntryConfig(s.config_version));
  s.targets.reserve(kTargets);
  for (int i = 0; i < kTargets; ++i) {
    s.targets.push_back(
        StartTarget(s.context, [&s](const http_request& request) {
          return RespondAsTarget(s, request);
        }));
    PutObject(*s.store, "servers", "t" + std::to_string(i),
              EntryTargetRecord(s.targets.back()->Address(), "panel", 0));
  }
  std::vector<endpoint> peers;
  peers.reserve(kVms);
  for (int i = 0; i < kVms; ++i)
    peers.push_back(FindFreeAddress(s.context));
  for (std::size_t i = 0; i < kVms; ++i) {
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
        {"bounds", json::object{{"grace_s", 5}, {"retry_slack", 50}}},
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
    const endpoint address = s.vms[PickIndex(s, kVms)].callers;
    const bool is_non_idempotent = Chance(s, 0.5);
    const caller_result result =
        co_await SendRequest(s, address, id, is_non_idempotent);
    s.results[id] = result;
    timer.expires_after(milliseconds(5 + PickIndex(s, 20)));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

// Injects one fault and returns what ends it.
std::function<void()> InjectFault(soak_run& s) {
  entry_vm& vm = s.vms[PickFaultValue(s, kVms)];
  switch (PickFaultValue(s, 9)) {
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
      PutObject(*s.store, "config", "main", EntryConfig(++s.config_version));
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
        for (entry_vm& each : s.vms) {
          if (each.process == 0)
            StartVm(each);
        }
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
  for (entry_vm& vm : s.vms) {
    if (vm.process == 0)
      StartVm(vm);
  }
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

std::uint64_t FromEnvironment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text ? std::strtoull(text, nullptr, 10) : fallback;
}

TEST(EntrySoak, GuaranteesHoldUnderOverlappingFaults) {
  const std::uint64_t first = FromEnvironment("WAXWING_SOAK_FIRST", 1);
  const std::uint64_t count = FromEnvironment("WAXWING_SOAK_SEEDS", 2);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    soak_run s;
    s.fault_random.seed(seed);
    s.timing_random.seed(seed);
    StartAll(s);
    RunFor(s, milliseconds(1'000));
    for (int i = 0; i < kCallers; ++i)
      asio::co_spawn(s.context, RunCaller(s), asio::detached);
    RunFaults(s);
    EXPECT_TRUE(EveryVmServes(s));
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
