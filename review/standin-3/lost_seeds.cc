#include "review/standin-3/cases.h"

namespace review {

namespace asio = boost::asio;
namespace json = boost::json;
using testing_support::PlainResponse;
using testing_support::scripted_response;

namespace {

constexpr std::size_t kSeeds = 3;
constexpr std::size_t kOthers = 3;
constexpr int kCallersPerMachine = 4;
// The tenant's quota in tokens, and what a request without a count counts.
constexpr double kRate = 29'000;
constexpr double kBurst = 29'000;
constexpr double kPlainTokens = 1'000;
// The bounds of the sheet of Relais Belgique.
constexpr milliseconds kWindow{8'000};
constexpr double kOver = 0.1;
constexpr double kSlack = 110'000;
constexpr milliseconds kLoadTime{14'000};

std::string MakeConfig() {
  return json::serialize(json::object{
      {"version", 1},
      {"routes", json::array{json::object{{"name", "send-sms"},
                                          {"host", "jepu9.example"},
                                          {"path_prefix", "/send/"},
                                          {"route_type", "non_idempotent"},
                                          {"timeout_ms", 2'500},
                                          {"slo_ms", 150},
                                          {"priority", 2},
                                          {"service", "gateway-app"},
                                          {"max_attempts", 1},
                                          {"anonymous", false},
                                          {"sticky", false},
                                          {"can_resume", false}}}},
      {"services", json::array{json::object{{"name", "gateway-app"},
                                            {"health_path", "/health"},
                                            {"max_conns", 460}}}},
      {"tenants", json::array{json::object{{"name", "sese880"},
                                           {"api_keys", json::array{"key-a"}},
                                           {"unit", "tokens"},
                                           {"rate_per_s", kRate},
                                           {"burst", kBurst},
                                           {"plain_tokens", kPlainTokens}}}}});
}

// What callers and workers have seen.
struct tally {
  std::vector<milliseconds> runs;
  int served = 0;
  int over_quota = 0;
  int other = 0;
  int next_id = 0;
  int callers = 0;
};

asio::awaitable<void> RunCaller(world& w,
                                tally& seen,
                                endpoint front,
                                milliseconds end) {
  asio::steady_timer timer(w.context);
  while (Elapsed(w) < end) {
    const std::string id = "sms-" + std::to_string(seen.next_id++);
    http_headers key;
    key.push_back({"Authorization", "Token key-a"});
    const auto response =
        co_await Send(w, front, "/send/x", id, std::move(key));
    Note(w, id + " at port " + std::to_string(front.port) + " -> " +
                std::to_string(response.status));
    ++(response.status == 200   ? seen.served
       : response.status == 429 ? seen.over_quota
                                : seen.other);
    timer.expires_after(milliseconds(20));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  --seen.callers;
}

double MostTokensInWindow(const std::vector<milliseconds>& runs) {
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < runs.size(); ++last) {
    while (runs[last] - runs[first] >= kWindow)
      ++first;
    most = std::max(most, last - first + 1);
  }
  return kPlainTokens * static_cast<double>(most);
}

void StartMachine(world& w, entry_process& entry, bool is_first_start) {
  entry.settings.is_first_start = is_first_start;
  StartEntry(w, entry);
}

// All machines lose power at the same moment, and the seeds stay away.
void LosePower(world& w) {
  for (const auto& entry : w.entries)
    KillEntry(w, *entry);
  RunFor(w, milliseconds(1'000));
  for (std::size_t i = kSeeds; i < w.entries.size(); ++i)
    StartMachine(w, *w.entries[i], false);
}

}  // namespace

int RunLostSeedsCase(world& w) {
  tally seen;
  for (int i = 0; i < 3; ++i)
    AddTarget(
        w, "i-" + std::to_string(i),
        [](const endpoint& address) {
          return json::parse(testing_support::EntryTargetRecord(
                                 address, "gateway-app", 0))
              .as_object();
        },
        [&w, &seen](const http_request& request) {
          const std::string id(
              waxwing::FindHeader(request.headers, "Request-Id"));
          seen.runs.push_back(Elapsed(w));
          Note(w, "a worker runs " + id);
          return scripted_response{{PlainResponse(200, id, "done")}};
        });
  PutObject(*w.store, "config", "main", MakeConfig());
  std::vector<endpoint> seeds;
  for (std::size_t i = 0; i < kSeeds + kOthers; ++i) {
    entry_process& entry =
        AddEntry(w, {.name = "front-be-z-a-" + std::to_string(i + 1)});
    if (i < kSeeds)
      seeds.push_back(entry.control);
  }
  for (const auto& entry : w.entries) {
    entry->settings.seeds = seeds;
    StartMachine(w, *entry, true);
  }
  for (const auto& entry : w.entries) {
    if (!WaitUntilReady(w, *entry, milliseconds(10'000)))
      return kNotRun;
  }
  RunFor(w, milliseconds(5'000));
  if (w.has_trouble)
    LosePower(w);
  for (std::size_t i = kSeeds; i < w.entries.size(); ++i) {
    if (!WaitUntilReady(w, *w.entries[i], milliseconds(10'000)))
      return kNotRun;
  }
  // Longer than `recover_s`, so that the machines had time to find each other.
  RunFor(w, milliseconds(16'000));
  Note(w, "the tenant begins to send");
  const milliseconds end = Elapsed(w) + kLoadTime;
  for (std::size_t i = kSeeds; i < w.entries.size(); ++i) {
    for (int caller = 0; caller < kCallersPerMachine; ++caller) {
      ++seen.callers;
      asio::co_spawn(w.context, RunCaller(w, seen, w.entries[i]->front, end),
                     asio::detached);
    }
  }
  RunUntil(w, kLoadTime + milliseconds(10'000),
           [&] { return seen.callers == 0; });
  const double most = MostTokensInWindow(seen.runs);
  const double allowed =
      (kRate * waxwing::ToSeconds(kWindow) + kBurst) * (1 + kOver) + kSlack;
  Note(w, std::to_string(seen.served) + " served, " +
              std::to_string(seen.over_quota) + " over the quota, " +
              std::to_string(seen.other) + " other; at most " +
              std::to_string(most) + " tokens ran within 8 s, allowed are " +
              std::to_string(allowed));
  if (seen.served == 0)
    return kNotRun;
  return most > allowed ? kBroken : kHeld;
}

}  // namespace review
