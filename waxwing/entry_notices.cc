// What targets say about themselves in their responses: that they are leaving,
// that they want no requests for some time, or how many requests they take.
//
// A departure holds until the target's incarnation changes, whatever the store
// says. It is passed on once; heartbeats show who has missed it. A pause binds
// this VM alone; to others it is a sign of load. A rate binds all VMs together
// (entry_permits.cc).

#include <utility>

#include "waxwing/agent_state.h"
#include "waxwing/entry_state.h"
#include "waxwing/hash.h"
#include "waxwing/log.h"

namespace waxwing {
namespace {

// Sends a notice on all links except the one to VM `except`.
void SendNotice(const entry_state& state,
                const wire::target_noticeT& notice,
                std::string_view except) {
  wire::frameT frame;
  frame.message.Set(wire::target_noticeT(notice));
  for (const auto& [vm, link] : state.membership_agent.state->links) {
    if (vm != except && IsOpen(link.connection))
      SendFrame(link.connection, frame);
  }
}

wire::target_noticeT MakeDepartureNotice(const listed_target& target) {
  wire::target_noticeT notice;
  notice.target = target.record.id;
  notice.incarnation = target.record.incarnation;
  notice.is_leaving = true;
  return notice;
}

// Takes the target out of service and passes the news on. Has no effect if its
// departure is known.
void RecordLeaving(entry_state& state,
                   listed_target& target,
                   std::string_view peer,
                   std::string_view request_id) {
  target.has_stated_departure = true;
  if (target.record.is_draining)
    return;
  target.record.is_draining = true;
  state.placement.targets[target.index].is_in_service = false;
  Count(state.stats, "waxwing_targets_leaving_total");
  const auto age = KnowledgeAge(state, object_kind::kTargets);
  LogInfo("target_leaving", {{"target", target.record.id},
                             {"source", peer.empty() ? "target" : peer},
                             {"request", request_id},
                             {"age_ms", age ? ToMs(*age) : -1},
                             {"era", state.store_era}});
  SendNotice(state, MakeDepartureNotice(target), peer);
}

void RecordTargetPause(entry_state& state,
                       listed_target& target,
                       std::string_view request_id,
                       milliseconds pause) {
  const instant now = std::chrono::steady_clock::now();
  RecordPause(state.placement.targets[target.index], pause, now);
  Observe(state.stats, "waxwing_target_pause_seconds", pause);
  LogInfo("target_paused", {{"target", target.record.id},
                            {"request", request_id},
                            {"pause_ms", pause.count()}});
  wire::target_noticeT notice;
  notice.target = target.record.id;
  notice.incarnation = target.record.incarnation;
  notice.pause_ms = static_cast<std::uint32_t>(pause.count());
  SendNotice(state, notice, "");
}

wire::target_noticeT MakeRateNotice(const listed_target& target,
                                    const stated_rate& rate) {
  wire::target_noticeT notice;
  notice.target = target.record.id;
  notice.incarnation = target.record.incarnation;
  notice.rate = rate.per_second.value_or(-1);
  notice.rate_sequence = rate.sequence;
  return notice;
}

void AnnounceRate(entry_state& state,
                  const listed_target& target,
                  std::string_view request_id,
                  std::string_view peer) {
  const stated_rate& rate = state.placement.targets[target.index].rate;
  Count(state.stats, "waxwing_target_rates_total");
  LogInfo("target_rate_stated", {{"target", target.record.id},
                                 {"request", request_id},
                                 {"peer", peer},
                                 {"per_second", rate.per_second.value_or(-1)}});
  SendNotice(state, MakeRateNotice(target, rate), peer);
}

}  // namespace

void LearnRate(entry_state& state,
               const listed_target& target,
               std::string_view peer,
               const stated_rate& rate) {
  if (MergeStatement(state.placement.targets[target.index].rate, rate,
                     std::chrono::steady_clock::now()))
    AnnounceRate(state, target, "", peer);
}

void SendKnownNotices(const entry_state& state, const peer_link& link) {
  for (const auto& [id, target] : state.targets) {
    const stated_rate& rate = state.placement.targets[target.index].rate;
    if (rate.per_second)
      SendMessage(link, MakeRateNotice(target, rate));
  }
  SendKnownDepartures(state, link);
}

std::uint64_t DeparturesHash(const entry_state& state) {
  std::uint64_t hash = 0;
  for (const auto& [id, target] : state.targets) {
    if (target.has_stated_departure)
      hash ^= Hash64(id, static_cast<std::uint64_t>(target.record.incarnation));
  }
  return hash;
}

void SendKnownDepartures(const entry_state& state, const peer_link& link) {
  for (const auto& [id, target] : state.targets) {
    if (target.has_stated_departure)
      SendMessage(link, MakeDepartureNotice(target));
  }
}

void ObserveResponse(entry_state& state,
                     std::string_view target,
                     std::string_view request_id,
                     const response_info& facts) {
  const auto found = state.targets.find(target);
  const bool is_other = !facts.target.empty() && facts.target != target;
  if (found == state.targets.end() || is_other)
    return;
  if (facts.is_leaving)
    RecordLeaving(state, found->second, "", request_id);
  if (facts.pause > milliseconds(0))
    RecordTargetPause(state, found->second, request_id, facts.pause);
}

void ObserveStatedRate(entry_state& state,
                       std::string_view target,
                       std::string_view request_id,
                       const response_info& facts,
                       instant sent) {
  const auto found = state.targets.find(target);
  const bool is_other = !facts.target.empty() && facts.target != target;
  // Without the target's own marks, a response is no evidence that the rate has
  // ended.
  const bool has_marks = facts.has_server_stamp || facts.target == target;
  if (found == state.targets.end() || is_other ||
      (!facts.rate_limit && !has_marks))
    return;
  target_view& view = state.placement.targets[found->second.index];
  if (facts.has_invalid_rate_limit) {
    if (!std::exchange(view.has_stated_invalid_rate, true))
      LogWarning("target_rate_invalid",
                 {{"target", target}, {"request", request_id}});
    return;
  }
  if (RecordStatement(view.rate, facts.rate_limit, sent,
                      std::chrono::steady_clock::now()))
    AnnounceRate(state, found->second, request_id, "");
}

void HandleTargetNotice(entry_state& state,
                        std::string_view peer,
                        const wire::target_noticeT& notice) {
  const auto found = state.targets.find(notice.target);
  if (found == state.targets.end() ||
      found->second.record.incarnation != notice.incarnation)
    return;
  if (notice.is_leaving)
    RecordLeaving(state, found->second, peer, "");
  LearnRate(state, found->second, peer,
            {ReadPeerRate(notice.rate), notice.rate_sequence, {}});
  target_view& view = state.placement.targets[found->second.index];
  view.others_paused_until =
      std::max(view.others_paused_until, std::chrono::steady_clock::now() +
                                             milliseconds(notice.pause_ms));
}

}  // namespace waxwing
