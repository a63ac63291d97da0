// The targets that the entry places requests on.

#include <algorithm>

#include "waxwing/entry_state.h"
#include "waxwing/hash.h"
#include "waxwing/log.h"

namespace waxwing {
namespace {

// Cost of a target in another zone: a round trip there and back.
constexpr milliseconds kOtherZone{2};
// Prompt tokens that an engine reads in a second beside its running requests:
// the rate of the engines' data sheet, less the time of a step for each chunk.
constexpr double kEnginePrefillRate = 60'000;
// Cost of a target that leaves requests unanswered.
constexpr milliseconds kSilent{5'000};
// Cost of a target that is about to load new weights.
constexpr milliseconds kAboutToLoad{1'000};
// Loads ahead of those in progress that work is steered away from, as a
// multiple of the loads side by side.
constexpr std::size_t kSteeredLoads = 2;
// Cost of older weights, whose answers lose worth.
constexpr milliseconds kOlderWeights{60};
// From this long before older weights are out of bounds, no request is sent to
// them: it may have to wait at the target.
constexpr milliseconds kWeightsMargin{1'500};
// A process that has just started is held to the bounds once it has been in
// touch with the platform for a while; this is kept from that time.
constexpr milliseconds kContactMargin{500};

// A place in the list that no request refers to any more, or a new one.
std::uint32_t FindPlace(placement_state& placement) {
  for (std::uint32_t i = 0; i < placement.targets.size(); ++i) {
    target_view& view = placement.targets[i];
    if (!view.usable && view.name.empty() && view.own_in_flight == 0)
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
  view.boot_id = static_cast<std::uint64_t>(record.incarnation);
  view.zone = record.zone;
  view.address = record.address;
  view.usable = !record.is_draining;
  view.slots = record.slots;
  const auto service = state.table->services.find(record.service);
  if (service != state.table->services.end() &&
      service->second.engine_slots > 0) {
    view.slots = service->second.engine_slots;
    view.prefill_tokens_per_second = kEnginePrefillRate;
    view.memory_tokens = service->second.engine_tokens;
  }
  return view;
}

bool IsSameLife(const target_record& a, const target_record& b) {
  return a.incarnation == b.incarnation && a.service == b.service &&
         a.address == b.address;
}

}  // namespace

void InstallTarget(entry_state& state, const target_record& record) {
  const auto found = state.targets.find(record.id);
  if (found != state.targets.end() &&
      IsSameLife(found->second.record, record)) {
    listed_target& target = found->second;
    target_view& view = state.placement.targets[target.index];
    target.drop_at.reset();
    ApplyIdentity(view, view.boot_id,
                  std::to_string(std::max(target.record.weights_version,
                                          record.weights_version)));
    view.usable = !record.is_draining;
    if (record.is_draining && !target.record.is_draining)
      LogInfo("target_leaving", {{"target", record.id}});
    if (record.weights_version != target.record.weights_version)
      LogInfo("target_weights",
              {{"target", record.id}, {"version", record.weights_version}});
    if (record.weights_version > target.record.weights_version)
      ClearFailures(view);
    const std::int64_t known = target.record.weights_version;
    target.record = record;
    // The record may lag behind what the target itself has told.
    target.record.weights_version = std::max(known, record.weights_version);
    RefreshTargets(state, std::chrono::steady_clock::now());
    return;
  }
  if (found != state.targets.end())
    RetireTarget(state, record.id);
  const std::uint32_t index = FindPlace(state.placement);
  target_view& view = state.placement.targets[index];
  const std::uint32_t epoch = view.epoch;
  view = MakeView(state, record);
  view.epoch = epoch + 1;
  state.targets[record.id] = {record, index, {}};
  LogInfo("target_listed", {{"target", record.id},
                            {"service", record.service},
                            {"address", ToText(record.address)},
                            {"weights", record.weights_version},
                            {"leaving", record.is_draining}});
  RefreshTargets(state, std::chrono::steady_clock::now());
}

void NoteWeights(entry_state& state,
                 std::string_view target,
                 std::int64_t version) {
  const auto found = state.targets.find(target);
  if (found == state.targets.end() ||
      version <= found->second.record.weights_version)
    return;
  target_record fresh = found->second.record;
  fresh.weights_version = version;
  LogInfo("weights_noted", {{"target", target}, {"version", version}});
  InstallTarget(state, fresh);
}

void RetireTarget(entry_state& state, const std::string& id) {
  const auto found = state.targets.find(id);
  if (found == state.targets.end())
    return;
  target_view& view = state.placement.targets[found->second.index];
  view.usable = false;
  view.name.clear();
  ++view.epoch;
  LogInfo("target_gone", {{"target", id}});
  state.targets.erase(found);
}

void RefreshTargets(entry_state& state, instant now) {
  std::vector<std::string> lapsed;
  // By model, in the order of the map of targets.
  std::map<std::string, std::vector<rollout_target>> models;
  std::map<std::string, std::vector<target_view*>> views;
  for (auto& [id, target] : state.targets) {
    if (target.drop_at && now >= *target.drop_at)
      lapsed.push_back(id);
    target_view& view = state.placement.targets[target.index];
    view.distance = view.zone == state.options.zone ? duration{} : kOtherZone;
    view.is_loading = false;
    view.has_refused_weights = false;
    view.distance += ErrorCost(view);
    if (IsSilent(view, now))
      view.distance += kSilent;
    if (target.record.model.empty() || target.record.is_draining)
      continue;
    models[target.record.model].push_back(
        {view.name_hash, target.record.weights_version});
    views[target.record.model].push_back(&view);
  }
  const bool is_store_lost =
      state.watches[object_kind::kTargets].lost_since.has_value();
  std::vector<std::pair<std::string, std::int64_t>> guessed;
  for (const auto& [model, list] : models) {
    const auto goal = state.goals.find(model);
    if (goal == state.goals.end())
      continue;
    const std::int64_t newest = GoalOf(goal->second);
    const weights_bounds bounds{
        state.options.bounds.weights_in_force - kWeightsMargin,
        state.options.bounds.contact - kContactMargin};
    for (std::size_t i = 0; i < list.size(); ++i) {
      const bool is_out =
          IsOutOfBounds(goal->second, list[i].version, bounds, now);
      views[model][i]->has_refused_weights = is_out;
      // Without the store nobody tells of loads; the target itself refuses a
      // request if the guess is wrong.
      if (is_out && is_store_lost)
        guessed.emplace_back(views[model][i]->name, newest);
      if (list[i].version < newest)
        views[model][i]->distance += kOlderWeights;
    }
    for (const std::size_t i : ChooseLoads(list, newest, kSteeredLoads)) {
      views[model][i]->distance += kAboutToLoad;
      views[model][i]->is_loading = true;
    }
  }
  for (const auto& [id, version] : guessed)
    NoteWeights(state, id, version);
  for (const std::string& id : lapsed)
    RetireTarget(state, id);
}

}  // namespace waxwing
