// The cases of the second review that are scripts, and their worker. Run by
// review/N/run.sh:
//   cases_2 CASE PROJECT RECORD FOLDER

#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <map>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "review/rig_2.h"

namespace {

namespace json = boost::json;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

// --- A worker, as a process of its own.

struct worker_options {
  int port = 0;
  std::string id;
  std::string log;
  // Of a stream.
  int events = 0;
  // Time before each event, or of a plain request.
  int work_ms = 0;
  // "chunked", or "unframed": a stream without a length, which ends with its
  // connection.
  std::string framing;
  // What stands before the number of an event.
  std::string id_field;
};

// Set by SIGUSR1.
std::atomic<bool> is_leaving = false;

void AppendToLog(const worker_options& o, const std::string& text) {
  static std::mutex mutex;
  const std::lock_guard lock(mutex);
  char time[32];
  std::snprintf(time, sizeof time, "%.3f ", rig::UnixNow());
  std::ofstream(o.log, std::ios::app)
      << std::string(time) + "worker " + o.id + " " + text + "\n";
}

std::string ResponseHead(const worker_options& o, const std::string& id) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: " + o.id +
         "\r\n" + (is_leaving ? "Server-Leaving: 1\r\n" : "");
}

std::string Framed(int status,
                   const std::string& fields,
                   const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Returns false if the connection is to be closed.
bool SendStream(const worker_options& o,
                int fd,
                const std::string& id,
                int first) {
  const bool is_chunked = o.framing == "chunked";
  bool is_sent =
      rig::Send(fd, ResponseHead(o, id) +
                        "Content-Type: text/event-stream\r\n"
                        "Weight-Versions: 1\r\n" +
                        (is_chunked ? "Transfer-Encoding: chunked\r\n\r\n"
                                    : "Connection: close\r\n\r\n"));
  for (int i = first; is_sent && i <= o.events; ++i) {
    rig::SleepMs(o.work_ms);
    const std::string event = o.id_field + std::to_string(i) +
                              "\ndata: " + o.id + " " + std::to_string(i) +
                              "\n\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", event.size());
    is_sent = rig::Send(fd, is_chunked ? size + event + "\r\n" : event);
  }
  AppendToLog(o, (is_sent ? "has finished " : "was left by ") + id);
  return is_chunked && is_sent && rig::Send(fd, "0\r\n\r\n");
}

// Returns false if the connection is to be closed.
bool ServeRequest(const worker_options& o,
                  int fd,
                  const rig::request& request) {
  const std::string id = rig::FindHeader(request.fields, "Request-Id");
  if (request.target.starts_with("/api/kv-events")) {
    rig::SleepMs(std::atoi(rig::FindHeader(request.fields, "Wait-Ms").c_str()));
    return rig::Send(
        fd, Framed(200, "Content-Type: application/json\r\n",
                   R"({"boot_epoch":1,"next":1,"lost":false,"events":[]})"));
  }
  if (request.target.starts_with("/api/"))
    return rig::Send(fd, Framed(404, "", ""));
  if (rig::FindHeader(request.fields, "Expect-Instance") != o.id)
    return rig::Send(fd, Framed(421, "Instance-Id: " + o.id + "\r\n", ""));
  const int after =
      std::atoi(rig::FindHeader(request.fields, "Last-Event-Id").c_str());
  AppendToLog(o,
              "runs " + id +
                  (after > 0 ? " after event " + std::to_string(after) : ""));
  if (o.events > 0)
    return SendStream(o, fd, id, after + 1);
  rig::SleepMs(o.work_ms);
  return rig::Send(fd, ResponseHead(o, id) + "Content-Length: 4\r\n\r\ndone");
}

void ServeConnection(const worker_options& o, int fd) {
  std::string buffer;
  rig::request request;
  while (rig::ReadRequest(fd, buffer, request, rig::Now() + 60) &&
         ServeRequest(o, fd, request)) {
  }
  ::close(fd);
}

int RunWorker(char** argv) {
  const worker_options o{
      std::atoi(argv[0]), argv[1], argv[2], std::atoi(argv[3]),
      std::atoi(argv[4]), argv[5], argv[6]};
  std::signal(SIGUSR1, [](int) { is_leaving = true; });
  const int listener = rig::Listen(o.port);
  if (listener < 0)
    return kNotRun;
  while (true) {
    const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd >= 0)
      std::thread([o, fd] { ServeConnection(o, fd); }).detach();
  }
}

// --- The deployment: engines of the service "llm", workers of the plain
// service "portal", and entry VMs.

struct running_worker {
  std::string service;
  std::string id;
  int port = 0;
  std::int64_t born = 0;
  pid_t pid = 0;
};

struct test_case {
  std::string self;
  rig::deployment system;
  // What the workers write.
  std::string log;
  std::vector<running_worker> workers;
  bool has_trouble = true;
};

json::object RecordOf(const running_worker& w, const std::string& state) {
  json::object out{{"service", w.service}, {"address", rig::Address(w.port)},
                   {"zone", "bergen-a"},   {"version", "v1"},
                   {"slots", 16},          {"state", state},
                   {"cold_left_ms", 0},    {"born", w.born},
                   {"sequence", 0}};
  if (w.service == "llm") {
    out["phase"] = "combined";
    out["models"] = json::array{json::object{
        {"name", "m0"}, {"version", 1}, {"adapters", json::array()}}};
  }
  return out;
}

void PutRecord(const test_case& c,
               const running_worker& w,
               const std::string& state) {
  rig::Put(*c.system.platform, "servers", w.id, RecordOf(w, state));
}

// Starts a worker, whose ID, log and port are set here.
void AddWorker(test_case& c,
               const std::string& service,
               const worker_options& o) {
  running_worker w{service, o.id, rig::FreePort(),
                   static_cast<std::int64_t>(rig::UnixNow() * 1000)};
  w.pid = rig::Start({c.self, "worker", std::to_string(w.port), o.id, c.log,
                      std::to_string(o.events), std::to_string(o.work_ms),
                      o.framing, o.id_field},
                     {"PATH=/usr/bin:/bin"});
  PutRecord(c, w, "ready");
  c.workers.push_back(w);
}

json::object Route(const std::string& name,
                   const std::string& type,
                   const std::string& service,
                   bool can_resume) {
  const bool is_stream = type == "streaming";
  return {{"name", "r-" + name},
          {"host", "notes.example"},
          {"path_prefix", "/" + name + "/"},
          {"route_type", type},
          {"timeout_ms", is_stream ? 15'000 : 1'500},
          {"slo_ms", 300},
          {"priority", is_stream ? 0 : 2},
          {"service", service},
          {"max_attempts", can_resume ? 2 : 1},
          {"anonymous", false},
          {"sticky", is_stream},
          {"can_resume", can_resume},
          {"gap_target_ms", 250}};
}

void PutConfig(const test_case& c) {
  const json::object engine{
      {"slots", 16},
      {"kv_capacity", 112'401},
      {"kv_bytes", 96'256},
      {"link_mbps", 260'000.0},
      {"max_inflight", 12},
      {"models", json::array{json::object{{"name", "m0"}}}}};
  json::object llm{{"name", "llm"},
                   {"health_path", "/health"},
                   {"max_conns", 620},
                   {"protocol", "h1"},
                   {"tls", false}};
  json::object portal = llm;
  portal["name"] = "portal";
  llm["engine"] = engine;
  const json::object tenant{{"name", "sese"},
                            {"api_keys", json::array{"key-1"}},
                            {"priority", 1},
                            {"isolated", false}};
  rig::Put(*c.system.platform, "config", "main",
           json::object{
               {"version", 7},
               {"routes",
                json::array{Route("note", "streaming", "llm", true),
                            Route("triage", "streaming", "llm", false),
                            Route("start", "non_idempotent", "portal", false)}},
               {"services", json::array{llm, portal}},
               {"limits", json::object{{"max_header_bytes", 16'384},
                                       {"max_body_bytes", 4'194'304},
                                       {"header_timeout_ms", 3'000},
                                       {"idle_timeout_ms", 15'000}}},
               {"tenants", json::array{tenant}}});
  rig::Put(*c.system.platform, "versions", "m0",
           json::object{{"model", "m0"}, {"version", 1}});
}

// Starts the VMs and waits until they serve.
bool StartVms(test_case& c, int count) {
  PutConfig(c);
  for (int i = 0; i < count; ++i)
    rig::StartVm(c.system);
  if (!rig::WaitUntilReady(c.system, 15))
    return false;
  rig::SleepMs(1'500);
  return true;
}

void EndAll(test_case& c) {
  for (rig::vm& each : c.system.vms)
    rig::End(each.pid);
  for (running_worker& each : c.workers)
    rig::End(each.pid);
}

std::string RequestText(const std::string& path, const std::string& id) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: notes.example\r\nRequest-Id: " + id +
         "\r\nModel: m0\r\nToken-Count: 300,40\r\nPrefix-Hash: 5c1e07a2:200," +
         id +
         ":100\r\nDeadline-Ms: 14000\r\nAuthorization: Token key-1\r\n"
         "Content-Length: 2\r\n\r\n{}";
}

std::string MakeId(int client, int number) {
  char out[32];
  std::snprintf(out, sizeof out, "%02d%06d", client, number);
  return out;
}

std::vector<std::string> ReadLog(const test_case& c) {
  std::vector<std::string> out;
  std::ifstream log(c.log);
  for (std::string line; std::getline(log, line);)
    out.push_back(line);
  return out;
}

// Sends streams at once, through all VMs in turn.
struct stream_clients {
  std::vector<rig::response> responses;
  std::vector<std::thread> threads;

  stream_clients(const test_case& c, const std::string& path, int count)
      : responses(static_cast<std::size_t>(count)) {
    for (std::size_t i = 0; i < responses.size(); ++i) {
      const rig::vm& vm = c.system.vms[i % c.system.vms.size()];
      const std::string text =
          RequestText(path, MakeId(static_cast<int>(i), 0));
      threads.emplace_back([this, i, text, port = vm.callers] {
        responses[i] = rig::Call(port, text, 14);
      });
    }
  }
  void Wait() {
    for (std::thread& each : threads)
      each.join();
  }
};

// Records what a client got of its stream.
void RecordStream(int client, const rig::response& got, bool is_broken) {
  std::string ids;
  for (const std::uint64_t id : rig::EventIds(got.body))
    ids += " " + std::to_string(id);
  rig::Record("client " + MakeId(client, 0) + ": status " +
              std::to_string(got.status) + " of " +
              rig::FindHeader(got.fields, "Server-Stamp") +
              (got.is_complete ? ", ends as complete" : ", breaks off") +
              ", events" + ids + (is_broken ? ": RULE BROKEN" : ""));
}

// --- A worker leaves in the middle of streams without a length.
int RunDeparture(test_case& c) {
  constexpr int kEvents = 60;
  constexpr int kStreams = 12;
  for (const char* id : {"i-1", "i-2", "i-3", "i-4"})
    AddWorker(c, "llm", {0, id, "", kEvents, 100, "unframed", "id: "});
  if (!StartVms(c, 2))
    return kNotRun;
  rig::Record("clients send " + std::to_string(kStreams) + " streams of " +
              std::to_string(kEvents) + " events, one each 100 ms");
  stream_clients clients(c, "/note/x", kStreams / 2);
  stream_clients others(c, "/triage/x", kStreams / 2);
  rig::SleepMs(600);
  if (c.has_trouble) {
    PutRecord(c, c.workers[0], "draining");
    rig::Record("worker i-1 reports draining");
    rig::SleepMs(2'500);
    rig::Remove(*c.system.platform, "servers", "i-1");
    rig::End(c.workers[0].pid, SIGTERM);
    rig::Record("worker i-1 exits, 2.5 s later");
  }
  clients.Wait();
  others.Wait();
  for (const std::string& line : ReadLog(c))
    rig::Record(line);
  int broken = 0;
  int number = 0;
  for (const auto* list : {&clients.responses, &others.responses}) {
    for (const rig::response& got : *list) {
      const bool is_broken = got.status == 200 && got.is_complete &&
                             rig::EventIds(got.body).size() < kEvents;
      broken += is_broken ? 1 : 0;
      RecordStream(number++ % (kStreams / 2), got, is_broken);
    }
  }
  rig::Record(std::to_string(broken) +
              " streams ended as complete before their last event");
  return broken > 0 ? kBroken : kHeld;
}

// --- A worker ends in the middle of streams that write "id:7", not "id: 7".
int RunEventIds(test_case& c) {
  constexpr int kEvents = 30;
  constexpr int kStreams = 12;
  for (const char* id : {"i-1", "i-2", "i-3", "i-4"})
    AddWorker(c, "llm", {0, id, "", kEvents, 100, "chunked", "id:"});
  if (!StartVms(c, 2))
    return kNotRun;
  stream_clients clients(c, "/note/x", kStreams);
  rig::SleepMs(1'500);
  if (c.has_trouble) {
    rig::End(c.workers[0].pid);
    rig::Record("worker i-1 is killed");
  }
  clients.Wait();
  for (const std::string& line : ReadLog(c))
    rig::Record(line);
  int broken = 0;
  for (int i = 0; i < kStreams; ++i) {
    const rig::response& got = clients.responses[static_cast<std::size_t>(i)];
    const auto ids = rig::EventIds(got.body);
    const bool is_broken =
        std::set<std::uint64_t>(ids.begin(), ids.end()).size() < ids.size();
    broken += is_broken ? 1 : 0;
    RecordStream(i, got, is_broken);
  }
  rig::Record(std::to_string(broken) + " streams have events twice");
  return broken > 0 ? kBroken : kHeld;
}

// --- The store returns from a copy that still lists a worker that has left.

// Clients that send plain requests one after the other until they are stopped.
struct plain_clients {
  std::atomic<bool> is_over = false;
  std::mutex mutex;
  // By request; 0 if no whole response arrived.
  std::map<std::string, int> statuses;
  std::map<std::string, double> sent_at;
  std::vector<std::thread> threads;

  plain_clients(const test_case& c, int count) {
    for (int i = 0; i < count; ++i) {
      const std::size_t at = static_cast<std::size_t>(i) % c.system.vms.size();
      threads.emplace_back(
          [this, i, port = c.system.vms[at].callers] { Run(i, port); });
    }
  }
  void Run(int client, int port) {
    for (int number = 0; !is_over; ++number) {
      // The clients are out of step.
      rig::SleepMs((client * 17 + number * 31) % 97);
      const std::string id = MakeId(client, number);
      const double now = rig::UnixNow();
      const rig::response got = rig::Call(port, RequestText("/start/x", id), 4);
      const std::lock_guard lock(mutex);
      statuses[id] = got.is_complete ? got.status : 0;
      sent_at[id] = now;
    }
  }
  void Stop() {
    is_over = true;
    for (std::thread& each : threads)
      each.join();
  }
};

int RunDrill(test_case& c) {
  constexpr int kWorkMs = 400;
  rig::store& platform = *c.system.platform;
  for (const char* id : {"p-1", "p-2", "p-3", "p-4"})
    AddWorker(c, "portal", {0, id, "", 0, kWorkMs, "chunked", ""});
  if (!StartVms(c, 3))
    return kNotRun;
  plain_clients clients(c, 24);
  rig::SleepMs(1'000);
  const rig::store::content copy = rig::Copy(platform);
  // From now on its answers bear Server-Leaving.
  ::kill(c.workers[0].pid, SIGUSR1);
  rig::Record("worker p-1 begins to leave, and says so in its answers");
  rig::SleepMs(600);
  rig::Remove(platform, "servers", "p-1");
  const double gone_at = rig::UnixNow();
  rig::Record("the entry of worker p-1 is removed; p-1 serves on");
  AddWorker(c, "portal", {0, "p-5", "", 0, kWorkMs, "chunked", ""});
  rig::Record("worker p-5 joins");
  rig::SleepMs(2'500);
  if (c.has_trouble) {
    rig::Record("drill: the store goes away");
    rig::CutCalls(platform, true);
    rig::SleepMs(300);
    rig::ReturnFrom(platform, copy);
    rig::Record(
        "the store returns from a copy of 3.4 s before, which lists p-1");
    rig::SleepMs(300);
    PutRecord(c, c.workers[4], "ready");
    rig::Record("worker p-5 writes its entry again");
    rig::SleepMs(300);
    rig::CutCalls(platform, false);
    rig::Record("the store cuts off the watches that wait");
    rig::SleepMs(300);
  } else {
    rig::SleepMs(1'200);
  }
  rig::End(c.workers[0].pid, SIGTERM);
  rig::Record("worker p-1 exits");
  rig::SleepMs(100);
  rig::Remove(platform, "servers", "p-1");
  rig::Record("the entry of p-1 is removed again");
  rig::SleepMs(1'500);
  clients.Stop();
  constexpr double kDrainS = 2.0;
  int runs = 0;
  int late = 0;
  int lost = 0;
  for (const std::string& line : ReadLog(c)) {
    std::istringstream words(line);
    double at = 0;
    std::string skipped;
    std::string worker;
    std::string what;
    std::string id;
    words >> at >> skipped >> worker >> what >> id;
    runs += what == "runs" ? 1 : 0;
    if (what != "runs" || worker != "p-1" || at < gone_at + kDrainS)
      continue;
    const int status = clients.statuses[id];
    ++late;
    lost += status == 200 ? 0 : 1;
    rig::Record("worker p-1 runs " + id + " " + std::to_string(at - gone_at) +
                " s after its entry was removed; the client got " +
                std::to_string(status) + ": RULE BROKEN");
  }
  rig::Record(std::to_string(runs) + " requests ran; " + std::to_string(late) +
              " at p-1 later than drain_ms after it had left, " +
              std::to_string(lost) + " of which were lost at its exit");
  return late > 0 ? kBroken : kHeld;
}

// --- The connections to the store go silent, and a worker withdraws.
int RunSilence(test_case& c) {
  constexpr int kWorkMs = 300;
  constexpr int kRounds = 3;
  constexpr double kContactS = 3.0;
  constexpr double kDrainS = 2.0;
  rig::store& platform = *c.system.platform;
  rig::relay& path = *rig::StartRelay(platform.port);
  c.system.platform_port = path.port;
  for (const char* id : {"p-1", "p-2", "p-3", "p-4", "p-5"})
    AddWorker(c, "portal", {0, id, "", 0, kWorkMs, "chunked", ""});
  if (!StartVms(c, 2))
    return kNotRun;
  plain_clients clients(c, 24);
  rig::SleepMs(1'500);
  // By worker: when its entry was removed, and from when on the VMs are in
  // touch again.
  std::map<std::string, std::pair<double, double>> limits;
  for (int i = 0; i < kRounds; ++i) {
    running_worker& leaving = c.workers[static_cast<std::size_t>(i)];
    const double began = rig::UnixNow();
    if (c.has_trouble) {
      rig::SilenceConnections(path);
      rig::Record("all open connections to the store go silent");
    }
    rig::SleepMs(100);
    rig::Remove(platform, "servers", leaving.id);
    limits[leaving.id] = {rig::UnixNow() + kDrainS, began + kContactS};
    rig::Record("the entry of worker " + leaving.id +
                " is removed; it serves on for 4 s");
    rig::SleepMs(4'000);
    rig::End(leaving.pid, SIGTERM);
    rig::Record("worker " + leaving.id + " exits");
    rig::SleepMs(3'370);
  }
  clients.Stop();
  int runs = 0;
  int late = 0;
  int lost = 0;
  for (const std::string& line : ReadLog(c)) {
    std::istringstream words(line);
    double at = 0;
    std::string skipped;
    std::string worker;
    std::string what;
    std::string id;
    words >> at >> skipped >> worker >> what >> id;
    runs += what == "runs" ? 1 : 0;
    const auto limit = limits.find(worker);
    if (what != "runs" || limit == limits.end() || at < limit->second.first ||
        clients.sent_at[id] < limit->second.second)
      continue;
    const int status = clients.statuses[id];
    ++late;
    lost += status == 200 ? 0 : 1;
    rig::Record("worker " + worker + " runs " + id + " " +
                std::to_string(at - limit->second.first + kDrainS) +
                " s after its entry was removed; the client got " +
                std::to_string(status) + ": RULE BROKEN");
  }
  rig::Record(std::to_string(runs) + " requests ran; " + std::to_string(late) +
              " of VMs in touch at a worker later than drain_ms after it had "
              "left, " +
              std::to_string(lost) + " of which were lost at its exit");
  return late > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  constexpr int kCaseArguments = 5;
  constexpr int kWorkerArguments = 9;
  std::signal(SIGPIPE, SIG_IGN);
  if (argc == kWorkerArguments && std::string(argv[1]) == "worker")
    return RunWorker(argv + 2);
  if (argc != kCaseArguments)
    return kNotRun;
  const std::string name = argv[1];
  rig::OpenRecord(argv[3]);
  test_case c;
  c.self = argv[0];
  c.system.project = argv[2];
  c.system.folder = argv[4];
  c.system.platform = rig::StartStore();
  c.system.platform_port = c.system.platform->port;
  c.log = c.system.folder + "/workers.log";
  const char* trouble = std::getenv("TROUBLE");
  c.has_trouble = !trouble || std::string(trouble) != "0";
  int result = kNotRun;
  if (name == "departure")
    result = RunDeparture(c);
  else if (name == "drill")
    result = RunDrill(c);
  else if (name == "silence")
    result = RunSilence(c);
  else if (name == "event-ids")
    result = RunEventIds(c);
  EndAll(c);
  rig::Record(result == kHeld     ? "the rule held"
              : result == kBroken ? "the rule was broken"
                                  : "the case could not run");
  // The store's threads run on.
  std::_Exit(result);
}
