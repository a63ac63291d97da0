// Rollout of weights: which targets load next.
//
// Every VM computes the same order from the targets' records, so that all of
// them steer new work away from a target shortly before it is told to load,
// without a message between them.

#ifndef WAXWING_ROLLOUT_H_
#define WAXWING_ROLLOUT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "waxwing/types.h"

namespace waxwing {

// Weights named for a model, newest last, and when this VM learned of each.
struct weights_history {
  struct announcement {
    std::int64_t version = 0;
    instant learned_at;
    // Named before this process started, nobody knows when.
    bool is_inherited = false;
  };
  std::vector<announcement> announcements;
};

// Notes newly named weights. False if they are not newer.
bool RecordAnnouncement(weights_history& history,
                        std::int64_t version,
                        bool is_inherited,
                        instant now);

// The newest version; 0 if there is none.
std::int64_t DesiredVersion(const weights_history& history);

// When the first version newer than `version` was learned of.
std::optional<instant> OutdatedSince(const weights_history& history,
                                     std::int64_t version);

// How long requests may still start on older weights.
struct staleness_bounds {
  milliseconds after_announcement{6'500};
  // After the start of a process that finds newer weights named already.
  milliseconds after_start{2'500};
};

// True if no request may start on `version` any more.
bool IsTooStale(const weights_history& history,
                std::int64_t version,
                const staleness_bounds& bounds,
                instant now);

// Targets that load side by side: one in kTargetsPerConcurrentLoad. More would
// share the rate of the weight store and take longer each.
inline constexpr std::size_t kTargetsPerConcurrentLoad = 5;
inline constexpr std::size_t kMinConcurrentLoads = 2;

struct rollout_target {
  std::uint64_t name_hash = 0;
  std::int64_t version = 0;
};

// Indexes of the targets that should load `goal` now, or with `rounds` above 1
// now and in the rounds after.
std::vector<std::size_t> ChooseTargetsToLoad(
    std::span<const rollout_target> targets,
    std::int64_t desired_version,
    std::size_t rounds = 1);

// What the holder of the duty has sent so far for one model.
struct rollout_progress {
  struct sent_order {
    std::int64_t version = 0;
    instant sent_at;
  };
  // By target.
  std::map<std::string, sent_order, std::less<>> orders;
};

// Time after which an order without effect is looked into again.
inline constexpr milliseconds kOrderRetryInterval{2'000};

// True if the target should be asked and, if needed, ordered now.
bool IsOrderDue(const rollout_progress& progress,
                const std::string& target,
                std::int64_t desired_version,
                instant now);

}  // namespace waxwing

#endif  // WAXWING_ROLLOUT_H_
