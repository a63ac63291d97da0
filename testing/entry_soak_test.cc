// Entries as processes, with faults from outside in overlapping series, while
// callers send and count. The promises are checked by what callers and targets
// see, whatever failed.
//
// WAXWING_SOAK_SEEDS=N plays N seeds from WAXWING_SOAK_FIRST on; without it the
// two seeds of CI.

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
// Faults of one seed.
constexpr int kFaults = 10;
// Time in which a healed system must serve again.
constexpr milliseconds kRecovery{10'000};

using clock = std::chrono::steady_clock;

struct entry_vm {
  pid_t process = 0;
  endpoint callers;
  std::string settings;
};

// Shares of requests that targets refuse, lose, break off or fail.
struct target_faults {
  double refuse = 0;
  double lose = 0;
  double fail = 0;
};

struct seen_answer {
  bool is_once = false;
  unsigned status = 0;
  bool is_whole = false;
};

struct soak {
  asio::io_context context;
  // Chooses the faults; another one chooses all that depends on timing.
  std::mt19937_64 plan;
  std::mt19937_64 random;
  std::unique_ptr<object_store_standin> store = StartObjectStore(context);
  std::vector<std::shared_ptr<scripted_target>> targets;
  std::vector<entry_vm> vms{kVms};
  waxwing::http_pool pool = waxwing::MakeHttpPool(context.get_executor(), {});
  target_faults faults;
  int config_version = 1;
  bool is_over = false;
  int next_id = 1;
  // How often targets ran each request, and what callers saw.
  std::map<std::string, int> runs;
  std::map<std::string, seen_answer> answers;
  std::string history;

  ~soak() {
    for (entry_vm& vm : vms)
      KillProcess(vm.process);
    for (const auto& target : targets)
      target->acceptor.close();
    waxwing::CloseServer(store->server);
  }
};

bool Chance(soak& s, double share) {
  return std::uniform_real_distribution<>()(s.random) < share;
}

std::size_t Pick(soak& s, std::size_t count) {
  return s.random() % count;
}

std::size_t PickFault(soak& s, std::size_t count) {
  return s.plan() % count;
}

void RunFor(soak& s, milliseconds time) {
  s.context.restart();
  s.context.run_for(time);
}

scripted_response AnswerAsTarget(soak& s, const http_request& request) {
  const std::string id(waxwing::FindHeader(request.headers, "Request-Id"));
  if (request.target.starts_with("/api/"))
    return {{PlainResponse(404, id, "{}")}};
  if (Chance(s, s.faults.refuse))
    return {{PlainResponse(503, id, "", "Not-Executed: 1\r\n")}};
  ++s.runs[id];
  if (Chance(s, s.faults.lose))
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

void StartAll(soak& s) {
  PutObject(*s.store, "config", "main", EntryConfig(s.config_version));
  s.targets.reserve(kTargets);
  for (int i = 0; i < kTargets; ++i) {
    s.targets.push_back(
        StartTarget(s.context, [&s](const http_request& request) {
          return AnswerAsTarget(s, request);
        }));
    PutObject(*s.store, "servers", "t" + std::to_string(i),
              EntryTargetRecord(s.targets.back()->Address(), "panel", 0));
  }
  std::vector<endpoint> peers;
  peers.reserve(kVms);
  for (int i = 0; i < kVms; ++i)
    peers.push_back(FreeAddress(s.context));
  for (std::size_t i = 0; i < kVms; ++i) {
    entry_vm& vm = s.vms[i];
    vm.callers = FreeAddress(s.context);
    vm.settings = ::testing::TempDir() + "waxwing-soak-" +
                  std::to_string(getpid()) + "-" + std::to_string(i) + ".json";
    json::array seeds;
    for (const endpoint& peer : peers)
      seeds.emplace_back(ToText(peer));
    std::ofstream(vm.settings) << json::serialize(json::object{
        {"node_name", "vm-" + std::to_string(i)},
        {"zone", "a"},
        {"region", "r"},
        {"listen", json::object{{"front", ToText(vm.callers)},
                                {"ready", ToText(FreeAddress(s.context))},
                                {"control", ToText(peers[i])},
                                {"directory", ToText(FreeAddress(s.context))}}},
        {"seeds", std::move(seeds)},
        {"limits", json::object{{"max_fds", 4'096}}},
        {"bounds", json::object{{"grace_s", 5}, {"retry_slack", 50}}},
        {"platform",
         json::object{{"address", ToText(s.store->server.address)}}}});
    StartVm(vm);
  }
}

asio::awaitable<seen_answer> SendOne(soak& s,
                                     endpoint address,
                                     std::string id,
                                     bool is_once) {
  http_request request;
  request.method = "POST";
  request.target = is_once ? "/start/x" : "/status/x";
  request.headers = {{"Host", "calls.example"},
                     {"Request-Id", id},
                     {"Deadline-Ms", "1000"},
                     {"Authorization", "Token key-1"}};
  const waxwing::http_call_options options{milliseconds(1'500), false, nullptr};
  const auto answer =
      co_await waxwing::Fetch(s.pool, address, request, options);
  seen_answer out;
  out.is_once = is_once;
  if (answer) {
    out.status = answer->status;
    out.is_whole = answer->body == "answer to " + id;
  }
  co_return out;
}

asio::awaitable<void> Call(soak& s) {
  asio::steady_timer timer(s.context);
  while (!s.is_over) {
    const std::string id = "r" + std::to_string(s.next_id++);
    const endpoint address = s.vms[Pick(s, kVms)].callers;
    const bool is_once = Chance(s, 0.5);
    const seen_answer answer = co_await SendOne(s, address, id, is_once);
    s.answers[id] = answer;
    timer.expires_after(milliseconds(5 + Pick(s, 20)));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

// One fault, and what ends it.
std::function<void()> Cause(soak& s) {
  entry_vm& vm = s.vms[PickFault(s, kVms)];
  switch (PickFault(s, 9)) {
    case 0:
      s.history += " kill";
      KillProcess(vm.process);
      return [&vm] { StartVm(vm); };
    case 1:
      s.history += " stop";
      if (vm.process != 0)
        PauseProcess(vm.process);
      return [&vm] {
        if (vm.process != 0)
          ResumeProcess(vm.process);
      };
    case 2:
      s.history += " store-down";
      s.store->is_down = true;
      return [&s] { s.store->is_down = false; };
    case 3:
      s.history += " history-lost";
      s.store->oldest_revision = s.store->revision;
      return [] {};
    case 4:
      s.history += " config";
      PutObject(*s.store, "config", "main", EntryConfig(++s.config_version));
      return [] {};
    case 5:
      s.history += " refuse";
      s.faults.refuse = 0.4;
      return [&s] { s.faults.refuse = 0; };
    case 6:
      s.history += " lose";
      s.faults.lose = 0.2;
      return [&s] { s.faults.lose = 0; };
    case 7:
      s.history += " fail";
      s.faults.fail = 0.3;
      return [&s] { s.faults.fail = 0; };
    default:
      s.history += " all-killed";
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

// Faults begin every 0.2 to 0.8 s and last as long, so that they overlap.
void PlayFaults(soak& s) {
  struct pending {
    clock::time_point at;
    std::function<void()> heal;
  };
  std::vector<pending> open;
  for (int i = 0; i < kFaults; ++i) {
    const milliseconds length(200 + PickFault(s, 1'000));
    std::function<void()> heal = Cause(s);
    open.push_back({clock::now() + length, std::move(heal)});
    RunFor(s, milliseconds(200 + PickFault(s, 600)));
    std::erase_if(open, [&](const pending& each) {
      if (each.at > clock::now())
        return false;
      each.heal();
      return true;
    });
  }
  for (const pending& each : open)
    each.heal();
  for (entry_vm& vm : s.vms) {
    if (vm.process == 0)
      StartVm(vm);
  }
}

// Every VM serves a request that may run once only.
bool Serves(soak& s) {
  const clock::time_point limit = clock::now() + kRecovery;
  for (const entry_vm& vm : s.vms) {
    bool is_served = false;
    while (!is_served && clock::now() < limit) {
      const std::string id = "r" + std::to_string(s.next_id++);
      is_served =
          RunToEnd(s.context, SendOne(s, vm.callers, id, true)).is_whole;
    }
    if (!is_served)
      return false;
  }
  return true;
}

void CheckPromises(const soak& s) {
  int whole = 0;
  for (const auto& [id, answer] : s.answers) {
    const auto found = s.runs.find(id);
    const int runs = found == s.runs.end() ? 0 : found->second;
    if (answer.is_once) {
      EXPECT_LE(runs, 1) << id << " ran " << runs << " times";
    }
    if (answer.status == 200) {
      EXPECT_TRUE(answer.is_whole) << id << ": not its own answer";
      EXPECT_GE(runs, 1) << id << ": answered and not run";
      ++whole;
    }
    // Refusals of the entry's own; targets' 500 and 502, 504 may have run.
    if (answer.status == 503 || answer.status == 429) {
      EXPECT_EQ(runs, 0) << id << ": refused as not run";
    }
  }
  EXPECT_GT(whole, 0);
}

std::uint64_t FromEnvironment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text ? std::strtoull(text, nullptr, 10) : fallback;
}

TEST(EntrySoak, PromisesAreKeptUnderOverlappingFaults) {
  const std::uint64_t first = FromEnvironment("WAXWING_SOAK_FIRST", 1);
  const std::uint64_t count = FromEnvironment("WAXWING_SOAK_SEEDS", 2);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    soak s;
    s.plan.seed(seed);
    s.random.seed(seed);
    StartAll(s);
    RunFor(s, milliseconds(1'000));
    for (int i = 0; i < kCallers; ++i)
      asio::co_spawn(s.context, Call(s), asio::detached);
    PlayFaults(s);
    EXPECT_TRUE(Serves(s));
    s.is_over = true;
    RunFor(s, milliseconds(2'000));
    CheckPromises(s);
    std::printf("seed %llu: %zu requests;%s\n",
                static_cast<unsigned long long>(seed), s.answers.size(),
                s.history.c_str());
    if (::testing::Test::HasFailure()) {
      FAIL() << "seed " << seed << ":" << s.history;
    }
  }
}

}  // namespace
}  // namespace testing_support
