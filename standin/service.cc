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
  waxwing::instant silent_before;
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
  const auto wanted = waxwing::ParseObject(body);
  if (!wanted)
    return JsonResponse(400, R"({"error":"malformed faults"})");
  service_faults& faults = state.faults;
  faults.lose_answer =
      waxwing::ReadNumberOr(*wanted, "lose_answer", 0, 1, faults.lose_answer)
          .value_or(0);
  faults.refuse =
      waxwing::ReadNumberOr(*wanted, "refuse", 0, 1, faults.refuse).value_or(0);
  if (waxwing::ReadBoolOr(*wanted, "silence", false).value_or(false))
    state.silent_before = std::chrono::steady_clock::now();
  return JsonResponse(200, "{}");
}

http_response HandleStats(const service_state& state) {
  std::uint64_t total = 0;
  std::uint64_t most = 0;
  for (const auto& [body, count] : state.runs) {
    total += count;
    most = std::max(most, count);
  }
  return JsonResponse(
      200, json::serialize(json::object{{"runs", total}, {"most", most}}));
}

asio::awaitable<void> Handle(state_ptr state, http_exchange& exchange) {
  const std::string path(waxwing::PathOf(exchange.request.target));
  http_response answer;
  if (path == "/standin/faults") {
    answer = HandleFaults(*state, exchange.request.body);
  } else if (path == "/standin/stats") {
    answer = HandleStats(*state);
  } else if (exchange.accepted_at < state->silent_before) {
    co_await Sleep(state, waxwing::seconds(30));
    waxwing::AbortExchange(exchange);
    co_return;
  } else if (Chance(*state, state->faults.refuse)) {
    answer = JsonResponse(503, R"({"error":"refused"})");
  } else {
    const std::uint64_t count = ++state->runs[exchange.request.body];
    co_await Sleep(state, state->options.work);
    if (Chance(*state, state->faults.lose_answer)) {
      waxwing::AbortExchange(exchange);
      co_return;
    }
    json::object echo{
        {"path", path}, {"echo", exchange.request.body}, {"count", count}};
    const std::size_t query = exchange.request.target.find('?');
    if (query != std::string::npos)
      echo["query"] = exchange.request.target.substr(query + 1);
    answer = JsonResponse(200, json::serialize(echo));
  }
  co_await waxwing::Respond(exchange, answer);
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

void StopService(service& stopped) {
  waxwing::CloseServer(stopped.state->server);
}

service_faults& FaultsOf(service& of) {
  return of.state->faults;
}

void SilenceConnections(service& of) {
  of.state->silent_before = std::chrono::steady_clock::now();
}

std::uint64_t RunsOf(const service& of, const std::string& body) {
  const auto found = of.state->runs.find(body);
  return found == of.state->runs.end() ? 0 : found->second;
}

std::uint64_t MostRuns(const service& of) {
  std::uint64_t most = 0;
  for (const auto& [body, count] : of.state->runs)
    most = std::max(most, count);
  return most;
}

}  // namespace standin
