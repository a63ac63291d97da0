// Rollout of model weights: the order in which targets load a new version.
//
// Every VM computes the same order from the targets' records. All VMs can thus
// steer new requests away from a target shortly before it is ordered to load,
// without exchanging messages.

#ifndef WAXWING_ROLLOUT_H_
#define WAXWING_ROLLOUT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "waxwing/route_table.h"
#include "waxwing/types.h"

namespace waxwing {

// The weights versions announced for a model, newest last.
struct weights_history {
  struct announcement {
    std::int64_t version = 0;
    // When this VM learned of the version.
    instant learned_at;
    // The version was announced after this time. Empty if it may have been
    // announced before this process started.
    std::optional<instant> announced_after;
  };
  std::vector<announcement> announcements;
};

// Records a newly announced version. Returns false if it is not newer than all
// recorded ones. All times are of a clock that keeps running while the VM is
// suspended.
bool RecordAnnouncement(weights_history& history,
                        std::int64_t version,
                        std::optional<instant> announced_after,
                        instant now);

// The newest announced version, or 0 if there is none.
std::int64_t DesiredVersion(const weights_history& history);

// When this VM learned of the first version newer than `version`.
std::optional<instant> LearnedOutdatedAt(const weights_history& history,
                                         std::int64_t version);

// Time for the other VMs to receive a new version and to route requests away
// from the targets that load first.
inline constexpr milliseconds kSteeringLeadTime{500};

// True if a target with `version` may be ordered to load newer weights: the VMs
// have had time to route requests away since it became outdated. Versions
// announced later don't delay it again.
bool IsLeadTimeOver(const weights_history& history,
                    std::int64_t version,
                    instant now);

// How long requests may still start on outdated weights.
struct staleness_bounds {
  milliseconds after_announcement{8'000};
  // For versions that may have been announced before this process started: when
  // that was, and the time since then.
  milliseconds after_start{3'000};
  instant started;
};

// The time from which requests may no longer start on `version`, or empty if no
// newer version is known.
std::optional<instant> StalenessLimit(const weights_history& history,
                                      std::int64_t version,
                                      const staleness_bounds& bounds);

// True if that time has come.
bool IsTooStale(const weights_history& history,
                std::int64_t version,
                const staleness_bounds& bounds,
                instant now);

// One in kTargetsPerConcurrentLoad targets of a model may load at the same
// time. With more, each load would take longer, since they share the bandwidth
// of the weight store.
inline constexpr std::size_t kTargetsPerConcurrentLoad = 5;
inline constexpr std::size_t kMinConcurrentLoads = 2;

struct rollout_target {
  std::uint64_t name_hash = 0;
  std::int64_t version = 0;
};

// Indexes of the targets that should load `desired_version` now. With `rounds`
// above 1 also those of the following rounds.
std::vector<std::size_t> ChooseTargetsToLoad(
    std::span<const rollout_target> targets,
    std::int64_t desired_version,
    std::size_t rounds = 1);

// True if the running requests of a service's targets may finish before these
// load other weights. Streams that are broken off are resumed elsewhere, if
// their routes allow that. If the streams that can't be resumed are the long
// ones, by the timeouts of their routes, too many would be lost.
bool LetsRunsFinish(const route_table& table, std::string_view service);

// The orders that the holder of the leased role has sent for one model.
struct rollout_progress {
  struct sent_order {
    std::int64_t version = 0;
    instant sent_at;
  };
  // The last order, by target.
  std::map<std::string, sent_order, std::less<>> orders;
};

// Time after which a target that still has outdated weights is queried again
// and, if needed, sent the order again.
inline constexpr milliseconds kOrderRetryInterval{2'000};

// When the target was last sent an order; instant::min() if it never was.
instant LastOrderAt(const rollout_progress& progress,
                    const std::string& target);

// True if the target should be queried and, if needed, sent an order now.
bool IsOrderDue(const rollout_progress& progress,
                const std::string& target,
                std::int64_t desired_version,
                instant now);

}  // namespace waxwing

#endif  // WAXWING_ROLLOUT_H_
