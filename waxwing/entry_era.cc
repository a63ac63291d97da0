// What this VM does when the store has returned from an older copy.
//
// What is known stays in use, since a configuration, weights version or revoked
// key must not go back. Revisions start anew and everything is listed again.

#include "waxwing/entry_state.h"
#include "waxwing/log.h"

namespace waxwing {
namespace {

void StartEra(entry_state& state, std::uint64_t era) {
  if (state.store_era != 0) {
    LogWarning("store_era", {{"era", era}, {"before", state.store_era}});
    Count(state.stats, "waxwing_store_eras_total");
  }
  state.store_era = era;
  for (auto& [kind, position] : state.watches) {
    position.revision = 0;
    position.changed_revision = 0;
    position.is_listed = false;
    position.has_lost_changes = position.confirmed_at.has_value();
  }
  for (auto& [kind, objects] : state.objects) {
    for (auto& [name, object] : objects)
      object.revision = 0;
  }
  state.outdated_records.clear();
  // Holds are written again where the store has lost them.
  state.stored_holds.clear();
  for (auto& [vm, upstream] : state.upstreams)
    upstream.current_at.clear();
  state.lease.timing = RolloutLeaseTiming(state);
  StartLeaseEra(state.lease, era, SuspendAwareNow());
}

}  // namespace

bool ObserveEra(entry_state& state, std::uint64_t era) {
  switch (CompareEras(state.store_era, era)) {
    case era_relation::kCurrent:
      return true;
    case era_relation::kOlder:
      LogInfo("store_response_outdated",
              {{"era", era}, {"current", state.store_era}});
      return false;
    case era_relation::kNewer:
      StartEra(state, era);
      return true;
  }
  return true;
}

}  // namespace waxwing
