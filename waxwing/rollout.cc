#include "waxwing/rollout.h"

#include <algorithm>

#include "waxwing/hash.h"

namespace waxwing {

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
    // The same order for every version: what loaded first goes on being first.
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
