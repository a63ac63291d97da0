// Tests of processes whose clients do not keep the protocol or the limits: the
// process lives, stays within its memory and its file descriptors, and responds
// to an ordinary request afterwards.
//
// Each test runs alone; see CMakeLists.txt.

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>

#include "testing/client_crowd.h"
#include "testing/cluster.h"
#include "testing/endless_target.h"
#include "testing/platform_standin.h"
#include "testing/processes.h"
#include "waxwing/http_client.h"

namespace testing_support {
namespace {

namespace json = boost::json;
using waxwing::endpoint;
using waxwing::http_request;
using waxwing::milliseconds;

constexpr std::size_t kMegabyte = 1'000'000;
// Settings of the entry: half the memory and the descriptors of the smallest VM
// of the deployments. 200 descriptors are reserved for files.
constexpr std::size_t kMemoryMb = 44;
constexpr std::size_t kDescriptors = 2'050;
constexpr std::size_t kFileDescriptors = 200;
// Limits of the configuration. Clients that stop short are not ended by time.
constexpr std::size_t kHeaderBytes = 16 * 1024;
constexpr std::size_t kBodyBytes = 1024 * 1024;
constexpr int kTimeLimitMs = 60'000;
constexpr std::size_t kLargeResponseBytes = 256 * 1024;
// What each agent and router may use.
constexpr std::size_t kNativeMemoryMb = 128;

// Clients of the crowds that hold little each.
constexpr int kMany = 1'000;

constexpr milliseconds kSamplePeriod{10};
constexpr milliseconds kMaxStartTime{30'000};
// No test depends on when the response comes.
constexpr milliseconds kResponseTime{30'000};
constexpr milliseconds kMaxCrowdTime{4'000};
constexpr milliseconds kTimeAfterCrowd{300};

std::string Repeat(std::string_view text, std::size_t count) {
  std::string out;
  for (std::size_t i = 0; i < count; ++i)
    out += text;
  return out;
}

// The beginning of a request, without the empty line that ends its head.
std::string RequestHead(std::string_view path, std::string_view more = "") {
  return "POST " + std::string(path) +
         " HTTP/1.1\r\nHost: calls.example\r\nRequest-Id: crowd\r\n"
         "Deadline-Ms: 20000\r\nAuthorization: Token key-1\r\n" +
         std::string(more);
}

std::string ChunkedHead(std::string_view path) {
  return RequestHead(path, "Transfer-Encoding: chunked\r\n\r\n");
}

std::string HeadWithLength(std::string_view path, std::size_t size) {
  return RequestHead(path,
                     "Content-Length: " + std::to_string(size) + "\r\n\r\n");
}

// Crowds that send one request each to `path`. They send 100 to 400 MB if the
// process lets them, or hold connections that are never completed.
std::vector<client_script> RequestScripts(std::string_view path,
                                          int few_clients = 24) {
  constexpr std::size_t kEndlessBytes = 4 * 1024 * 1024;
  constexpr int kMore = 96;
  const std::string line = "X-Filler: " + std::string(100, 'x') + "\r\n";
  const std::string filler(16 * 1024, 'x');
  const std::string zeros(16 * 1024, '0');
  const std::string last_chunk = ChunkedHead(path) + "1\r\nx\r\n0\r\n";
  const auto times = [](std::size_t bytes, const std::string& text) {
    return bytes / text.size();
  };
  std::vector<client_script> out{
      {"TrailerLines", last_chunk, line, times(kEndlessBytes, line), "",
       few_clients},
      {"ShortTrailerLines", last_chunk, "a:b\r\n", kEndlessBytes / 5, "",
       few_clients},
      {"TrailerValue", last_chunk + "X-Filler: ", filler,
       times(kEndlessBytes, filler), "", few_clients},
      {"ChunkExtension", ChunkedHead(path) + "1;", filler,
       times(kEndlessBytes, filler), "", few_clients},
      {"ZerosBeforeChunkSize", ChunkedHead(path), zeros,
       times(kEndlessBytes, zeros), "", few_clients},
      {"ImpossibleChunkSize", ChunkedHead(path) + "fffffffffffffffff\r\n",
       filler, times(kEndlessBytes, filler), "", few_clients},
      {"BodiesWithLengthStopShort", HeadWithLength(path, kBodyBytes),
       std::string(1'024, 'x'), kBodyBytes / 1'024 - 1, "x", kMore},
      {"LargeChunksStopShort", ChunkedHead(path) + "100000\r\n",
       std::string(1'024, 'x'), kBodyBytes / 1'024 - 1, "x", kMore},
      {"TinyChunksStopShort", ChunkedHead(path), "1\r\nx\r\n", 256 * 1024, "",
       kMore},
      {"SmallBodiesStopShort", HeadWithLength(path, 16'000),
       std::string(1'000, 'x'), 15, std::string(999, 'x'), kMany},
      {"LongHeadsStopShort", RequestHead(path, "X-Filler: "),
       std::string(1'000, 'x'), 16, "", kMany},
      {"HeadsOfShortLinesWithoutBody",
       RequestHead(path, "Content-Length: 100\r\n"), "a:b\r\n", 3'000, "\r\n",
       kMany},
      {"AnnouncedBodiesTooLong", HeadWithLength(path, 1'000'000'000), filler,
       times(2 * kEndlessBytes, filler), "", kMore / 2},
      {"ChunksTooLong", ChunkedHead(path), "4000\r\n" + filler + "\r\n",
       times(2 * kEndlessBytes, filler), "", kMore / 2},
  };
  for (client_script& script : out)
    script.connections_each = 3;
  return out;
}

// The ports of an entry that clients reach.
enum class entry_port { kCallers, kDirectory, kReadiness };

std::string_view NameOf(entry_port port) {
  switch (port) {
    case entry_port::kCallers:
      return "Callers";
    case entry_port::kDirectory:
      return "Directory";
    case entry_port::kReadiness:
      return "Readiness";
  }
  return "";
}

std::string_view PathOf(entry_port port) {
  switch (port) {
    case entry_port::kCallers:
      return "/status/x";
    case entry_port::kDirectory:
      return "/api/resolve?name=calls.example&region=r&zone=a";
    case entry_port::kReadiness:
      return "/api/ready";
  }
  return "";
}

// One entry process with a target that responds, one that responds at length
// and one that never does.
struct entry_process {
  asio::io_context context;
  std::unique_ptr<object_store_standin> store = StartObjectStore(context);
  std::shared_ptr<scripted_target> sound;
  std::shared_ptr<scripted_target> large;
  std::shared_ptr<scripted_target> silent;
  endpoint callers = FindFreeAddress(context);
  endpoint directory = FindFreeAddress(context);
  endpoint readiness = FindFreeAddress(context);
  watched_process process;
  std::size_t memory_mb = kMemoryMb;
  std::size_t body_bytes = kBodyBytes;
  std::size_t header_bytes = kHeaderBytes;
  int next_id = 0;

  ~entry_process() {
    KillProcess(process.id);
    for (const auto& target : {sound, large, silent})
      EndTarget(*target);
    waxwing::CloseServer(store->server);
  }

  const endpoint& AddressOf(entry_port port) const {
    return port == entry_port::kCallers     ? callers
           : port == entry_port::kDirectory ? directory
                                            : readiness;
  }
};

void RunFor(entry_process& e, milliseconds time) {
  e.context.restart();
  e.context.run_for(time);
}

// Returns false once the process has ended.
bool RunAndMeasure(entry_process& e, milliseconds time) {
  const auto end = std::chrono::steady_clock::now() + time;
  while (std::chrono::steady_clock::now() < end) {
    RunFor(e, kSamplePeriod);
    if (!IsAlive(e.process)) {
      e.process.id = 0;
      return false;
    }
    Measure(e.process);
  }
  return true;
}

void PutConfig(entry_process& e) {
  json::array routes;
  for (const char* name : {"large", "silent", "odd"}) {
    json::object route = EntryRoute(name, "/" + std::string(name) + "/",
                                    "non_idempotent", name, 1, false);
    routes.push_back(std::move(route));
  }
  json::object config = json::parse(EntryConfig(1, routes)).as_object();
  for (json::value& route : config["routes"].as_array())
    route.as_object()["timeout_ms"] = kTimeLimitMs;
  for (const char* name : {"large", "silent", "odd"})
    config["services"].as_array().push_back(json::object{{"name", name}});
  config["limits"] = json::object{{"max_header_bytes", e.header_bytes},
                                  {"max_body_bytes", e.body_bytes},
                                  {"header_timeout_ms", kTimeLimitMs},
                                  {"idle_timeout_ms", kTimeLimitMs}};
  PutObject(*e.store, "config", "main", json::serialize(config));
}

std::shared_ptr<scripted_target> AddTarget(entry_process& e,
                                           const std::string& service,
                                           std::size_t response_bytes,
                                           milliseconds delay) {
  auto target = StartTarget(e.context, [=](const http_request& request) {
    const auto id = waxwing::FindHeader(request.headers, "Request-Id");
    scripted_response out{
        {PlainResponse(200, id, std::string(response_bytes, 'x'))}};
    out.delay = delay;
    return out;
  });
  PutObject(*e.store, "servers", "t-" + service,
            EntryTargetRecord(target->Address(), service, 0));
  e.process.target_ports.insert(target->Address().port);
  return target;
}

http_request OrdinaryRequest(entry_process& e, std::string_view path) {
  http_request out;
  out.method = path.starts_with("/api/") ? "GET" : "POST";
  out.target = std::string(path);
  out.headers = {{"Host", "calls.example"},
                 {"Request-Id", "ordinary-" + std::to_string(e.next_id++)},
                 {"Deadline-Ms", std::to_string(kResponseTime.count())},
                 {"Authorization", "Token key-1"}};
  return out;
}

// Returns the status of the response, or 0 if there was none.
unsigned Send(entry_process& e, entry_port port, const http_request& request) {
  const waxwing::http_pool pool =
      waxwing::MakeHttpPool(e.context.get_executor(), {});
  waxwing::http_call_options options{kResponseTime, false};
  options.connect_timeout = kResponseTime;
  const auto response =
      RunToEnd(e.context, Fetch(pool, e.AddressOf(port), request, options));
  return response ? response->status : 0;
}

// Waits until the process has the configuration and all targets.
bool WaitUntilServing(entry_process& e) {
  const auto end = std::chrono::steady_clock::now() + kMaxStartTime;
  while (std::chrono::steady_clock::now() < end) {
    if (Send(e, entry_port::kReadiness,
             OrdinaryRequest(e, PathOf(entry_port::kReadiness))) == 200 &&
        Send(e, entry_port::kCallers,
             OrdinaryRequest(e, PathOf(entry_port::kCallers))) == 200 &&
        Send(e, entry_port::kCallers, OrdinaryRequest(e, "/large/x")) == 200)
      return true;
    RunFor(e, milliseconds(100));
  }
  return false;
}

void Start(entry_process& e) {
  e.sound = AddTarget(e, "panel", 4, milliseconds(0));
  e.large = AddTarget(e, "large", kLargeResponseBytes, milliseconds(0));
  e.silent = AddTarget(e, "silent", 4, milliseconds(kTimeLimitMs));
  PutConfig(e);
  const std::string settings = ::testing::TempDir() + "waxwing-clients-" +
                               std::to_string(getpid()) + ".json";
  std::ofstream(settings) << json::serialize(json::object{
      {"node_name", "vm-0"},
      {"zone", "a"},
      {"region", "r"},
      {"listen", json::object{{"front", ToText(e.callers)},
                              {"ready", ToText(e.readiness)},
                              {"control", ToText(FindFreeAddress(e.context))},
                              {"directory", ToText(e.directory)}}},
      {"seeds", json::array{}},
      {"bootstrap", true},
      {"limits",
       json::object{{"max_fds", kDescriptors}, {"memory_mb", e.memory_mb}}},
      {"bounds", json::object{{"grace_s", 8}}},
      {"platform",
       json::object{{"address", ToText(e.store->server.address)}}}});
  e.process.own_ports = {e.callers.port, e.directory.port, e.readiness.port};
  e.process.id = Spawn("waxwing-entry", {},
                       {"WAXWINGPASS_SETTINGS=" + settings, "WAXWING_KEY=test",
                        "WAXWING_LOG_LEVEL=info"},
                       false);
  ASSERT_TRUE(WaitUntilServing(e));
}

// Runs until all clients have sent what they can.
bool RunCrowd(entry_process& e, const client_crowd& crowd, int clients) {
  const auto end = std::chrono::steady_clock::now() + kMaxCrowdTime;
  while (crowd.done < clients && std::chrono::steady_clock::now() < end) {
    if (!RunAndMeasure(e, kSamplePeriod))
      return false;
  }
  return RunAndMeasure(e, kTimeAfterCrowd);
}

void ExpectWithinLimits(const entry_process& e) {
  EXPECT_LE(e.process.peak.memory_bytes, e.memory_mb * kMegabyte);
  EXPECT_LE(e.process.peak.descriptors, kDescriptors - kFileDescriptors);
  std::printf("peak %zu MB, %zu descriptors\n",
              e.process.peak.memory_bytes / kMegabyte,
              e.process.peak.descriptors);
}

// The connections of the crowd are still open.
void ExpectResponses(entry_process& e) {
  for (const entry_port port :
       {entry_port::kCallers, entry_port::kDirectory, entry_port::kReadiness})
    EXPECT_EQ(Send(e, port, OrdinaryRequest(e, PathOf(port))), 200u)
        << NameOf(port);
}

// Expects that the process bears the crowd.
void ExpectBears(entry_process& e,
                 const endpoint& address,
                 const client_script& script) {
  const auto crowd = StartCrowd(e.context, address, script);
  ASSERT_TRUE(RunCrowd(e, *crowd, script.clients)) << "the process has ended";
  ExpectResponses(e);
  EXPECT_TRUE(RunAndMeasure(e, kSamplePeriod)) << "the process has ended";
  ExpectWithinLimits(e);
}

struct port_and_script {
  entry_port port;
  client_script script;
};

std::vector<port_and_script> AllRequestScripts() {
  std::vector<port_and_script> out;
  for (const entry_port port :
       {entry_port::kCallers, entry_port::kDirectory, entry_port::kReadiness}) {
    for (client_script& script : RequestScripts(PathOf(port)))
      out.push_back({port, std::move(script)});
  }
  return out;
}

struct HostileClientsRequests : ::testing::TestWithParam<port_and_script> {};

TEST_P(HostileClientsRequests, EntryStaysWithinItsLimitsAndResponds) {
  entry_process e;
  Start(e);
  ExpectBears(e, e.AddressOf(GetParam().port), GetParam().script);
}

INSTANTIATE_TEST_SUITE_P(All,
                         HostileClientsRequests,
                         ::testing::ValuesIn(AllRequestScripts()),
                         [](const auto& info) {
                           return std::string(NameOf(info.param.port)) +
                                  info.param.script.name;
                         });

// Bytes behind a request that has no response yet.
TEST(HostileClients, BytesBehindARequestInProgress) {
  entry_process e;
  Start(e);
  client_script script{
      "", HeadWithLength("/silent/x", 0), std::string(16 * 1024, 'x'), 128, "",
      600};
  ExpectBears(e, e.callers, script);
}

TEST(HostileClients, ResponsesThatAreNotRead) {
  entry_process e;
  Start(e);
  client_script script{"", "", HeadWithLength("/large/x", 0), 20, "", 200};
  script.reads_responses = false;
  ExpectBears(e, e.callers, script);
}

TEST(HostileClients, LargeBodiesForATargetThatDoesNotRespond) {
  entry_process e;
  Start(e);
  client_script script{"",
                       HeadWithLength("/silent/x", kBodyBytes),
                       std::string(1'024, 'x'),
                       kBodyBytes / 1'024,
                       "",
                       96};
  ExpectBears(e, e.callers, script);
}

// Complete requests whose heads take more memory than bytes on the wire.
TEST(HostileClients, HeadsOfShortLinesForATargetThatDoesNotRespond) {
  entry_process e;
  Start(e);
  client_script script{
      "",        RequestHead("/silent/x", "Content-Length: 0\r\n"),
      "a:b\r\n", 3'000,
      "\r\n",    400};
  ExpectBears(e, e.callers, script);
}

// Requests within the limits, each with an ID and prompt segments of its own.
TEST(HostileClients, PromptsAndIdsThatAreAllDifferent) {
  constexpr int kClients = 40;
  constexpr int kRequestsEach = 100;
  constexpr int kSegments = 64;
  constexpr std::size_t kIdBytes = 7'000;
  entry_process e;
  Start(e);
  const auto engine = StartTarget(e.context, [](const http_request& request) {
    const auto id = waxwing::FindHeader(request.headers, "Request-Id");
    if (request.target.starts_with("/api/"))
      return scripted_response{{PlainResponse(404, "", "{}")}};
    return scripted_response{
        {StreamHead(id), StreamEvent(1, "one"), StreamEnd()}};
  });
  PutObject(*e.store, "servers", "engine",
            EntryTargetRecord(engine->Address(), "llm", 1));
  e.process.target_ports.insert(engine->Address().port);
  RunFor(e, milliseconds(300));
  std::vector<std::unique_ptr<client_crowd>> crowds;
  unsigned next_segment = 1;
  for (int i = 0; i < kClients; ++i) {
    client_script script{"", "", "", 0, "", 1};
    for (int j = 0; j < kRequestsEach; ++j) {
      std::string segments;
      for (int k = 0; k < kSegments; ++k) {
        char text[32];
        std::snprintf(text, sizeof text, "%s%x:8", k > 0 ? "," : "",
                      next_segment++);
        segments += text;
      }
      const std::string id = std::to_string(i * kRequestsEach + j);
      script.beginning +=
          std::string(j % 2 == 0 ? "POST /chat/x" : "POST /note/x") +
          " HTTP/1.1\r\nHost: calls.example\r\nRequest-Id: " + id +
          std::string(kIdBytes, 'x') +
          "\r\nDeadline-Ms: 20000\r\nAuthorization: Token key-1\r\n"
          "Model: m\r\nToken-Count: 512,4\r\nPrefix-Hash: " +
          segments + "\r\nContent-Length: 0\r\n\r\n";
    }
    crowds.push_back(StartCrowd(e.context, e.callers, script));
  }
  ASSERT_TRUE(RunAndMeasure(e, kMaxCrowdTime)) << "the process has ended";
  ExpectResponses(e);
  ExpectWithinLimits(e);
  EndTarget(*engine);
}

// More connections than descriptors, spread over all ports.
TEST(HostileClients, ConnectionsAtAllPorts) {
  for (const std::string& beginning : {std::string(), std::string("G")}) {
    SCOPED_TRACE(beginning.empty() ? "idle" : "one byte");
    entry_process e;
    Start(e);
    const client_script script{"", beginning, "", 0, "", kMany};
    std::vector<std::unique_ptr<client_crowd>> crowds;
    for (const endpoint& address : {e.callers, e.directory, e.readiness})
      crowds.push_back(StartCrowd(e.context, address, script));
    for (const auto& crowd : crowds)
      ASSERT_TRUE(RunCrowd(e, *crowd, script.clients));
    ExpectResponses(e);
    ExpectWithinLimits(e);
  }
}

// Clients stop short while targets send without end.
TEST(HostileClients, BodiesStopShortWhileTargetsSendWithoutEnd) {
  constexpr int kCalls = 300;
  for (const endless_script& endless : EndlessScripts()) {
    if (endless.name != "chunks" && endless.name != "event")
      continue;
    SCOPED_TRACE(endless.name);
    entry_process e;
    Start(e);
    endless_target target(e.context, endless);
    PutObject(*e.store, "servers", "odd",
              EntryTargetRecord(target.Address(), "odd", 0));
    e.process.target_ports.insert(target.Address().port);
    RunFor(e, milliseconds(300));
    client_script calls{"", HeadWithLength("/odd/x", 0), "", 0, "", kCalls};
    calls.reads_responses = false;
    const client_script bodies{"",
                               HeadWithLength("/status/x", kBodyBytes),
                               std::string(1'024, 'x'),
                               kBodyBytes / 1'024 - 1,
                               "",
                               96};
    const auto callers = StartCrowd(e.context, e.callers, calls);
    const auto senders = StartCrowd(e.context, e.callers, bodies);
    EXPECT_TRUE(RunCrowd(e, *senders, bodies.clients));
    if (e.process.id != 0)
      ExpectResponses(e);
    ExpectWithinLimits(e);
    target.acceptor.close();
    RunFor(e, milliseconds(10));
  }
}

// A single request at each limit, alone, in a process of the smallest memory.
TEST(HostileClients, SingleRequestsAtTheLimitsAreServed) {
  constexpr std::size_t kLongestBody = 4 * 1024 * 1024;
  entry_process e;
  e.memory_mb = 88;
  e.body_bytes = kLongestBody;
  e.header_bytes = 16 * 1024;
  Start(e);
  const std::string body(kLongestBody, 'x');
  const std::string path = "/start/x";
  const std::string closing = "Connection: close\r\n";
  const std::string chunked =
      RequestHead(path, closing + "Transfer-Encoding: chunked\r\n\r\n");
  const auto with_length = [&](const std::string& more, std::size_t size) {
    return RequestHead(path, closing + more + "Content-Length: " +
                                 std::to_string(size) + "\r\n\r\n");
  };
  const std::pair<std::string, std::string> requests[] = {
      {"body with length", with_length("", body.size()) + body},
      {"body in one chunk", chunked + "400000\r\n" + body + "\r\n0\r\n\r\n"},
      {"chunks of a byte",
       chunked + Repeat("1\r\nx\r\n", 200'000) + "0\r\n\r\n"},
      {"trailers",
       chunked + "1\r\nx\r\n0\r\n" +
           Repeat("X-Filler: " + std::string(100, 'x') + "\r\n", 40) + "\r\n"},
      {"chunk extension",
       chunked + "1;name=" + std::string(200, 'x') + "\r\nx\r\n0\r\n\r\n"},
      {"longest head",
       with_length("X-Filler: " + std::string(15'900, 'x') + "\r\n", 0)},
      {"head of short lines", with_length(Repeat("a:b\r\n", 3'100), 0)},
  };
  for (const auto& request : requests) {
    SCOPED_TRACE(request.first);
    const std::string& text = request.second;
    asio::ip::tcp::socket socket(e.context);
    socket.connect({asio::ip::make_address(e.callers.host), e.callers.port});
    std::string response;
    RunToEnd(e.context, [&]() -> asio::awaitable<int> {
      constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);
      co_await asio::async_write(socket, asio::buffer(text), kUseTuple);
      co_await asio::async_read(socket, asio::dynamic_buffer(response),
                                kUseTuple);
      co_return 0;
    }());
    EXPECT_EQ(response.substr(0, 12), "HTTP/1.1 200") << response;
    ASSERT_TRUE(RunAndMeasure(e, kSamplePeriod));
  }
  ExpectWithinLimits(e);
}

// The router and the agent read requests of callers and operators.
struct HostileClientsNative : ::testing::TestWithParam<client_script> {};

TEST_P(HostileClientsNative, RouterAndAgentStayWithinTheirLimitsAndRespond) {
  cluster_options options;
  options.vms = 1;
  options.engines = 1;
  const auto c = StartCluster(options);
  const vm& v = c->vms[0];
  client_script script = GetParam();
  for (const auto& [address, id] : {std::pair(v.router_address, v.router),
                                    std::pair(v.operator_address, v.agent)}) {
    SCOPED_TRACE(id == v.router ? "router" : "agent");
    watched_process process{id, {address.port}, {}, {}};
    const auto crowd = StartCrowd(c->context, address, script);
    const auto end = std::chrono::steady_clock::now() + kMaxCrowdTime;
    while (crowd->done < script.clients &&
           std::chrono::steady_clock::now() < end) {
      RunFor(*c, kSamplePeriod);
      ASSERT_TRUE(IsAlive(process));
      Measure(process);
    }
    RunFor(*c, kTimeAfterCrowd);
    Measure(process);
    EXPECT_EQ(CallOperatorApi(*c, 0, "GET", "/v1/status").status, 200u);
    EXPECT_EQ(Call(*c, v.router_address, ChatRequest(*c, "a b c", 4, false),
                   kResponseTime)
                  .status,
              200u);
    Measure(process);
    EXPECT_LE(process.peak.memory_bytes, kNativeMemoryMb * kMegabyte);
    EXPECT_LE(process.peak.descriptors, kDescriptors - kFileDescriptors);
    std::printf("peak %zu MB, %zu descriptors\n",
                process.peak.memory_bytes / kMegabyte,
                process.peak.descriptors);
  }
}

INSTANTIATE_TEST_SUITE_P(All,
                         HostileClientsNative,
                         ::testing::ValuesIn(RequestScripts("/v1/status", 72)),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace testing_support
