#include "standin/service.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <map>
#include <random>

#include "waxwing/http_server.h"
#include "waxwing/json.h"

namespace standin {

namespace asio = boost::asio;
namespace json = boost::json;
using waxwing::http_exchange;
using waxwing::http_response;
using waxwing::JsonResponse;

struct service_state {
  asio::any_io_executor executor;
  service_options options;
  service_faults faults;
  std::mt19937_64 random;
  waxwing::http_server server;
  waxwing::instant stalled_before;
  std::map<std::string, std::uint64_t> runs;
};

namespace {

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);

using state_ptr = std::shared_ptr<service_state>;

bool Chance(service_state& state, double share) {
  return std::uniform_real_distribution<double>(0, 1)(state.random) < share;
}

asio::awaitable<void> Sleep(const state_ptr& state, waxwing::duration time) {
  asio::steady_timer timer(state->executor, time);
  co_await timer.async_wait(kUseTuple);
}

http_response HandleFaults(service_state& state, const std::string& body) {
  const auto update = waxwing::ParseObject(body);
  if (!update)
    return JsonResponse(400, R"({"error":"malformed faults"})");
  service_faults& faults = state.faults;
  faults.lose_answer =
      waxwing::ReadNumberOr(*update, "lose_answer", 0, 1, faults.lose_answer)
          .value_or(0);
  faults.refuse =
      waxwing::ReadNumberOr(*update, "refuse", 0, 1, faults.refuse).value_or(0);
  if (waxwing::ReadBoolOr(*update, "silence", false).value_or(false))
    state.stalled_before = std::chrono::steady_clock::now();
  return JsonResponse(200, "{}");
}

http_response HandleStats(const service_state& state) {
  std::uint64_t total = 0;
  std::uint64_t max_runs = 0;
  for (const auto& [body, count] : state.runs) {
    total += count;
    max_runs = std::max(max_runs, count);
  }
  return JsonResponse(
      200, json::serialize(json::object{{"runs", total}, {"most", max_runs}}));
}

asio::awaitable<void> Handle(state_ptr state, http_exchange& exchange) {
  const std::string path(waxwing::PathOf(exchange.request.target));
  http_response response;
  if (path == "/standin/faults") {
    response = HandleFaults(*state, exchange.request.body);
  } else if (path == "/standin/stats") {
    response = HandleStats(*state);
  } else if (exchange.accepted_at < state->stalled_before) {
    co_await Sleep(state, waxwing::seconds(30));
    waxwing::AbortExchange(exchange);
    co_return;
  } else if (Chance(*state, state->faults.refuse)) {
    response = JsonResponse(503, R"({"error":"refused"})");
  } else {
    const std::uint64_t count = ++state->runs[exchange.request.body];
    co_await Sleep(state, state->options.processing_time);
    if (Chance(*state, state->faults.lose_answer)) {
      waxwing::AbortExchange(exchange);
      co_return;
    }
    json::object echo{
        {"path", path}, {"echo", exchange.request.body}, {"count", count}};
    const std::size_t query = exchange.request.target.find('?');
    if (query != std::string::npos)
      echo["query"] = exchange.request.target.substr(query + 1);
    response = JsonResponse(200, json::serialize(echo));
  }
  co_await waxwing::Respond(exchange, response);
}

}  // namespace

tl::expected<service, std::string> StartService(
    asio::any_io_executor executor,
    const service_options& options) {
  auto state = std::make_shared<service_state>();
  state->executor = executor;
  state->options = options;
  state->random.seed(options.seed);
  std::weak_ptr<service_state> weak = state;
  waxwing::http_limits limits;
  auto server = waxwing::StartHttpServer(
      executor, options.address, limits,
      [weak](http_exchange& exchange) -> asio::awaitable<void> {
        if (auto locked = weak.lock())
          co_await Handle(locked, exchange);
      });
  if (!server)
    return tl::unexpected(server.error());
  state->server = *server;
  return service{state, server->address};
}

void StopService(service& instance) {
  waxwing::CloseServer(instance.state->server);
}

service_faults& MutableFaults(service& instance) {
  return instance.state->faults;
}

void StallConnections(service& instance) {
  instance.state->stalled_before = std::chrono::steady_clock::now();
}

std::uint64_t GetRunCount(const service& instance, const std::string& body) {
  const auto found = instance.state->runs.find(body);
  return found == instance.state->runs.end() ? 0 : found->second;
}

std::uint64_t GetMaxRunCount(const service& instance) {
  std::uint64_t max_runs = 0;
  for (const auto& [body, count] : instance.state->runs)
    max_runs = std::max(max_runs, count);
  return max_runs;
}

}  // namespace standin
