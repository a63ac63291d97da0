// Benchmark of the overhead of the router: the time that it adds to the time to
// first token of an idle engine, and its throughput per core in requests and
// tokens per second.
//
// Router and load run on one thread each, and so does every engine; they are
// connected by loopback sockets. Throughput is per second of the router
// thread's CPU time, so that it does not depend on other load on the machine.

#include <pthread.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <cstdio>
#include <ctime>
#include <thread>
#include <vector>

#include "standin/engine.h"
#include "standin/trace.h"
#include "waxwing/http_client.h"
#include "waxwing/intent.h"
#include "waxwing/log.h"
#include "waxwing/router.h"

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace waxwing;

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);

// A thread that runs an event loop of its own.
struct event_loop_thread {
  asio::io_context context{1};
  asio::executor_work_guard<asio::io_context::executor_type> work{
      context.get_executor()};
  std::thread thread;

  event_loop_thread() = default;
  ~event_loop_thread() {
    context.stop();
    if (thread.joinable())
      thread.join();
  }
  void Start() {
    thread = std::thread([this] { context.run(); });
  }
  double CpuSeconds() {
    clockid_t clock{};
    pthread_getcpuclockid(thread.native_handle(), &clock);
    timespec time{};
    clock_gettime(clock, &time);
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_nsec) * 1e-9;
  }
};

struct bench_system {
  std::vector<std::unique_ptr<event_loop_thread>> engine_threads;
  std::vector<standin::engine> engines;
  event_loop_thread router_thread;
  router tested_router;
};

// Starts the engines and a router with an in-memory configuration that lists
// them.
std::unique_ptr<bench_system> StartSystem(
    const standin::engine_options& base_options,
    int engines) {
  auto out = std::make_unique<bench_system>();
  json::array targets;
  for (int i = 0; i < engines; ++i) {
    out->engine_threads.push_back(std::make_unique<event_loop_thread>());
    standin::engine_options options = base_options;
    options.seed = static_cast<std::uint64_t>(i) + 1;
    out->engines.push_back(*standin::StartEngine(
        out->engine_threads.back()->context.get_executor(), options));
    targets.push_back(
        json::object{{"name", "engine-" + std::to_string(i)},
                     {"kind", "model"},
                     {"address", ToText(out->engines.back().address)},
                     {"zone", "a"},
                     {"serves", "triage"},
                     {"version", "v1"}});
  }
  json::array accounts{json::object{{"name", "a"}, {"key", "k"}}};
  json::array versions{json::object{{"version", "v1"}, {"percent", 100}}};
  json::array models{
      json::object{{"name", "triage"}, {"versions", std::move(versions)}}};
  const json::object intent{
      {"kind", "import"},
      {"config", json::object{{"models", std::move(models)},
                              {"targets", std::move(targets)},
                              {"accounts", std::move(accounts)}}}};
  out->tested_router =
      *StartRouter(out->router_thread.context.get_executor(), router_options{});
  ApplyConfig(out->tested_router,
              *ApplyIntent(config(), json::serialize(intent)));
  for (const auto& each : out->engine_threads)
    each->Start();
  out->router_thread.Start();
  return out;
}

http_request MakeRequest(int number, int tokens) {
  json::array messages{
      json::object{{"role", "system"}, {"content", standin::MakeText(1, 400)}},
      json::object{{"role", "user"},
                   {"content", "request " + std::to_string(number)}}};
  http_request out{"POST", "/v1/chat/completions", {}, ""};
  out.body = json::serialize(json::object{{"model", "triage"},
                                          {"messages", std::move(messages)},
                                          {"max_tokens", tokens},
                                          {"stream", true}});
  out.headers.push_back({"Authorization", "Bearer k"});
  return out;
}

// Sends a request and reads its stream to the end. Appends the time to the
// first piece of the response body to `first_piece`, if set. Returns false if
// the stream failed or was incomplete.
asio::awaitable<bool> RunStream(const http_pool& pool,
                                endpoint address,
                                http_request request,
                                std::vector<double>* first_piece) {
  const auto start = std::chrono::steady_clock::now();
  const http_call_options options{seconds(10), true};
  auto call = co_await StartCall(pool, address, request, options);
  std::string body;
  bool is_first = true;
  while (call && call->head.status == 200) {
    auto more = co_await ReadSomeBody(pool, *call, seconds(10), body);
    if (!more)
      co_return false;
    if (is_first && first_piece)
      first_piece->push_back(
          ToSeconds(std::chrono::steady_clock::now() - start));
    is_first = false;
    if (!*more)
      co_return body.find("[DONE]") != std::string::npos;
  }
  co_return false;
}

double Percentile(std::vector<double> values, double q) {
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(
      q * static_cast<double>(values.size() - 1))];
}

// Sends requests one at a time, alternately to the engine and through the
// router, and prints the difference of their times to first token.
void MeasureAddedTime() {
  constexpr int kRequests = 600;
  standin::engine_options options;
  options.prefill_tokens_per_second = 1e6;
  options.token_interval = milliseconds(1);
  auto system = StartSystem(options, 1);
  asio::io_context context(1);
  const auto pool = MakeHttpPool(context.get_executor(), {});
  std::vector<double> direct;
  std::vector<double> routed;
  const auto run = [&]() -> asio::awaitable<void> {
    for (int i = 0; i < kRequests; ++i) {
      http_request request = MakeRequest(i, 2);
      request.headers.push_back({"X-Request-Id", "d" + std::to_string(i)});
      co_await RunStream(pool, system->engines[0].address, request, &direct);
      co_await RunStream(pool, system->tested_router.address, request, &routed);
    }
  };
  asio::co_spawn(context, run(), asio::detached);
  context.run_for(seconds(60));
  std::printf("router_added_ttft_p50_ms=%.3f\n",
              (Percentile(routed, 0.5) - Percentile(direct, 0.5)) * 1e3);
  std::printf("router_added_ttft_p95_ms=%.3f\n",
              (Percentile(routed, 0.95) - Percentile(direct, 0.95)) * 1e3);
}

struct rate_result {
  std::uint64_t done = 0;
  double cpu_seconds = 0;
};

// Runs closed-loop workers for `time`, after a warm-up of one second, and
// returns the requests completed and the CPU time of the router thread.
rate_result MeasureRate(const standin::engine_options& options,
                        int engines,
                        int workers,
                        int tokens,
                        duration time) {
  auto system = StartSystem(options, engines);
  asio::io_context context(1);
  const auto pool = MakeHttpPool(context.get_executor(), {});
  rate_result out;
  bool stop = false;
  int number = 0;
  const auto run_worker = [&]() -> asio::awaitable<void> {
    while (!stop) {
      const bool done =
          co_await RunStream(pool, system->tested_router.address,
                             MakeRequest(number++, tokens), nullptr);
      out.done += done && !stop;
    }
  };
  for (int i = 0; i < workers; ++i)
    asio::co_spawn(context, run_worker(), asio::detached);
  context.run_for(seconds(1));
  out.done = 0;
  const double cpu = system->router_thread.CpuSeconds();
  context.run_for(time);
  out.cpu_seconds = system->router_thread.CpuSeconds() - cpu;
  stop = true;
  context.run_for(seconds(2));
  return out;
}

void MeasureRates() {
  constexpr int kStreamTokens = 200;
  standin::engine_options options;
  options.prefill_tokens_per_second = 1e9;
  options.token_interval = milliseconds(0);
  options.slots = 1000;
  options.event_loss = 1;
  const rate_result requests = MeasureRate(options, 3, 48, 1, seconds(4));
  std::printf("router_requests_per_s=%.0f\n",
              static_cast<double>(requests.done) / requests.cpu_seconds);
  options.token_interval = milliseconds(4);
  const rate_result streams =
      MeasureRate(options, 3, 240, kStreamTokens, seconds(4));
  std::printf(
      "router_tokens_per_s=%.0f\n",
      static_cast<double>(streams.done) * kStreamTokens / streams.cpu_seconds);
}

}  // namespace

int main() {
  StartLog("router-bench", log_level::kError);
  MeasureAddedTime();
  MeasureRates();
  return 0;
}
