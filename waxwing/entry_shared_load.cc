// Tells the other VMs of the zone what this one has outstanding at targets, and
// applies what they tell (shared_load.h).

#include <algorithm>
#include <boost/asio.hpp>
#include <limits>

#include "waxwing/agent_state.h"
#include "waxwing/entry_state.h"
#include "waxwing/log.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

// Period in which is checked whether load is to be shared, while it is not.
constexpr milliseconds kIdlePeriod{500};
// Time between two attempts to connect to a VM of the zone.
constexpr milliseconds kDialPeriod{1'000};
constexpr double kHundredths = 100;

using small_int = std::uint16_t;
constexpr small_int kLargest = std::numeric_limits<small_int>::max();

small_int ToSmall(double value) {
  return static_cast<small_int>(std::clamp<double>(value, 0, kLargest - 1));
}

wire::target_work ToWire(const told_target& entry, instant now) {
  const target_load_report& report = entry.report;
  const bool has_report = report.in_flight >= 0;
  return {entry.name_hash,
          static_cast<std::uint32_t>(entry.work.prefill_tokens),
          static_cast<std::uint32_t>(entry.work.cache_tokens),
          ToSmall(entry.work.in_flight),
          ToSmall(entry.work.waiting),
          has_report ? ToSmall(report.in_flight) : kLargest,
          ToSmall(report.waiting),
          has_report ? ToSmall(static_cast<double>(ToMs(now - report.time)))
                     : kLargest,
          ToSmall(report.slowdown * kHundredths)};
}

told_target FromWire(const wire::target_work& work, instant now) {
  told_target out;
  out.name_hash = work.target();
  out.work = {work.in_flight(), work.waiting(),
              static_cast<double>(work.prefill_tokens()),
              static_cast<double>(work.cache_tokens())};
  if (work.reported_in_flight() != kLargest)
    out.report = {work.reported_in_flight(), work.reported_waiting(),
                  work.slowdown() / kHundredths,
                  now - milliseconds(work.report_age_ms())};
  return out;
}

// Sends a batch to the listed VMs of the zone, and dials those without a link.
void SendBatch(const entry_ptr& state,
               const load_batch& batch,
               std::map<std::string, instant>& dialled,
               instant now) {
  wire::load_noticeT notice;
  notice.sequence = batch.sequence;
  notice.is_whole = batch.is_whole;
  for (const told_target& entry : batch.targets)
    notice.works.push_back(ToWire(entry, now));
  wire::frameT frame;
  frame.message.Set(std::move(notice));
  const agent_ptr& agent = state->membership_agent.state;
  for (const std::string& vm : state->caller_load.listed_vms) {
    if (vm == state->options.vm)
      continue;
    const auto link = agent->links.find(vm);
    if (link != agent->links.end() && IsOpen(link->second.connection)) {
      SendFrame(link->second.connection, frame);
      Count(state->stats, "waxwing_load_batches_sent_total");
    } else if (now >= dialled[vm] + kDialPeriod) {
      dialled[vm] = now;
      asio::co_spawn(state->executor, EnsureLink(agent, vm), asio::detached);
    }
  }
}

}  // namespace

bool SharesLoad(const entry_state& state) {
  return state.states_slowdown || !state.table->limits_by_account.empty();
}

asio::awaitable<void> RunLoadSharing(entry_ptr state) {
  std::map<std::string, instant> dialled;
  // Larger than any number of an earlier run.
  state->zone_load_told.sequence = static_cast<std::uint64_t>(UnixNow());
  while (!IsStopping(state->root)) {
    if (!SharesLoad(*state)) {
      co_await Pause(state->root, kIdlePeriod);
      continue;
    }
    co_await Pause(state->root, kLoadBatchInterval);
    const instant now = std::chrono::steady_clock::now();
    auto& targets = state->placement.targets;
    AgeSharedLoad(state->zone_load_told, targets, now);
    const load_batch batch = CollectBatch(state->zone_load_told, targets, now);
    if (batch.sequence != 0)
      SendBatch(state, batch, dialled, now);
  }
}

void HandleLoadNotice(entry_state& state,
                      std::string_view peer,
                      const wire::load_noticeT& notice) {
  const instant now = std::chrono::steady_clock::now();
  load_batch batch;
  batch.sequence = notice.sequence;
  batch.is_whole = notice.is_whole;
  for (const wire::target_work& work : notice.works)
    batch.targets.push_back(FromWire(work, now));
  if (!ApplyBatch(state.zone_load_told, peer, batch, state.placement.targets,
                  now))
    Count(state.stats, "waxwing_load_batches_skipped_total");
}

}  // namespace waxwing
