#include "waxwing/rollout.h"

#include <algorithm>

#include "waxwing/hash.h"

namespace waxwing {

namespace {

// Versions kept: more are not named within the bound of the oldest.
constexpr std::size_t kMostGoals = 32;

const weights_history::goal* FirstNewer(const weights_history& history,
                                        std::int64_t version) {
  for (const weights_history::goal& goal : history.goals) {
    if (goal.version > version)
      return &goal;
  }
  return nullptr;
}

}  // namespace

bool NoteGoal(weights_history& history,
              std::int64_t version,
              bool is_inherited,
              instant now) {
  if (version <= GoalOf(history))
    return false;
  history.goals.push_back({version, now, is_inherited});
  if (history.goals.size() > kMostGoals)
    history.goals.erase(history.goals.begin());
  return true;
}

std::int64_t GoalOf(const weights_history& history) {
  return history.goals.empty() ? 0 : history.goals.back().version;
}

std::optional<instant> OutdatedSince(const weights_history& history,
                                     std::int64_t version) {
  const auto* goal = FirstNewer(history, version);
  if (!goal)
    return std::nullopt;
  return goal->since;
}

bool IsOutOfBounds(const weights_history& history,
                   std::int64_t version,
                   const weights_bounds& bounds,
                   instant now) {
  const auto* goal = FirstNewer(history, version);
  if (!goal)
    return false;
  return now >= goal->since + (goal->is_inherited ? bounds.since_start
                                                  : bounds.since_named);
}

std::vector<std::size_t> ChooseLoads(std::span<const rollout_target> targets,
                                     std::int64_t goal,
                                     std::size_t rounds) {
  std::vector<std::size_t> behind;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    if (targets[i].version < goal)
      behind.push_back(i);
  }
  const std::size_t most =
      rounds * std::max(kFewestLoads, targets.size() / kTargetsPerLoad);
  std::sort(behind.begin(), behind.end(), [&](std::size_t a, std::size_t b) {
    // The oldest weights first: a goal may change before the last target has
    // had its turn.
    if (targets[a].version != targets[b].version)
      return targets[a].version < targets[b].version;
    return RendezvousWeight(0, targets[a].name_hash) >
           RendezvousWeight(0, targets[b].name_hash);
  });
  if (behind.size() > most)
    behind.resize(most);
  return behind;
}

bool IsOrderDue(const rollout_progress& progress,
                const std::string& target,
                std::int64_t goal,
                instant now) {
  const auto found = progress.orders.find(target);
  return found == progress.orders.end() || found->second.version < goal ||
         now >= found->second.at + kOrderPatience;
}

}  // namespace waxwing
