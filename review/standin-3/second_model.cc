#include <map>

#include "review/standin-3/cases.h"

namespace review {

namespace asio = boost::asio;
namespace json = boost::json;
using testing_support::PlainResponse;
using testing_support::scripted_response;

namespace {

constexpr std::string_view kFirstModel = "daka510000";
constexpr std::string_view kSecondModel = "zumo220000";
constexpr int kWorkers = 3;
constexpr milliseconds kVersionLimit{8'000};
// Time between the acknowledgement and the last request.
constexpr milliseconds kObserved{14'000};

// A model worker: the versions of its models, and its orders so far.
struct model_worker {
  std::string id;
  endpoint address;
  std::map<std::string, int, std::less<>> versions{
      {std::string(kFirstModel), 1},
      {std::string(kSecondModel), 1}};
  int orders = 0;
};

json::array ModelsOf(const model_worker& worker) {
  json::array out;
  for (const auto& [name, version] : worker.versions)
    out.push_back(json::object{
        {"name", name}, {"version", version}, {"adapters", json::array{}}});
  return out;
}

json::object RecordOf(const model_worker& worker) {
  return {{"service", "llm-pool"},
          {"address", ToText(worker.address)},
          {"zone", "zone-a"},
          {"version", "v1"},
          {"slots", 32},
          {"state", "ready"},
          {"cold_left_ms", 0},
          {"phase", "combined"},
          {"models", ModelsOf(worker)},
          {"sequence", worker.orders}};
}

std::string MakeConfig() {
  json::array models{json::object{{"name", kFirstModel}},
                     json::object{{"name", kSecondModel}}};
  return json::serialize(json::object{
      {"version", 1},
      {"routes", json::array{json::object{{"name", "crew-brief"},
                                          {"host", "jepu9.example"},
                                          {"path_prefix", "/crew/"},
                                          {"route_type", "streaming"},
                                          {"timeout_ms", 3'000},
                                          {"slo_ms", 300},
                                          {"gap_target_ms", 250},
                                          {"priority", 0},
                                          {"service", "llm-pool"},
                                          {"max_attempts", 2},
                                          {"anonymous", false},
                                          {"sticky", true},
                                          {"can_resume", true}}}},
      {"services",
       json::array{json::object{
           {"name", "llm-pool"},
           {"health_path", "/health"},
           {"max_conns", 620},
           {"engine", json::object{{"slots", 32},
                                   {"kv_capacity", 112'401},
                                   {"kv_bytes", 96'256},
                                   {"link_mbps", 260'000.0},
                                   {"max_inflight", 12},
                                   {"models", std::move(models)}}}}}},
      {"tenants",
       json::array{json::object{{"name", "sese880"},
                                {"api_keys", json::array{"key-a"}}}}}});
}

// Carries out an order and writes the worker's entry, as workers do.
scripted_response CarryOut(world& w,
                           model_worker& worker,
                           const http_request& request) {
  const json::object order = json::parse(request.body).as_object();
  const std::string model(order.at("model").as_string());
  const int version = order.at("version").to_number<int>();
  Note(w, worker.id + " is ordered to load " + model + " version " +
              std::to_string(version));
  ++worker.orders;
  worker.versions[model] = version;
  PutObject(*w.store, "servers", worker.id, json::serialize(RecordOf(worker)));
  return {{PlainResponse(202, "", "{}")}};
}

scripted_response Serve(world& w,
                        model_worker& worker,
                        const http_request& request,
                        int& runs_on_old) {
  if (request.target == "/api/order")
    return CarryOut(w, worker, request);
  if (request.target == "/api/report")
    return {{PlainResponse(
        200, "",
        json::serialize(json::object{{"phase", "combined"},
                                     {"models", ModelsOf(worker)},
                                     {"busy", false},
                                     {"sequence", worker.orders},
                                     {"queued", 0},
                                     {"running", 0},
                                     {"kv_used", 0},
                                     {"kv_total", 112'401},
                                     {"handles", 0}}))}};
  if (request.target.starts_with("/api/")) {
    scripted_response events{{PlainResponse(
        200, "", R"({"boot_epoch":1,"next":1,"lost":false,"events":[]})")}};
    events.delay = milliseconds(200);
    return events;
  }
  const std::string id(waxwing::FindHeader(request.headers, "Request-Id"));
  const std::string model(waxwing::FindHeader(request.headers, "Model"));
  const std::string expected(
      waxwing::FindHeader(request.headers, "Expect-Version"));
  const std::string version = std::to_string(worker.versions[model]);
  if (!expected.empty() && expected != version) {
    Note(w, worker.id + " refuses " + id + ": it expects version " + expected +
                " of " + model + ", which has version " + version);
    return {{PlainResponse(421, id, "", "Instance-Id: " + worker.id + "\r\n")}};
  }
  Note(w, worker.id + " runs " + id + " on " + model + " version " + version);
  runs_on_old += model == kSecondModel && version == "1";
  return {{"HTTP/1.1 200 OK\r\nRequest-Id: " + id +
               "\r\nServer-Stamp: stamp\r\nWeight-Versions: " + version +
               "\r\nContent-Type: text/event-stream\r\n"
               "Transfer-Encoding: chunked\r\n\r\n",
           testing_support::StreamEvent(1, "text"),
           testing_support::StreamEnd()}};
}

unsigned Ask(world& w, std::string_view model, const std::string& id) {
  const auto response =
      Await(w, Send(w, w.entries.front()->front, "/crew/x", id,
                    {{"Authorization", "Token key-a"},
                     {"Model", std::string(model)},
                     {"Token-Count", "826,58"},
                     {"Prefix-Hash", "5c1e07a2:198,91bd3f06:628"}}));
  Note(w, id + " -> " + std::to_string(response.status));
  return response.status;
}

}  // namespace

int RunSecondModelCase(world& w) {
  std::vector<model_worker> workers(kWorkers);
  int runs_on_old = 0;
  for (int i = 0; i < kWorkers; ++i) {
    model_worker& worker = workers[static_cast<std::size_t>(i)];
    worker.id = "i-" + std::to_string(i);
    AddTarget(
        w, worker.id,
        [&worker](const endpoint& address) {
          worker.address = address;
          return RecordOf(worker);
        },
        [&w, &worker, &runs_on_old](const http_request& request) {
          return Serve(w, worker, request, runs_on_old);
        });
  }
  PutObject(*w.store, "config", "main", MakeConfig());
  entry_process& entry = AddEntry(w, {.name = "front-bergen-a-1"});
  entry.settings.seeds = {entry.control};
  StartEntry(w, entry);
  if (!WaitUntilReady(w, entry, milliseconds(10'000)))
    return kNotRun;
  RunFor(w, milliseconds(1'000));
  if (Ask(w, kFirstModel, "before-first") != 200 ||
      Ask(w, kSecondModel, "before-second") != 200)
    return kNotRun;
  if (w.has_trouble)
    PutObject(
        *w.store, "versions", std::string(kSecondModel),
        json::serialize(json::object{{"model", kSecondModel}, {"version", 2}}));
  const auto named = Elapsed(w);
  Note(w, w.has_trouble ? "the store has acknowledged version 2 of " +
                              std::string(kSecondModel)
                        : "no version is named");
  int late_runs = 0;
  for (int i = 0; Elapsed(w) < named + kObserved; ++i) {
    const bool is_late = Elapsed(w) > named + kVersionLimit;
    runs_on_old = 0;
    Ask(w, kFirstModel, "first-" + std::to_string(i));
    Ask(w, kSecondModel, "second-" + std::to_string(i));
    late_runs += w.has_trouble && is_late ? runs_on_old : 0;
    RunFor(w, milliseconds(500));
  }
  Note(w, std::to_string(late_runs) +
              " requests began on version 1 over 8 s after version 2 was "
              "acknowledged");
  return late_runs > 0 ? kBroken : kHeld;
}

}  // namespace review
