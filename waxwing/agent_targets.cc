// Reports of model workers. Each target is polled by one agent, chosen by
// rendezvous hashing in the target's zone, which publishes the report to the
// other VMs as a digest of a few dozen bytes. Cache events are not published:
// routers learn what is cached from the responses (see placement.h) and need
// only the engine's boot id and weights version.

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "waxwing/agent_state.h"
#include "waxwing/json.h"
#include "waxwing/log.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

// An unchanged digest is published again after this time.
constexpr milliseconds kRefreshInterval{5'000};
constexpr milliseconds kReportTimeout{400};
constexpr std::int64_t kMaxSlots = 100'000;

bool IsAssigned(const agent_state& state, const target_config& target) {
  return target.kind == target_kind::kModelWorker && !target.leaving &&
         ChooseVmForTask(state.members, "report/" + target.name, target.zone) ==
             state.options.vm;
}

// Returns true if a digest has changed enough to be published before its
// refresh.
bool DiffersSignificantly(const wire::target_digestT& a,
                          const wire::target_digestT& b) {
  if (a.boot_id != b.boot_id || a.version != b.version ||
      a.reachable != b.reachable || a.leaving != b.leaving ||
      a.slots != b.slots)
    return true;
  const auto difference = a.in_flight > b.in_flight ? a.in_flight - b.in_flight
                                                    : b.in_flight - a.in_flight;
  // Smaller changes than a quarter of the slots are not worth a message.
  return difference * 4 > a.slots;
}

bool ReadReport(std::string_view body,
                wire::target_digestT& digest,
                std::string& role) {
  const auto report = ParseObject(body);
  if (!report)
    return false;
  const auto boot = ReadString(*report, "boot_id");
  const auto version = ReadString(*report, "version");
  const auto slots = ReadInteger(*report, "slots", 1, kMaxSlots);
  const auto in_flight = ReadInteger(*report, "in_flight", 0, kMaxSlots);
  const auto waiting = ReadIntegerOr(*report, "waiting", 0, kMaxSlots, 0);
  if (!boot || !version || !slots || !in_flight || !waiting)
    return false;
  digest.boot_id = std::strtoull(boot->c_str(), nullptr, 10);
  digest.version = *version;
  digest.slots = static_cast<std::uint32_t>(*slots);
  digest.in_flight = static_cast<std::uint32_t>(*in_flight + *waiting);
  digest.prefill_tokens_per_second =
      ReadNumberOr(*report, "prefill_tokens_per_second", 0, 1e9, 0).value_or(0);
  digest.reachable = true;
  role = ReadStringOr(*report, "role", "").value_or("");
  return true;
}

asio::awaitable<void> PollTarget(agent_ptr state, target_config target) {
  http_request request;
  request.target = "/v1/report?limit=0";
  const http_call_options options{kReportTimeout, true};
  auto response = co_await Fetch(state->pool, target.address, request, options);
  known_target& known = state->targets[target.name];
  known.digest.name = target.name;
  if (!response || !ReadReport(response->body, known.digest, known.role))
    known.digest.reachable = false;
  known.updated_at = std::chrono::steady_clock::now();
}

// Returns the digests of this agent's targets that changed significantly or are
// due for a refresh, and marks them as published.
wire::target_digestsT CollectDueDigests(agent_state& state) {
  const instant now = std::chrono::steady_clock::now();
  wire::target_digestsT out;
  for (auto& [name, known] : state.targets) {
    const auto target = state.active_config.targets.find(name);
    if (target == state.active_config.targets.end() ||
        !IsAssigned(state, target->second) || known.updated_at == instant{})
      continue;
    const bool changed =
        !known.last_published ||
        DiffersSignificantly(known.digest, *known.last_published);
    if (!changed && now - known.published_at < kRefreshInterval)
      continue;
    known.last_published = known.digest;
    known.published_at = now;
    out.targets.push_back(std::make_unique<wire::target_digestT>(known.digest));
  }
  return out;
}

asio::awaitable<void> SendToVm(agent_ptr state,
                               std::string vm,
                               wire::frameT frame) {
  const auto link = co_await EnsureLink(state, vm);
  if (link)
    SendFrame(*link, frame);
}

void PublishDigests(const agent_ptr& state, const wire::target_digestsT& due) {
  wire::frameT frame;
  frame.message.Set(wire::target_digestsT(due));
  SendFrame(state->router, frame);
  for (const auto& [vm, record] : state->members.members) {
    if (vm == state->options.vm || !IsPresent(record.data))
      continue;
    asio::co_spawn(state->executor, SendToVm(state, vm, frame), asio::detached);
  }
}

}  // namespace

asio::awaitable<void> PollTargets(agent_ptr state) {
  while (co_await Pause(state->root, state->options.report_period)) {
    for (const auto& [name, target] : state->active_config.targets) {
      if (IsAssigned(*state, target))
        asio::co_spawn(state->executor, PollTarget(state, target),
                       asio::detached);
    }
    const wire::target_digestsT due = CollectDueDigests(*state);
    if (!due.targets.empty())
      PublishDigests(state, due);
    std::erase_if(state->targets, [&](const auto& entry) {
      return !state->active_config.targets.contains(entry.first);
    });
  }
}

void ApplyDigests(agent_state& state, const wire::target_digestsT& digests) {
  const instant now = std::chrono::steady_clock::now();
  for (const auto& digest : digests.targets) {
    if (!state.active_config.targets.contains(digest->name))
      continue;
    known_target& known = state.targets[digest->name];
    known.digest = *digest;
    known.updated_at = now;
  }
  SendMessage(state.router, wire::target_digestsT(digests));
}

wire::target_digestsT AllDigests(const agent_state& state) {
  wire::target_digestsT out;
  for (const auto& [name, known] : state.targets) {
    if (known.updated_at != instant{})
      out.targets.push_back(
          std::make_unique<wire::target_digestT>(known.digest));
  }
  return out;
}

}  // namespace waxwing
