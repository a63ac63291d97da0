// Directory responses: which VMs the callers of a zone should use.

#include <algorithm>
#include <boost/asio.hpp>
#include <set>

#include "waxwing/agent_state.h"
#include "waxwing/entry_state.h"
#include "waxwing/log.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

// TTL of a directory response: long enough to keep the cost of lookups low,
// short enough that three TTLs fit into a graceful shutdown.
constexpr milliseconds kDirectoryTtl{1'000};
constexpr std::size_t kMaxAddresses = 64;
// Weight of the last interval in the moving average of this VM's request rate.
constexpr double kRateSmoothing = 0.3;

struct leaving_member {
  const member* data = nullptr;
  instant since;
};

// Returns the VMs that accept callers. If all are leaving, returns the one that
// started to leave last, since it will stay the longest.
std::vector<const member*> FindServing(const entry_state& state) {
  std::vector<const member*> serving;
  leaving_member last_leaving;
  for (const auto& [vm, record] :
       state.membership_agent.state->members.members) {
    const bool is_self = vm == state.options.vm;
    if (record.data.status == member_status::kAlive &&
        (!is_self || CanServe(state)))
      serving.push_back(&record.data);
    if (record.data.status == member_status::kLeaving &&
        (!last_leaving.data || record.status_since > last_leaving.since))
      last_leaving = {&record.data, record.status_since};
  }
  if (serving.empty() && last_leaving.data)
    serving.push_back(last_leaving.data);
  return serving;
}

// Returns the VMs to list for callers of a zone: some of that zone, or of all
// zones if it has none. The request rate is only known of this VM's own zone;
// the others are assumed to have the same.
std::vector<const member*> ChooseForZone(const entry_state& state,
                                         std::string_view zone) {
  const std::vector<const member*> serving = FindServing(state);
  std::vector<const member*> near;
  std::copy_if(serving.begin(), serving.end(), std::back_inserter(near),
               [&](const member* vm) { return vm->zone == zone; });
  return ChooseListedVms(near.empty() ? serving : near,
                         state.caller_load.requests_per_second);
}

std::size_t CountListed(const entry_state& state) {
  std::set<std::string_view> zones;
  for (const auto& [vm, record] :
       state.membership_agent.state->members.members) {
    if (record.data.status == member_status::kAlive)
      zones.insert(record.data.zone);
  }
  std::size_t out = 0;
  for (const std::string_view zone : zones)
    out += ChooseForZone(state, zone).size();
  return std::max<std::size_t>(1, out);
}

std::vector<endpoint> ChooseAddresses(const entry_state& state,
                                      std::string_view zone) {
  std::vector<endpoint> out;
  for (const member* vm : ChooseForZone(state, zone)) {
    if (out.size() < kMaxAddresses)
      out.push_back(vm->router);
  }
  // No VM is known to serve; list this one rather than none.
  if (out.empty())
    out.push_back(state.options.callers);
  return out;
}

void UpdateOwnRate(zone_load& load, instant now) {
  const double elapsed = ToSeconds(now - load.updated);
  if (load.updated != instant{} && elapsed > 0) {
    const double rate =
        static_cast<double>(load.requests - load.requests_at_update) / elapsed;
    load.own_rate += kRateSmoothing * (rate - load.own_rate);
  }
  load.requests_at_update = load.requests;
  load.updated = now;
}

// Returns the request rate of the zone as far as this VM knows it: a zone
// watcher has it from its subscribers, another VM from the watchers.
std::optional<double> FindZoneRate(entry_state& state, instant now) {
  if (IsZoneWatcher(state)) {
    double sum = state.caller_load.own_rate;
    for (const auto& [vm, subscriber] : state.subscribers)
      sum += subscriber.requests_per_second;
    UpdatePeakRate(state.caller_load.peak, sum, now);
    return state.caller_load.peak.requests_per_second;
  }
  std::optional<double> out;
  for (const auto& [vm, upstream] : state.upstreams) {
    if (!upstream.is_outside && now < upstream.last_contact + kWatcherTimeout &&
        upstream.zone_requests_per_second)
      out = std::max(out.value_or(0), *upstream.zone_requests_per_second);
  }
  return out;
}

}  // namespace

void UpdateListedVms(entry_state& state, instant now) {
  zone_load& load = state.caller_load;
  UpdateOwnRate(load, now);
  load.requests_per_second = FindZoneRate(state, now);
  std::vector<std::string> listed;
  for (const member* vm : ChooseForZone(state, state.options.zone))
    listed.push_back(vm->vm);
  load.total_listed = CountListed(state);
  state.cache_subscribers = MakeCacheSubscriberPool(
      state.membership_agent.state->members, state.options.zone, listed);
  if (listed == load.listed_vms)
    return;
  LogInfo("listed_vms_changed",
          {{"vms", listed.size()},
           {"before", load.listed_vms.size()},
           {"requests_per_s", load.requests_per_second.value_or(-1)}});
  load.listed_vms = std::move(listed);
}

milliseconds DirectoryTtl(const entry_state& state) {
  return std::min(kDirectoryTtl, state.options.bounds.max_directory_ttl);
}

asio::awaitable<void> HandleDirectory(entry_ptr state,
                                      http_exchange& exchange) {
  if (state->protocol.classify_request(exchange.request) !=
      caller_request_kind::kDirectory) {
    http_response response =
        JsonResponse(404, R"({"error":"there is nothing at this path"})");
    co_await Respond(exchange, std::move(response));
    co_return;
  }
  const directory_query query =
      state->protocol.read_directory_query(exchange.request);
  const directory_response directory{
      ChooseAddresses(*state, query.zone), DirectoryTtl(*state), {}};
  http_response response = state->protocol.write_directory_response(directory);
  Count(state->stats, "waxwing_directory_answers_total");
  co_await Respond(exchange, std::move(response));
}

}  // namespace waxwing
