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

// Lists the models of the record; those that stay keep their costs.
void UpdateModels(target_view& view, const target_record& record) {
  std::vector<served_model> models;
  for (const model_weights& served : record.models) {
    const auto known = std::find_if(
        view.models.begin(), view.models.end(),
        [&](const served_model& other) { return other.name == served.model; });
    models.push_back(known == view.models.end() ? served_model{served.model}
                                                : *known);
    models.back().version = std::to_string(served.version);
  }
  view.models = std::move(models);
}

// Applies the versions of a record, of which any may have changed.
void ApplyWeights(target_view& view, const target_record& record) {
  UpdateModels(view, record);
  ApplyIdentity(view, view.boot_id, ToText(record.models));
}

// Returns the models of a target's next record. It may lag behind the versions
// that the target itself has stated.
std::vector<model_weights> MergeModels(const target_record& known,
                                       const target_record& next) {
  std::vector<model_weights> out = next.models;
  for (model_weights& served : out) {
    if (const model_weights* before = FindModel(known.models, served.model))
      served.version = std::max(served.version, before->version);
  }
  return out;
}

target_view MakeView(const entry_state& state, const target_record& record) {
  target_view view;
  view.name = record.id;
  view.name_hash = Hash64(record.id);
  view.serves = record.service;
  view.version = ToText(record.models);
  UpdateModels(view, record);
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

void RecordReportedWeights(listed_target& target, const target_record& record) {
  std::erase_if(target.reported_weights, [&](const auto& entry) {
    return !FindModel(record.models, entry.first);
  });
  for (const model_weights& served : record.models) {
    std::int64_t& reported = target.reported_weights[served.model];
    reported = std::max(reported, served.version);
  }
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
    const std::vector<model_weights> models =
        MergeModels(target.record, record);
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
    if (record.models != target.record.models)
      LogInfo("target_weights",
              {{"target", record.id}, {"weights", ToText(record.models)}});
    if (models != target.record.models)
      ClearFailures(view);
    RecordReportedWeights(target, record);
    target.record = record;
    target.record.is_draining = is_draining;
    target.record.models = models;
    ApplyWeights(view, target.record);
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
  added = {record, index};
  RecordReportedWeights(added, record);
  added.listed_at = SuspendAwareNow();
  state.removed_targets.erase(record.id);
  LogInfo("target_listed", {{"target", record.id},
                            {"service", record.service},
                            {"address", ToText(record.address)},
                            {"build", record.build},
                            {"incarnation", record.incarnation},
                            {"weights", ToText(record.models)},
                            {"leaving", record.is_draining},
                            {"source", source.name}});
}

namespace {

void SetWeights(entry_state& state,
                listed_target& target,
                std::string_view model,
                std::int64_t version) {
  for (model_weights& served : target.record.models) {
    if (served.model == model)
      served.version = version;
  }
  ApplyWeights(state.placement.targets[target.index], target.record);
}

std::int64_t ReportedWeights(const listed_target& target,
                             std::string_view model) {
  const auto found = target.reported_weights.find(model);
  return found == target.reported_weights.end() ? 0 : found->second;
}

bool IsAssumed(const listed_target& target, const model_weights& served) {
  return served.version > ReportedWeights(target, served.model);
}

// Assumes that a target has loaded a version, which it has not reported.
void AssumeWeights(entry_state& state,
                   std::string_view id,
                   const model_weights& weights) {
  LogInfo(
      "target_weights_assumed",
      {{"target", id}, {"model", weights.model}, {"version", weights.version}});
  SetWeights(state, state.targets.find(id)->second, weights.model,
             weights.version);
}

void DropAssumedWeights(entry_state& state,
                        std::string_view id,
                        listed_target& target,
                        const model_weights& assumed) {
  const std::int64_t reported = ReportedWeights(target, assumed.model);
  LogInfo("target_weights_assumption_dropped", {{"target", id},
                                                {"model", assumed.model},
                                                {"assumed", assumed.version},
                                                {"version", reported}});
  SetWeights(state, target, assumed.model, reported);
}

}  // namespace

void RecordTargetWeights(entry_state& state,
                         std::string_view id,
                         std::string_view requested,
                         std::int64_t version) {
  const auto found = state.targets.find(id);
  if (found == state.targets.end())
    return;
  listed_target& target = found->second;
  const model_weights* listed =
      FindRequestedModel(target.record.models, requested);
  if (!listed)
    return;
  const model_weights served = *listed;
  const bool is_refuted = IsAssumed(target, served) && version < served.version;
  std::int64_t& reported = target.reported_weights[served.model];
  if (version <= reported && !is_refuted)
    return;
  LogInfo("target_weights_reported",
          {{"target", id}, {"model", served.model}, {"version", version}});
  reported = std::max(reported, version);
  const instant now = std::chrono::steady_clock::now();
  if (is_refuted) {
    DropAssumedWeights(state, id, target, served);
    target.next_assumption_at[served.model] = now + kAssumptionPause;
  } else if (version > served.version) {
    ClearFailures(state.placement.targets[target.index]);
    SetWeights(state, target, served.model, version);
  }
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

// True if the target is a model engine whose record states no weights.
bool LacksWeights(const entry_state& state, const target_record& record) {
  const auto service = state.table->services.find(record.service);
  return service != state.table->services.end() && service->second.has_models &&
         record.models.empty();
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

// The targets that serve a model, in three lists of the same order.
struct model_targets {
  std::vector<rollout_target> list;
  std::vector<std::string_view> ids;
  std::vector<served_model*> views;
};

void DropAllAssumedWeights(entry_state& state,
                           std::string_view id,
                           listed_target& target) {
  const std::vector<model_weights> models = target.record.models;
  for (const model_weights& served : models) {
    if (IsAssumed(target, served))
      DropAssumedWeights(state, id, target, served);
  }
}

bool MayAssumeWeights(const listed_target& target,
                      std::string_view model,
                      instant now) {
  const auto found = target.next_assumption_at.find(model);
  return found == target.next_assumption_at.end() || now >= found->second;
}

// Sets whether the target is of no use to any request.
void MarkWhollyOutdated(target_view& view) {
  if (!view.models.empty())
    view.has_outdated_weights = std::all_of(
        view.models.begin(), view.models.end(),
        [](const served_model& served) { return served.has_outdated_weights; });
}

}  // namespace

void RefreshTargets(entry_state& state, instant now) {
  std::vector<std::string> expired_ids;
  const bool is_store_unavailable =
      state.watches[object_kind::kTargets].unavailable_since.has_value();
  // By model, in the order of the map of targets.
  std::map<std::string, model_targets> models;
  for (auto& [id, target] : state.targets) {
    if (target.drop_at && now >= *target.drop_at)
      expired_ids.push_back(id);
    if (!is_store_unavailable)
      DropAllAssumedWeights(state, id, target);
    target_view& view = state.placement.targets[target.index];
    view.added_cost =
        view.zone == state.options.zone ? duration{} : kOtherZoneCost;
    for (served_model& served : view.models)
      served = {served.name, served.version};
    // No version can be expected of an engine that states none, so it might run
    // a request on any weights.
    view.has_outdated_weights = LacksWeights(state, target.record);
    if (IsUnresponsive(view, now))
      view.added_cost += kUnresponsiveCost;
    if (now < view.others_paused_until)
      view.added_cost += kOthersPausedCost;
    if (target.record.is_draining)
      continue;
    for (std::size_t i = 0; i < view.models.size(); ++i) {
      model_targets& served = models[view.models[i].name];
      served.list.push_back({view.name_hash, target.record.models[i].version});
      served.ids.push_back(id);
      served.views.push_back(&view.models[i]);
    }
  }
  const instant weights_now = SuspendAwareNow();
  std::vector<std::pair<std::string, model_weights>> assumed_weights;
  for (const auto& [model, served] : models) {
    const std::vector<rollout_target>& list = served.list;
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
      served.views[i]->has_outdated_weights = is_past_limit;
      // Without the store, completed loads are not reported. The target itself
      // refuses a request if the assumption is wrong.
      if (is_past_limit && is_store_unavailable &&
          MayAssumeWeights(state.targets.find(served.ids[i])->second, model,
                           now))
        assumed_weights.emplace_back(served.ids[i],
                                     model_weights{model, desired_version});
      if (list[i].version < desired_version)
        served.views[i]->added_cost += kOutdatedWeightsCost;
    }
    for (const std::size_t i :
         ChooseTargetsToLoad(list, desired_version, kSteeredLoadRounds)) {
      served.views[i]->added_cost += kLoadingCost;
      served.views[i]->is_load_pending = true;
    }
  }
  for (const auto& [id, target] : state.targets)
    MarkWhollyOutdated(state.placement.targets[target.index]);
  for (const auto& [id, weights] : assumed_weights)
    AssumeWeights(state, id, weights);
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
