// Test of an entry process at the smallest memory of the deployments: targets
// that send bytes without end and bodies for a target that reads slowly, beside
// the requests of other callers.

#include <gtest/gtest.h>

#include <array>
#include <fstream>
#include <set>

#include "testing/endless_target.h"
#include "testing/event_loop.h"
#include "testing/platform_standin.h"
#include "testing/processes.h"
#include "waxwing/http_client.h"

namespace testing_support {
namespace {

namespace json = boost::json;
using asio::ip::tcp;
using waxwing::endpoint;
using waxwing::http_request;
using waxwing::milliseconds;

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);
constexpr long kMemoryMb = 88;
// What is configured at the size of the deployments, beside the test's own.
constexpr int kAccounts = 2'000;
constexpr int kTargets = 90;
constexpr int kSmallCallers = 12;
constexpr milliseconds kSmallWork{200};
constexpr std::size_t kBodyBytes = 4 * 1024 * 1024;
constexpr int kEndless = 40;
constexpr int kLarge = 8;

struct memory_run {
  asio::io_context context;
  std::unique_ptr<object_store_standin> store = StartObjectStore(context);
  std::shared_ptr<scripted_target> sound;
  std::vector<std::unique_ptr<endless_target>> endless;
  tcp::acceptor slow{context, {asio::ip::make_address("127.0.0.1"), 0}};
  endpoint callers = FindFreeAddress(context);
  pid_t process = 0;
  // Small requests that the target has got, and those that got no response.
  std::set<std::string> run;
  int answered = 0;
  int lost = 0;
  int sent_large = 0;
  long peak_mb = 0;
  bool is_finished = false;

  ~memory_run() {
    KillProcess(process);
    sound->acceptor.close();
    slow.close();
    waxwing::CloseServer(store->server);
  }
};

void RunFor(memory_run& m, milliseconds time) {
  m.context.restart();
  m.context.run_for(time);
}

long MemoryMb(pid_t process) {
  std::ifstream file("/proc/" + std::to_string(process) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("VmRSS:"))
      return std::strtol(line.c_str() + 6, nullptr, 10) * 1024 / 1'000'000;
  }
  return 0;
}

asio::awaitable<void> WatchMemory(memory_run& m) {
  asio::steady_timer timer(m.context);
  while (!m.is_finished) {
    timer.expires_after(milliseconds(5));
    co_await timer.async_wait(kUseTuple);
    m.peak_mb = std::max(m.peak_mb, MemoryMb(m.process));
  }
}

// Reads a little at a time and never responds.
asio::awaitable<void> ReadSlowly(memory_run& m,
                                 std::shared_ptr<tcp::socket> socket) {
  std::array<char, 16 * 1024> bytes;
  asio::steady_timer timer(m.context);
  while (true) {
    auto [error, count] =
        co_await socket->async_read_some(asio::buffer(bytes), kUseTuple);
    if (error)
      co_return;
    timer.expires_after(milliseconds(50));
    co_await timer.async_wait(kUseTuple);
  }
}

asio::awaitable<void> AcceptSlow(memory_run& m) {
  while (true) {
    auto [error, socket] = co_await m.slow.async_accept(kUseTuple);
    if (error)
      co_return;
    asio::co_spawn(
        m.context,
        ReadSlowly(m, std::make_shared<tcp::socket>(std::move(socket))),
        asio::detached);
  }
}

http_request MakeRequest(std::string path, std::string id, int deadline_ms) {
  http_request out;
  out.method = "POST";
  out.target = std::move(path);
  out.headers = {{"Host", "calls.example"},
                 {"Request-Id", std::move(id)},
                 {"Deadline-Ms", std::to_string(deadline_ms)},
                 {"Authorization", "Token key-1"}};
  return out;
}

// A caller that sends one small request after the other on a kept connection.
asio::awaitable<void> CallSmall(memory_run& m, int caller) {
  const waxwing::http_pool pool =
      waxwing::MakeHttpPool(m.context.get_executor(), {});
  for (int i = 0; !m.is_finished; ++i) {
    const std::string id =
        "s" + std::to_string(caller) + "-" + std::to_string(i);
    waxwing::http_call_options options{milliseconds(2'000), true};
    options.max_resend_delay = milliseconds(-1);
    const http_request request = MakeRequest("/start/x", id, 1'500);
    const auto response =
        co_await waxwing::Fetch(pool, m.callers, request, options);
    if (response)
      m.answered += response->status == 200;
    else if (m.run.contains(id))
      ++m.lost;
  }
}

// Sends a request and ignores what comes of it.
asio::awaitable<void> CallOnce(memory_run& m, http_request request) {
  const waxwing::http_pool pool =
      waxwing::MakeHttpPool(m.context.get_executor(), {});
  const waxwing::http_call_options options{milliseconds(2'000), false};
  const auto ignored =
      co_await waxwing::Fetch(pool, m.callers, request, options);
  m.sent_large += ignored.has_value();
}

void PutConfig(memory_run& m) {
  const auto route = [](const std::string& name) {
    return EntryRoute(name, "/" + name + "/", "non_idempotent", name, 1, false);
  };
  json::object config =
      json::parse(EntryConfig(1, json::array{route("odd"), route("upload")}))
          .as_object();
  for (const char* name : {"odd", "upload"})
    config["services"].as_array().push_back(json::object{{"name", name}});
  for (int i = 0; i < kAccounts; ++i) {
    const std::string name = "account-" + std::to_string(i);
    config["tenants"].as_array().push_back(json::object{
        {"name", name}, {"api_keys", json::array{"key-of-" + name}}});
  }
  PutObject(*m.store, "config", "main", json::serialize(config));
}

void Start(memory_run& m) {
  m.sound = StartTarget(m.context, [&m](const http_request& request) {
    const std::string id(waxwing::FindHeader(request.headers, "Request-Id"));
    m.run.insert(id);
    scripted_response out{{PlainResponse(200, id, "done")}};
    out.delay = kSmallWork;
    return out;
  });
  asio::co_spawn(m.context, AcceptSlow(m), asio::detached);
  PutConfig(m);
  PutObject(*m.store, "servers", "sound",
            EntryTargetRecord(m.sound->Address(), "panel", 0));
  PutObject(*m.store, "servers", "slow",
            EntryTargetRecord({"127.0.0.1", m.slow.local_endpoint().port()},
                              "upload", 0));
  for (int i = 0; i < kTargets; ++i)
    PutObject(*m.store, "servers", "engine-" + std::to_string(i),
              EntryTargetRecord(m.sound->Address(), "llm", 1));
  const std::string settings = ::testing::TempDir() + "waxwing-memory-" +
                               std::to_string(getpid()) + ".json";
  std::ofstream(settings) << json::serialize(json::object{
      {"node_name", "vm-0"},
      {"zone", "a"},
      {"region", "r"},
      {"listen",
       json::object{{"front", ToText(m.callers)},
                    {"ready", ToText(FindFreeAddress(m.context))},
                    {"control", ToText(FindFreeAddress(m.context))},
                    {"directory", ToText(FindFreeAddress(m.context))}}},
      {"seeds", json::array{}},
      {"bootstrap", true},
      {"limits", json::object{{"max_fds", 4'096}, {"memory_mb", kMemoryMb}}},
      {"bounds", json::object{{"grace_s", 8}}},
      {"platform",
       json::object{{"address", ToText(m.store->server.address)}}}});
  m.process = Spawn("waxwing-entry", {},
                    {"WAXWINGPASS_SETTINGS=" + settings, "WAXWING_KEY=soak",
                     "WAXWING_LOG_LEVEL=warning"},
                    false);
  RunFor(m, milliseconds(2'000));
}

// The process kept what faulty targets sent, and bodies for a slow one, until
// it exceeded its memory, and the requests of all other callers ended with it.
TEST(EntrySoakMemory, ProcessStaysWithinItsMemoryAndLosesNoRequest) {
  memory_run m;
  Start(m);
  asio::co_spawn(m.context, WatchMemory(m), asio::detached);
  for (int i = 0; i < kSmallCallers; ++i)
    asio::co_spawn(m.context, CallSmall(m, i), asio::detached);
  RunFor(m, milliseconds(1'000));
  ASSERT_GT(m.answered, 0);
  const long before_mb = m.peak_mb;
  int next = 0;
  for (const endless_script& script : EndlessScripts()) {
    m.endless.push_back(std::make_unique<endless_target>(m.context, script));
    endless_target& target = *m.endless.back();
    PutObject(*m.store, "servers", "odd",
              EntryTargetRecord(target.Address(), "odd", 0));
    RunFor(m, milliseconds(300));
    for (int i = 0; i < kEndless; ++i)
      asio::co_spawn(
          m.context,
          CallOnce(m, MakeRequest("/odd/x", std::to_string(next++), 1'000)),
          asio::detached);
    for (int i = 0; i < kLarge; ++i) {
      http_request large =
          MakeRequest("/upload/x", "l" + std::to_string(next++), 1'000);
      large.body = std::string(kBodyBytes, 'x');
      asio::co_spawn(m.context, CallOnce(m, std::move(large)), asio::detached);
    }
    RunFor(m, milliseconds(1'500));
    std::printf("%s: peak %ld MB, %d answered, %d lost\n", script.name.c_str(),
                m.peak_mb, m.answered, m.lost);
    target.acceptor.close();
    RunFor(m, milliseconds(10));
  }
  m.is_finished = true;
  RunFor(m, milliseconds(2'500));
  std::printf("peak %ld MB, %ld MB before\n", m.peak_mb, before_mb);
  EXPECT_LT(m.peak_mb, kMemoryMb);
  EXPECT_EQ(m.lost, 0);
}

}  // namespace
}  // namespace testing_support
