#include <boost/beast.hpp>
#include <map>
#include <random>
#include <set>

#include "review/standin-3/cases.h"
#include "testing/target_path.h"

namespace review {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;
using testing_support::path_cut;
using testing_support::target_path;

namespace {

constexpr std::size_t kMachines = 4;
constexpr std::size_t kWorkers = 4;
constexpr int kStreams = 12;
constexpr int kRounds = 3;
constexpr int kEvents = 60;
constexpr milliseconds kEventGap{40};
// Events of the streams that last while all machines are away, and when these
// end after the streams have begun, start again, and are asked after that.
constexpr int kEventsOfLongStreams = 180;
constexpr milliseconds kTimeToEnd{2'000};
constexpr milliseconds kTimeAway{1'500};
constexpr milliseconds kTimeToTakeUp{5'000};
// From the cut to the end of the machine.
constexpr milliseconds kCutTime{1'000};
// More streams than this break the rule.
constexpr int kAllowedStreams = 2;
constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);

// A model worker, which streams its software version in each event.
struct stream_worker {
  std::string id;
  std::string build;
  tcp::acceptor acceptor;
  endpoint address;
  int events = kEvents;
};

// What one stream of a client has brought.
struct client_stream {
  std::string first_id;
  int last_event = 0;
  std::set<std::string> builds;
  bool is_complete = false;
  bool is_over = false;
  int tries = 0;
};

struct scene {
  std::vector<std::unique_ptr<stream_worker>> workers;
  // The paths from the first machine to the workers.
  std::vector<std::shared_ptr<target_path>> paths;
  waxwing::http_server first_store;
  std::vector<std::unique_ptr<client_stream>> streams;
  std::mt19937 random{7};
};

asio::awaitable<void> WriteAll(tcp::socket& socket,
                               std::string text,
                               bool& is_open) {
  auto [error, count] =
      co_await asio::async_write(socket, asio::buffer(text), kUseTuple);
  is_open = is_open && !error;
}

std::string Plain(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
         "Content-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

asio::awaitable<void> StreamEvents(world& w,
                                   stream_worker& worker,
                                   tcp::socket& socket,
                                   std::string id,
                                   int after,
                                   bool& is_open) {
  Note(w, worker.id + " (" + worker.build + ") runs " + id + " from event " +
              std::to_string(after + 1) + " on");
  co_await WriteAll(socket,
                    "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                        "\r\nServer-Stamp: stamp\r\nWeight-Versions: 1\r\n"
                        "Content-Type: text/event-stream\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n",
                    is_open);
  asio::steady_timer timer(socket.get_executor());
  for (int event = after + 1; event <= worker.events && is_open; ++event) {
    timer.expires_after(kEventGap);
    co_await timer.async_wait(kUseTuple);
    co_await WriteAll(socket, testing_support::StreamEvent(event, worker.build),
                      is_open);
  }
  co_await WriteAll(socket, testing_support::StreamEnd(), is_open);
}

asio::awaitable<void> ServeWorker(world& w,
                                  stream_worker& worker,
                                  tcp::socket socket) {
  boost::beast::flat_buffer buffer;
  bool is_open = true;
  while (is_open) {
    http::request<http::string_body> request;
    auto [error, count] =
        co_await http::async_read(socket, buffer, request, kUseTuple);
    if (error)
      co_return;
    const std::string target(request.target());
    if (target.starts_with("/api/kv-events")) {
      asio::steady_timer timer(socket.get_executor(), milliseconds(500));
      co_await timer.async_wait(kUseTuple);
      co_await WriteAll(
          socket,
          Plain(R"({"boot_epoch":1,"next":1,"lost":false,"events":[]})"),
          is_open);
    } else if (target.starts_with("/api/")) {
      co_await WriteAll(socket, Plain("{}"), is_open);
    } else {
      const std::string id(request["Request-Id"]);
      const std::string after(request["Last-Event-Id"]);
      co_await StreamEvents(w, worker, socket, id,
                            after.empty() ? 0 : std::stoi(after), is_open);
    }
  }
}

asio::awaitable<void> AcceptAtWorker(world& w, stream_worker& worker) {
  while (worker.acceptor.is_open()) {
    auto [error, socket] = co_await worker.acceptor.async_accept(kUseTuple);
    if (error)
      co_return;
    asio::co_spawn(w.context, ServeWorker(w, worker, std::move(socket)),
                   asio::detached);
  }
}

std::string MakeConfig() {
  json::object engine{{"slots", 128},
                      {"kv_capacity", 112'401},
                      {"kv_bytes", 96'256},
                      {"link_mbps", 260'000.0},
                      {"max_inflight", 12},
                      {"models", json::array{json::object{{"name", "m0"}}}}};
  return json::serialize(json::object{
      {"version", 1},
      {"routes", json::array{json::object{{"name", "crew-brief"},
                                          {"host", "jepu9.example"},
                                          {"path_prefix", "/crew/"},
                                          {"route_type", "streaming"},
                                          {"timeout_ms", 15'000},
                                          {"slo_ms", 300},
                                          {"gap_target_ms", 250},
                                          {"priority", 0},
                                          {"service", "llm-pool"},
                                          {"max_attempts", 2},
                                          {"anonymous", false},
                                          {"sticky", true},
                                          {"can_resume", true}}}},
      {"services", json::array{json::object{{"name", "llm-pool"},
                                            {"health_path", "/health"},
                                            {"max_conns", 620},
                                            {"engine", std::move(engine)}}}},
      {"tenants",
       json::array{json::object{{"name", "sese880"},
                                {"api_keys", json::array{"key-a"}}}}}});
}

// Opens a path on a port that the system doesn't assign to others, since the
// path takes its port anew when it is cut.
std::shared_ptr<target_path> OpenPath(world& w, const endpoint& target) {
  auto path = std::make_shared<target_path>();
  path->context = &w.context;
  path->target = target;
  path->port = FindFreeAddress(w).port;
  testing_support::SetCut(path, path_cut::kNone);
  return path;
}

void StartWorkers(world& w, scene& s, bool has_two_builds) {
  for (std::size_t i = 0; i < kWorkers; ++i) {
    s.workers.push_back(std::make_unique<stream_worker>(stream_worker{
        "i-" + std::to_string(i),
        i % 2 == 0 || !has_two_builds ? "v1" : "v2",
        tcp::acceptor(w.context, {asio::ip::make_address("127.0.0.1"), 0}),
        {}}));
    stream_worker& worker = *s.workers.back();
    worker.address = {"127.0.0.1", worker.acceptor.local_endpoint().port()};
    asio::co_spawn(w.context, AcceptAtWorker(w, worker), asio::detached);
    PutObject(*w.store, "servers", worker.id,
              testing_support::EntryTargetRecord(worker.address, "llm-pool", 1,
                                                 "ready", worker.build));
    s.paths.push_back(OpenPath(w, worker.address));
  }
}

// Passes a call on to the store, and names the paths of the first machine
// instead of the addresses of the workers.
asio::awaitable<void> PassToStore(world& w,
                                  const scene& s,
                                  waxwing::http_exchange& exchange) {
  const waxwing::http_call_options options{milliseconds(20'000), false};
  auto response = co_await waxwing::Fetch(w.pool, w.store->server.address,
                                          exchange.request, options);
  waxwing::http_response out{503, {}, "{}"};
  if (response)
    out = {response->status,
           {{"Content-Type", "application/json"}},
           response->body};
  for (std::size_t i = 0; i < s.workers.size(); ++i) {
    const std::string direct = ToText(s.workers[i]->address) + "\"";
    const std::string path = ToText(s.paths[i]->Address()) + "\"";
    for (std::size_t at = out.body.find(direct); at != std::string::npos;
         at = out.body.find(direct, at + path.size()))
      out.body.replace(at, direct.size(), path);
  }
  co_await waxwing::Respond(exchange, std::move(out));
}

// Takes what has arrived of the events out of `text`.
void TakeEvents(client_stream& stream, std::string& text) {
  while (true) {
    const std::size_t end = text.find("\n\n");
    if (end == std::string::npos)
      return;
    const std::string event = text.substr(0, end);
    text.erase(0, end + 2);
    const std::size_t id = event.find("id: ");
    const std::size_t data = event.find("data: ");
    if (id == std::string::npos || data == std::string::npos)
      continue;
    stream.last_event = std::stoi(event.substr(id + 4));
    stream.builds.insert(event.substr(data + 6));
  }
}

// One try of a client. Returns true if the answer was complete.
asio::awaitable<bool> TryStream(world& w,
                                client_stream& stream,
                                endpoint front,
                                std::string id) {
  http_request request;
  request.method = "POST";
  request.target = "/crew/x";
  request.headers.push_back({"Host", "jepu9.example"});
  request.headers.push_back({"Request-Id", id});
  request.headers.push_back({"Deadline-Ms", "15000"});
  request.headers.push_back({"Authorization", "Token key-a"});
  request.headers.push_back({"Model", "m0"});
  request.headers.push_back({"Token-Count", "826,58"});
  request.headers.push_back({"Prefix-Hash", "5c1e07a2:198,91bd3f06:628"});
  if (stream.last_event > 0) {
    request.headers.push_back(
        {"Last-Event-Id", std::to_string(stream.last_event)});
    request.headers.push_back({"Resumes", stream.first_id});
  } else {
    stream.first_id = id;
  }
  const waxwing::http_call_options options{milliseconds(15'000), false};
  auto call = co_await waxwing::StartCall(w.pool, front, request, options);
  if (!call || call->head.status != 200) {
    Note(w, id + " -> " + (call ? std::to_string(call->head.status) : "cut"));
    co_return false;
  }
  std::string text;
  while (true) {
    const auto more = co_await waxwing::ReadSomeBody(w.pool, *call,
                                                     milliseconds(3'000), text);
    TakeEvents(stream, text);
    if (!more) {
      Note(w, id + " was cut after event " + std::to_string(stream.last_event));
      co_return false;
    }
    if (!*more)
      co_return true;
  }
}

// A client: takes its stream up at another machine after a broken connection.
asio::awaitable<void> RunClient(world& w,
                                scene& s,
                                client_stream& stream,
                                std::string name) {
  constexpr int kMaxTries = 6;
  asio::steady_timer timer(w.context);
  std::size_t machine = 0;
  while (!stream.is_complete && stream.tries < kMaxTries) {
    const std::string id = name + "-" + std::to_string(++stream.tries);
    stream.is_complete =
        co_await TryStream(w, stream, w.entries[machine]->front, id);
    machine = 1 + s.random() % (kMachines - 1);
    if (!stream.is_complete) {
      timer.expires_after(milliseconds(200));
      co_await timer.async_wait(kUseTuple);
    }
  }
  std::string builds;
  for (const std::string& build : stream.builds)
    builds += " " + build;
  Note(w, name + (stream.is_complete ? " is complete" : " is given up") +
              " at event " + std::to_string(stream.last_event) +
              ", with events of" + builds);
  stream.is_over = true;
}

void SetCuts(world& w, scene& s, path_cut cut) {
  for (const auto& path : s.paths)
    testing_support::SetCut(path, cut);
  Note(w, cut == path_cut::kNone
              ? "the first machine reaches the workers"
              : "the first machine's connections to the workers hang");
}

// Streams begin at the first machine, which has just lost its paths to the
// workers and ends a second later.
bool RunRound(world& w, scene& s, int round) {
  if (w.has_trouble)
    SetCuts(w, s, path_cut::kHanging);
  for (int i = 0; i < kStreams; ++i) {
    s.streams.push_back(std::make_unique<client_stream>());
    asio::co_spawn(
        w.context,
        RunClient(w, s, *s.streams.back(),
                  "s" + std::to_string(round) + "-" + std::to_string(i)),
        asio::detached);
  }
  RunFor(w, kCutTime);
  if (w.has_trouble) {
    KillEntry(w, *w.entries.front());
    SetCuts(w, s, path_cut::kNone);
  }
  const bool are_over = RunUntil(w, milliseconds(14'000), [&] {
    return std::all_of(s.streams.begin(), s.streams.end(),
                       [](const auto& stream) { return stream->is_over; });
  });
  if (!w.has_trouble)
    return are_over;
  w.entries.front()->settings.is_first_start = false;
  StartEntry(w, *w.entries.front());
  const bool is_ready =
      WaitUntilReady(w, *w.entries.front(), milliseconds(10'000));
  RunFor(w, milliseconds(6'000));
  return are_over && is_ready;
}

// Adds the machines of a case.
void AddMachines(world& w) {
  std::vector<endpoint> seeds;
  for (std::size_t i = 0; i < kMachines; ++i)
    seeds.push_back(
        AddEntry(w, {.name = "front-" + std::to_string(i + 1)}).control);
  seeds.resize(3);
  for (const auto& entry : w.entries)
    entry->settings.seeds = seeds;
}

// Starts all machines. Returns false if one is not ready in time.
bool StartAll(world& w) {
  for (const auto& entry : w.entries)
    StartEntry(w, *entry);
  return std::all_of(w.entries.begin(), w.entries.end(), [&](const auto& each) {
    return WaitUntilReady(w, *each, milliseconds(10'000));
  });
}

// A client that takes its stream up once, at another machine.
asio::awaitable<void> RunPatientClient(world& w,
                                       scene& s,
                                       client_stream& stream,
                                       std::string name) {
  const std::size_t machine = s.random() % kMachines;
  const auto began = Elapsed(w);
  stream.tries = 1;
  stream.is_complete =
      co_await TryStream(w, stream, w.entries[machine]->front, name + "-1");
  if (!stream.is_complete) {
    asio::steady_timer timer(w.context);
    timer.expires_after(began + kTimeToEnd + kTimeAway + kTimeToTakeUp -
                        Elapsed(w));
    co_await timer.async_wait(kUseTuple);
    stream.tries = 2;
    stream.is_complete = co_await TryStream(
        w, stream, w.entries[(machine + 1) % kMachines]->front, name + "-2");
  }
  Note(w, name + (stream.is_complete ? " is complete" : " is not complete") +
              " after " + std::to_string(stream.tries) + " tries");
  stream.is_over = true;
}

// Begins streams and returns the index of the first of them.
std::size_t BeginStreams(world& w, scene& s, const std::string& prefix) {
  const std::size_t first = s.streams.size();
  for (int i = 0; i < kStreams + 4; ++i) {
    s.streams.push_back(std::make_unique<client_stream>());
    asio::co_spawn(
        w.context,
        RunPatientClient(w, s, *s.streams.back(), prefix + std::to_string(i)),
        asio::detached);
  }
  return first;
}

}  // namespace

int RunAllEndedCase(world& w) {
  scene s;
  StartWorkers(w, s, false);
  for (const auto& worker : s.workers)
    worker->events = kEventsOfLongStreams;
  PutObject(*w.store, "config", "main", MakeConfig());
  AddMachines(w);
  if (!StartAll(w))
    return kNotRun;
  RunFor(w, milliseconds(8'000));
  BeginStreams(w, s, "taken-");
  RunFor(w, kTimeToEnd);
  if (w.has_trouble) {
    for (const auto& entry : w.entries)
      KillEntry(w, *entry);
    RunFor(w, kTimeAway);
    for (const auto& entry : w.entries)
      entry->settings.is_first_start = false;
    if (!StartAll(w))
      return kNotRun;
    RunFor(w, kTimeToTakeUp - milliseconds(300));
  }
  const std::size_t first_new = BeginStreams(w, s, "new-");
  RunUntil(w, milliseconds(25'000), [&] {
    return std::all_of(s.streams.begin(), s.streams.end(),
                       [](const auto& stream) { return stream->is_over; });
  });
  int taken_up = 0;
  int gone_on = 0;
  int begun = 0;
  for (std::size_t i = 0; i < s.streams.size(); ++i) {
    const client_stream& stream = *s.streams[i];
    if (i >= first_new) {
      begun += stream.last_event > 0;
    } else if (stream.tries > 1) {
      ++taken_up;
      gone_on += stream.is_complete;
    }
  }
  const int new_streams = static_cast<int>(s.streams.size() - first_new);
  Note(w, std::to_string(gone_on) + " of " + std::to_string(taken_up) +
              " streams that were taken up went on; " + std::to_string(begun) +
              " of " + std::to_string(new_streams) + " new ones began");
  for (const auto& worker : s.workers)
    worker->acceptor.close();
  if (begun == 0)
    return kNotRun;
  // Under half of the share of the new streams, of 12 streams or more.
  const bool is_broken =
      taken_up >= 12 && 2 * gone_on * new_streams < begun * taken_up;
  return is_broken ? kBroken : kHeld;
}

int RunTakeUpCase(world& w) {
  scene s;
  StartWorkers(w, s, true);
  PutObject(*w.store, "config", "main", MakeConfig());
  s.first_store =
      *waxwing::StartHttpServer(w.context.get_executor(), {"127.0.0.1", 0}, {},
                                [&w, &s](waxwing::http_exchange& exchange) {
                                  return PassToStore(w, s, exchange);
                                });
  AddMachines(w);
  w.entries.front()->settings.store = s.first_store.address;
  if (!StartAll(w))
    return kNotRun;
  RunFor(w, milliseconds(8'000));
  for (int round = 0; round < kRounds; ++round) {
    if (!RunRound(w, s, round))
      return kNotRun;
  }
  int complete = 0;
  int joined = 0;
  for (const auto& stream : s.streams) {
    complete += stream->is_complete;
    joined += stream->builds.size() > 1;
  }
  Note(w, std::to_string(joined) + " of " + std::to_string(s.streams.size()) +
              " streams hold events of two versions; " +
              std::to_string(complete) + " are complete");
  for (const auto& worker : s.workers)
    worker->acceptor.close();
  waxwing::CloseServer(s.first_store);
  if (complete == 0)
    return kNotRun;
  return joined > kAllowedStreams ? kBroken : kHeld;
}

}  // namespace review
