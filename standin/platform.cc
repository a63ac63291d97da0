#include "standin/platform.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <map>
#include <random>
#include <utility>

#include "waxwing/http_server.h"
#include "waxwing/json.h"

namespace standin {

namespace asio = boost::asio;
namespace json = boost::json;
using waxwing::FindHeader;
using waxwing::http_exchange;
using waxwing::http_response;
using waxwing::JsonResponse;
using waxwing::milliseconds;

namespace {

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view kObjectsPath = "/v1/objects/";
constexpr milliseconds kMaxWatchTimeout{30'000};

struct object {
  std::string value;
  std::uint64_t version = 0;
};

}  // namespace

struct platform_state {
  asio::any_io_executor executor;
  platform_options options;
  platform_faults faults;
  platform_counts counts;
  std::mt19937_64 random;
  waxwing::http_server server;
  std::map<std::string, object> objects;
  std::uint64_t revision = 0;
  // Revision of the last change of each key, including deleted keys.
  std::map<std::string, std::uint64_t> changed_at;
  // State of a VM, the time of its last change, and the state before that,
  // which the VM list still shows for vm_list_lag.
  struct vm_entry {
    std::string state;
    waxwing::instant since;
    std::string previous_state;
  };
  // By VM name.
  std::map<std::string, vm_entry> vms;
  bool stopped = false;
};

namespace {

using state_ptr = std::shared_ptr<platform_state>;

bool Chance(platform_state& state, double share) {
  return std::uniform_real_distribution<double>(0, 1)(state.random) < share;
}

asio::awaitable<void> Sleep(const state_ptr& state, waxwing::duration time) {
  asio::steady_timer timer(state->executor, time);
  co_await timer.async_wait(kUseTuple);
}

void RecordChange(platform_state& state, const std::string& key) {
  state.changed_at[key] = ++state.revision;
}

http_response VersionedResponse(unsigned status,
                                std::string body,
                                std::uint64_t version) {
  http_response out = JsonResponse(status, std::move(body));
  out.headers.push_back({"X-Version", std::to_string(version)});
  return out;
}

http_response GetObject(const platform_state& state, const std::string& key) {
  const auto found = state.objects.find(key);
  if (found == state.objects.end())
    return JsonResponse(404, R"({"error":"absent"})");
  return VersionedResponse(200, found->second.value, found->second.version);
}

// Carries out a PUT or DELETE if its If-Version condition holds.
http_response WriteObject(platform_state& state,
                          const std::string& key,
                          const waxwing::http_request& request) {
  if (request.body.size() > state.options.max_value_bytes)
    return JsonResponse(413, R"({"error":"value too large"})");
  const auto found = state.objects.find(key);
  const std::uint64_t version =
      found == state.objects.end() ? 0 : found->second.version;
  const std::string condition(FindHeader(request.headers, "If-Version"));
  if (!condition.empty() &&
      std::strtoull(condition.c_str(), nullptr, 10) != version)
    return VersionedResponse(409, R"({"error":"version differs"})", version);
  if (request.method == "DELETE") {
    state.objects.erase(key);
    RecordChange(state, key);
    return JsonResponse(200, "{}");
  }
  RecordChange(state, key);
  state.objects[key] = {request.body, state.revision};
  return VersionedResponse(200, "{}", state.revision);
}

http_response ListObjects(const platform_state& state,
                          std::string_view prefix) {
  json::array keys;
  for (const auto& [key, entry] : state.objects) {
    if (key.starts_with(prefix))
      keys.push_back(json::object{{"key", key}, {"version", entry.version}});
  }
  return JsonResponse(
      200, json::serialize(json::object{{"revision", state.revision},
                                        {"objects", std::move(keys)}}));
}

bool ChangedSince(const platform_state& state,
                  std::string_view prefix,
                  std::uint64_t revision) {
  for (const auto& [key, at] : state.changed_at) {
    if (at > revision && key.starts_with(prefix))
      return true;
  }
  return false;
}

asio::awaitable<http_response> WatchObjects(const state_ptr& state,
                                            const std::string& target) {
  ++state->counts.watches;
  const std::string prefix(waxwing::QueryValue(target, "prefix"));
  const std::string revision_text(waxwing::QueryValue(target, "revision"));
  const std::string timeout_text(waxwing::QueryValue(target, "timeout_ms"));
  const std::uint64_t revision =
      std::strtoull(revision_text.c_str(), nullptr, 10);
  const milliseconds timeout =
      std::min(kMaxWatchTimeout,
               milliseconds(std::strtoll(timeout_text.c_str(), nullptr, 10)));
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (!state->stopped && !state->faults.outage &&
         !ChangedSince(*state, prefix, revision) &&
         std::chrono::steady_clock::now() < deadline) {
    asio::steady_timer tick(
        state->executor, std::min(deadline, std::chrono::steady_clock::now() +
                                                milliseconds(20)));
    co_await tick.async_wait(kUseTuple);
  }
  if (state->faults.outage)
    co_return JsonResponse(503, R"({"error":"outage"})");
  co_return JsonResponse(
      200, json::serialize(json::object{{"revision", state->revision}}));
}

http_response HandleFaults(platform_state& state, const std::string& body) {
  const auto update = waxwing::ParseObject(body);
  if (!update)
    return JsonResponse(400, R"({"error":"malformed faults"})");
  platform_faults& faults = state.faults;
  faults.latency =
      milliseconds(waxwing::ReadIntegerOr(*update, "latency_ms", 0, 60'000,
                                          faults.latency.count())
                       .value_or(0));
  faults.outage =
      waxwing::ReadBoolOr(*update, "outage", faults.outage).value_or(false);
  faults.reject =
      waxwing::ReadNumberOr(*update, "reject", 0, 1, faults.reject).value_or(0);
  faults.lose_answer =
      waxwing::ReadNumberOr(*update, "lose_answer", 0, 1, faults.lose_answer)
          .value_or(0);
  return JsonResponse(200, "{}");
}

http_response HandleStats(const platform_state& state) {
  return JsonResponse(200, json::serialize(json::object{
                               {"reads", state.counts.reads},
                               {"writes", state.counts.writes},
                               {"watches", state.counts.watches},
                               {"lost_answers", state.counts.lost_answers},
                               {"objects", state.objects.size()}}));
}

// Sets the state of a VM as the platform sees it; called by tests.
http_response SetVm(platform_state& state,
                    const waxwing::http_request& request) {
  const std::string name(waxwing::QueryValue(request.target, "name"));
  auto& entry = state.vms[name];
  entry.previous_state = entry.state;
  entry.state = std::string(waxwing::QueryValue(request.target, "state"));
  entry.since = std::chrono::steady_clock::now();
  return JsonResponse(200, "{}");
}

http_response ListVms(const platform_state& state) {
  const auto now = std::chrono::steady_clock::now();
  json::array vms;
  for (const auto& [name, entry] : state.vms) {
    const bool visible = now - entry.since >= state.options.vm_list_lag;
    const std::string& reported_state =
        visible ? entry.state : entry.previous_state;
    if (!reported_state.empty() && reported_state != "gone")
      vms.push_back(json::object{{"name", name}, {"state", reported_state}});
  }
  return JsonResponse(200,
                      json::serialize(json::object{{"vms", std::move(vms)}}));
}

asio::awaitable<void> HandleObjects(const state_ptr& state,
                                    http_exchange& exchange) {
  const std::string& target = exchange.request.target;
  const std::string key(waxwing::PathOf(target).substr(kObjectsPath.size()));
  http_response response;
  if (exchange.request.method == "GET") {
    ++state->counts.reads;
    response = GetObject(*state, key);
  } else {
    ++state->counts.writes;
    response = WriteObject(*state, key, exchange.request);
    if (Chance(*state, state->faults.lose_answer)) {
      ++state->counts.lost_answers;
      waxwing::AbortExchange(exchange);
      co_return;
    }
  }
  co_await waxwing::Respond(exchange, response);
}

asio::awaitable<void> Handle(state_ptr state, http_exchange& exchange) {
  const std::string target = exchange.request.target;
  const std::string_view path = waxwing::PathOf(target);
  http_response response = JsonResponse(404, R"({"error":"no such path"})");
  if (path == "/standin/faults") {
    response = HandleFaults(*state, exchange.request.body);
  } else if (path == "/standin/stats") {
    response = HandleStats(*state);
  } else if (path == "/standin/vms") {
    response = SetVm(*state, exchange.request);
  } else if (state->faults.outage) {
    response = JsonResponse(503, R"({"error":"outage"})");
  } else if (Chance(*state, state->faults.reject)) {
    response = JsonResponse(429, R"({"error":"too many calls"})");
  } else {
    co_await Sleep(state, state->faults.latency);
    if (path.starts_with(kObjectsPath)) {
      co_await HandleObjects(state, exchange);
      co_return;
    }
    if (path == "/v1/objects") {
      ++state->counts.reads;
      response = ListObjects(*state, waxwing::QueryValue(target, "prefix"));
    } else if (path == "/v1/vms") {
      ++state->counts.reads;
      response = ListVms(*state);
    } else if (path == "/v1/watch") {
      response = co_await WatchObjects(state, target);
    }
  }
  co_await waxwing::Respond(exchange, response);
}

}  // namespace

tl::expected<platform, std::string> StartPlatform(
    asio::any_io_executor executor,
    const platform_options& options) {
  auto state = std::make_shared<platform_state>();
  state->executor = executor;
  state->options = options;
  state->random.seed(options.seed);
  std::weak_ptr<platform_state> weak = state;
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
  return platform{state, server->address};
}

void StopPlatform(platform& instance) {
  instance.state->stopped = true;
  waxwing::CloseServer(instance.state->server);
}

platform_faults& MutableFaults(platform& instance) {
  return instance.state->faults;
}

const platform_counts& GetCounts(const platform& instance) {
  return instance.state->counts;
}

std::string GetObjectValue(const platform& instance, const std::string& key) {
  const auto found = instance.state->objects.find(key);
  return found == instance.state->objects.end() ? std::string()
                                                : found->second.value;
}

void SetObjectValue(platform& instance,
                    const std::string& key,
                    const std::string& value) {
  RecordChange(*instance.state, key);
  instance.state->objects[key] = {value, instance.state->revision};
}

}  // namespace standin
