#include "review/standin-3/cases.h"

namespace review {

namespace asio = boost::asio;
namespace json = boost::json;
using testing_support::PlainResponse;
using testing_support::scripted_response;

namespace {

constexpr int kFirstRoutes = 8;
constexpr int kLaterRoutes = 12;
constexpr int kDroppedRoute = 3;
// The lowest rank that the entry reads.
constexpr int kLowestRankWithoutTrouble = 9;
constexpr milliseconds kConfigApply{2'000};
constexpr milliseconds kObserved{10'000};

json::object MakeRoute(int index, int rank) {
  const std::string name = "r" + std::to_string(index);
  return {{"name", name},
          {"host", "jepu9.example"},
          {"path_prefix", "/" + name + "/"},
          {"route_type", "non_idempotent"},
          {"timeout_ms", 3'000},
          {"slo_ms", 300},
          {"priority", rank},
          {"service", "portal"},
          {"max_attempts", 1},
          {"anonymous", false},
          {"sticky", false},
          {"can_resume", false}};
}

std::string MakeConfig(int version, json::array routes, json::array keys) {
  return json::serialize(json::object{
      {"version", version},
      {"routes", std::move(routes)},
      {"services", json::array{json::object{{"name", "portal"},
                                            {"health_path", "/health"},
                                            {"max_conns", 100}}}},
      {"limits", json::object{{"max_header_bytes", 16'384},
                              {"max_body_bytes", 4'194'304},
                              {"header_timeout_ms", 3'000},
                              {"idle_timeout_ms", 15'000}}},
      {"tenants", json::array{json::object{{"name", "sese880"},
                                           {"api_keys", std::move(keys)},
                                           {"priority", 1}}}}});
}

std::string FirstConfig() {
  json::array routes;
  for (int i = 0; i < kFirstRoutes; ++i)
    routes.push_back(MakeRoute(i, i));
  return MakeConfig(1, std::move(routes), {"key-a", "key-b"});
}

// Each of the routes has a rank of its own, unless there is no trouble.
std::string SecondConfig(bool has_trouble) {
  json::array routes;
  for (int i = 0; i < kLaterRoutes; ++i) {
    if (i != kDroppedRoute)
      routes.push_back(MakeRoute(
          i, has_trouble ? i : std::min(i, kLowestRankWithoutTrouble)));
  }
  return MakeConfig(2, std::move(routes), {"key-a"});
}

unsigned Ask(world& w,
             const std::string& path,
             const std::string& key,
             const std::string& id) {
  const auto response = Await(w, Send(w, w.entries.front()->front, path, id,
                                      {{"Authorization", "Token " + key}}));
  Note(w, id + ": POST " + path + " with " + key + " -> " +
              std::to_string(response.status));
  return response.status;
}

}  // namespace

int RunRankCase(world& w) {
  int runs = 0;
  for (int i = 0; i < 3; ++i)
    AddTarget(
        w, "i-" + std::to_string(i),
        [](const endpoint& address) {
          return json::parse(
                     testing_support::EntryTargetRecord(address, "portal", 0))
              .as_object();
        },
        [&w, &runs](const http_request& request) {
          const std::string id(
              waxwing::FindHeader(request.headers, "Request-Id"));
          ++runs;
          Note(w, "a worker runs " + id);
          return scripted_response{{PlainResponse(200, id, "done")}};
        });
  PutObject(*w.store, "config", "main", FirstConfig());
  entry_process& entry = AddEntry(w, {.name = "front-bergen-a-1"});
  entry.settings.seeds = {entry.control};
  StartEntry(w, entry);
  if (!WaitUntilReady(w, entry, milliseconds(10'000)))
    return kNotRun;
  RunFor(w, milliseconds(500));
  if (Ask(w, "/r1/x", "key-b", "before-key") != 200 ||
      Ask(w, "/r3/x", "key-a", "before-route") != 200)
    return kNotRun;
  PutObject(*w.store, "config", "main", SecondConfig(w.has_trouble));
  Note(w, "the store has acknowledged version 2");
  RunFor(w, kConfigApply + milliseconds(200));
  int broken = 0;
  const auto end = Elapsed(w) + kObserved;
  for (int i = 0; Elapsed(w) < end; ++i) {
    const std::string number = std::to_string(i);
    broken += Ask(w, "/r1/x", "key-b", "taken-key-" + number) == 200;
    broken += Ask(w, "/r3/x", "key-a", "dropped-route-" + number) == 200;
    broken += Ask(w, "/r11/x", "key-a", "new-route-" + number) == 404;
    RunFor(w, milliseconds(500));
  }
  Note(w, std::to_string(broken) +
              " requests were handled as only version 1 allows");
  return broken > 0 ? kBroken : kHeld;
}

}  // namespace review
