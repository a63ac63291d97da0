// The list of targets that the entry sends requests to, and their costs.

#include <algorithm>

#include "waxwing/entry_state.h"
#include "waxwing/hash.h"
#include "waxwing/log.h"

namespace waxwing {
namespace {

// Cost of a target in another zone: the network round trip.
constexpr milliseconds kOtherZoneCost{2};
// Prompt tokens per second that an engine prefills while it runs other
// requests: the rate in the engines' data sheet, less one step time per chunk.
constexpr double kEnginePrefillRate = 60'000;
// Cost of an unresponsive target.
constexpr milliseconds kUnresponsiveCost{5'000};
// Cost of a target that has asked another VM for a pause.
constexpr milliseconds kOthersPausedCost{200};
// Cost of a target that is about to load new weights.
constexpr milliseconds kLoadingCost{1'000};
// Rounds of loads whose targets get a higher cost: the one in progress and the
// next.
constexpr std::size_t kSteeredLoadRounds = 2;
// Cost of outdated weights, whose responses are worth less.
constexpr milliseconds kOutdatedWeightsCost{60};
// Requests to outdated weights end this long before their time limit, since a
// request may have to wait at the target.
constexpr milliseconds kWeightsMargin{1'500};
// Requests that have not started are withdrawn this long before the limit, so
// that the news of it reaches the target in time.
constexpr milliseconds kWithdrawalMargin{500};
// Time for the refusal of a target that observes the limit itself.
constexpr milliseconds kRefusalTime{250};
// Time until a target may have loaded the weights that it has just been found
// to lack.
constexpr milliseconds kAssumptionPause{1'000};
// How long a removed target is remembered, so that an older copy of its record
// does not bring it back. Stores return from copies some seconds old, and the
// records of targets that are gone expire within seconds.
constexpr seconds kRemovalMemory{30};
// A process that has just started must observe the limit on outdated weights
// once it has been in contact with the platform for `contact_time`. This margin
// is subtracted from that time.
constexpr milliseconds kContactMargin{500};

// Returns an index in the list that no request refers to any more, or a new
// one.
std::uint32_t FindFreeIndex(placement_state& placement) {
  for (std::uint32_t i = 0; i < placement.targets.size(); ++i) {
    target_view& view = placement.targets[i];
    if (!view.is_in_service && view.name.empty() && view.own_in_flight == 0)
      return i;
  }
  placement.targets.emplace_back();
  return static_cast<std::uint32_t>(placement.targets.size() - 1);
}

target_view MakeView(const entry_state& state, const target_record& record) {
  target_view view;
  view.name = record.id;
  view.name_hash = Hash64(record.id);
  view.serves = record.service;
  view.version = std::to_string(record.weights_version);
  view.build = record.build;
  view.boot_id = static_cast<std::uint64_t>(record.incarnation);
  view.zone = record.zone;
  view.address = record.address;
  view.is_in_service = !record.is_draining;
  view.slots = record.slots;
  const auto service = state.table->services.find(record.service);
  if (service != state.table->services.end() &&
      service->second.engine_slots > 0) {
    view.slots = service->second.engine_slots;
    view.prefill_tokens_per_second = kEnginePrefillRate;
    view.cache_capacity_tokens = service->second.engine_cache_tokens;
  }
  return view;
}

bool IsSameIncarnation(const target_record& a, const target_record& b) {
  return a.incarnation == b.incarnation && a.service == b.service &&
         a.address == b.address;
}

}  // namespace

void AddOrUpdateTarget(entry_state& state,
                       const target_record& record,
                       const change_source& source) {
  const auto found = state.targets.find(record.id);
  if (found != state.targets.end() &&
      IsSameIncarnation(found->second.record, record)) {
    listed_target& target = found->second;
    target_view& view = state.placement.targets[target.index];
    ApplyIdentity(view, view.boot_id,
                  std::to_string(std::max(target.record.weights_version,
                                          record.weights_version)));
    // A target that is leaving does not return to service, whatever an older
    // copy of its record says.
    const bool is_draining = record.is_draining || target.record.is_draining;
    view.is_in_service = !is_draining;
    view.build = record.build;
    if (record.is_draining && !target.record.is_draining)
      LogInfo("target_leaving", {{"target", record.id},
                                 {"source", source.name},
                                 {"late_ms", LatenessMs(source)},
                                 {"era", state.store_era}});
    if (record.weights_version != target.record.weights_version)
      LogInfo("target_weights",
              {{"target", record.id}, {"version", record.weights_version}});
    if (record.weights_version > target.record.weights_version)
      ClearFailures(view);
    // The record may lag behind the version that the target itself has
    // reported.
    const std::int64_t known_version = target.record.weights_version;
    target.reported_weights =
        std::max(target.reported_weights, record.weights_version);
    target.record = record;
    target.record.is_draining = is_draining;
    target.record.weights_version =
        std::max(known_version, record.weights_version);
    return;
  }
  if (found != state.targets.end())
    DropTarget(state, record.id, source);
  const std::uint32_t index = FindFreeIndex(state.placement);
  target_view& view = state.placement.targets[index];
  const std::uint32_t epoch = view.epoch;
  view = MakeView(state, record);
  view.epoch = epoch + 1;
  listed_target& added = state.targets[record.id];
  added = {record, index, record.weights_version};
  added.listed_at = SuspendAwareNow();
  state.removed_targets.erase(record.id);
  LogInfo("target_listed", {{"target", record.id},
                            {"service", record.service},
                            {"address", ToText(record.address)},
                            {"build", record.build},
                            {"incarnation", record.incarnation},
                            {"weights", record.weights_version},
                            {"leaving", record.is_draining},
                            {"source", source.name}});
}

namespace {

void SetWeights(entry_state& state,
                listed_target& target,
                std::int64_t version) {
  target_view& view = state.placement.targets[target.index];
  target.record.weights_version = version;
  ApplyIdentity(view, view.boot_id, std::to_string(version));
}

bool IsAssumed(const listed_target& target) {
  return target.record.weights_version > target.reported_weights;
}

// Assumes that a target has loaded `version`, which it has not reported.
void AssumeWeights(entry_state& state,
                   std::string_view id,
                   std::int64_t version) {
  LogInfo("target_weights_assumed", {{"target", id}, {"version", version}});
  SetWeights(state, state.targets.find(id)->second, version);
}

void DropAssumedWeights(entry_state& state,
                        std::string_view id,
                        listed_target& target) {
  LogInfo("target_weights_assumption_dropped",
          {{"target", id},
           {"assumed", target.record.weights_version},
           {"version", target.reported_weights}});
  SetWeights(state, target, target.reported_weights);
}

}  // namespace

void RecordTargetWeights(entry_state& state,
                         std::string_view id,
                         std::int64_t version) {
  const auto found = state.targets.find(id);
  if (found == state.targets.end())
    return;
  listed_target& target = found->second;
  const bool is_refuted =
      IsAssumed(target) && version < target.record.weights_version;
  if (version <= target.reported_weights && !is_refuted)
    return;
  LogInfo("target_weights_reported", {{"target", id}, {"version", version}});
  target.reported_weights = std::max(target.reported_weights, version);
  const instant now = std::chrono::steady_clock::now();
  if (is_refuted) {
    DropAssumedWeights(state, id, target);
    target.next_assumption_at = now + kAssumptionPause;
  }
  target_record updated = target.record;
  updated.weights_version = std::max(updated.weights_version, version);
  AddOrUpdateTarget(state, updated, {"target", {}});
  RefreshTargets(state, now);
}

void DropTarget(entry_state& state,
                const std::string& id,
                const change_source& source) {
  const auto found = state.targets.find(id);
  if (found == state.targets.end())
    return;
  target_view& view = state.placement.targets[found->second.index];
  view.is_in_service = false;
  view.name.clear();
  ++view.epoch;
  LogInfo("target_gone", {{"target", id},
                          {"source", source.name},
                          {"late_ms", LatenessMs(source)},
                          {"era", state.store_era}});
  state.removed_targets[id] = {found->second.record.incarnation,
                               std::chrono::steady_clock::now()};
  state.permit_buckets.erase(id);
  state.targets.erase(found);
}

namespace {

staleness_bounds StalenessBounds(const entry_state& state) {
  return {state.options.bounds.outdated_weights_limit,
          state.options.bounds.contact_time, state.started};
}

}  // namespace

std::optional<duration> TimeToStart(const entry_state& state,
                                    std::string_view model,
                                    std::int64_t weights_version) {
  const auto history = state.desired_weights.find(model);
  if (history == state.desired_weights.end())
    return std::nullopt;
  const auto limit =
      StalenessLimit(history->second, weights_version, StalenessBounds(state));
  if (!limit)
    return std::nullopt;
  return *limit - kWithdrawalMargin - SuspendAwareNow();
}

void WithdrawLateStarts(entry_state& state) {
  const instant now = std::chrono::steady_clock::now();
  for (pending_start* pending : state.pending_starts) {
    const auto left =
        TimeToStart(state, pending->model, pending->weights_version);
    const duration refusal_time =
        pending->has_target_deadline ? kRefusalTime : milliseconds(0);
    if (pending->is_withdrawn || !left || *left + refusal_time > duration{})
      continue;
    pending->is_withdrawn = true;
    Count(state.stats, "waxwing_withdrawn_total");
    LogInfo("request_withdrawn", {{"request", pending->request_id},
                                  {"target", pending->target},
                                  {"weights", pending->weights_version},
                                  {"sent_ms", ToMs(now - pending->sent_at)}});
    Abort(*pending->abort);
  }
}

bool IsEarlierStart(const entry_state& state, const target_record& record) {
  const auto found = state.targets.find(record.id);
  return found != state.targets.end() &&
         record.incarnation < found->second.record.incarnation;
}

bool WasRemoved(const entry_state& state, const target_record& record) {
  const auto found = state.removed_targets.find(record.id);
  return found != state.removed_targets.end() &&
         found->second.incarnation == record.incarnation;
}

namespace {

// True if the target is a model engine whose record states no weights version.
bool LacksWeights(const entry_state& state, const target_record& record) {
  const auto service = state.table->services.find(record.service);
  return service != state.table->services.end() &&
         !service->second.model.empty() && record.weights_version == 0;
}

// Forgets targets that were removed long ago. If the store still lists one, it
// is alive: the record of a target that is gone expires sooner.
void ForgetRemovals(entry_state& state, instant now) {
  std::vector<std::string> listed_ids;
  std::erase_if(state.removed_targets, [&](const auto& entry) {
    if (now <= entry.second.removed_at + kRemovalMemory)
      return false;
    if (state.outdated_records.erase(entry.first) > 0)
      listed_ids.push_back(entry.first);
    return true;
  });
  for (const std::string& id : listed_ids) {
    const auto known = state.objects[object_kind::kTargets].find(id);
    if (known != state.objects[object_kind::kTargets].end())
      ApplyObject(state, object_kind::kTargets, stored_object(known->second),
                  false, {"list", {}});
  }
}

}  // namespace

void RefreshTargets(entry_state& state, instant now) {
  std::vector<std::string> expired_ids;
  const bool is_store_unavailable =
      state.watches[object_kind::kTargets].unavailable_since.has_value();
  // By model, in the order of the map of targets.
  std::map<std::string, std::vector<rollout_target>> models;
  std::map<std::string, std::vector<target_view*>> views;
  for (auto& [id, target] : state.targets) {
    if (target.drop_at && now >= *target.drop_at)
      expired_ids.push_back(id);
    if (IsAssumed(target) && !is_store_unavailable)
      DropAssumedWeights(state, id, target);
    target_view& view = state.placement.targets[target.index];
    view.added_cost =
        view.zone == state.options.zone ? duration{} : kOtherZoneCost;
    view.is_load_pending = false;
    // No version can be expected of an engine that states none, so it might run
    // a request on any weights.
    view.has_outdated_weights = LacksWeights(state, target.record);
    if (IsUnresponsive(view, now))
      view.added_cost += kUnresponsiveCost;
    if (now < view.others_paused_until)
      view.added_cost += kOthersPausedCost;
    if (target.record.model.empty() || target.record.is_draining)
      continue;
    models[target.record.model].push_back(
        {view.name_hash, target.record.weights_version});
    views[target.record.model].push_back(&view);
  }
  const instant weights_now = SuspendAwareNow();
  std::vector<std::pair<std::string, std::int64_t>> assumed_weights;
  for (const auto& [model, list] : models) {
    const auto desired = state.desired_weights.find(model);
    if (desired == state.desired_weights.end())
      continue;
    const std::int64_t desired_version = DesiredVersion(desired->second);
    staleness_bounds bounds = StalenessBounds(state);
    bounds.after_announcement -= kWeightsMargin;
    bounds.after_start -= kContactMargin;
    for (std::size_t i = 0; i < list.size(); ++i) {
      const bool is_past_limit =
          IsTooStale(desired->second, list[i].version, bounds, weights_now);
      views[model][i]->has_outdated_weights = is_past_limit;
      // Without the store, completed loads are not reported. The target itself
      // refuses a request if the assumption is wrong.
      if (is_past_limit && is_store_unavailable &&
          now >= state.targets.at(views[model][i]->name).next_assumption_at)
        assumed_weights.emplace_back(views[model][i]->name, desired_version);
      if (list[i].version < desired_version)
        views[model][i]->added_cost += kOutdatedWeightsCost;
    }
    for (const std::size_t i :
         ChooseTargetsToLoad(list, desired_version, kSteeredLoadRounds)) {
      views[model][i]->added_cost += kLoadingCost;
      views[model][i]->is_load_pending = true;
    }
  }
  for (const auto& [id, version] : assumed_weights)
    AssumeWeights(state, id, version);
  for (const std::string& id : expired_ids)
    DropTarget(state, id, {"outage", {}});
  ForgetRemovals(state, now);
  // The assumed versions change the costs.
  if (!assumed_weights.empty())
    RefreshTargets(state, now);
  ObserveTargetBuilds(state);
  if (SharesLoad(state))
    UpdateMeanLoads(state.placement.targets);
}

}  // namespace waxwing
