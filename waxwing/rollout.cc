#include "waxwing/rollout.h"

#include <algorithm>

#include "waxwing/hash.h"

namespace waxwing {

namespace {

// No more versions than this are announced before the oldest of them has become
// too stale.
constexpr std::size_t kMaxAnnouncements = 32;

const weights_history::announcement* FirstNewer(const weights_history& history,
                                                std::int64_t version) {
  for (const weights_history::announcement& announcement :
       history.announcements) {
    if (announcement.version > version)
      return &announcement;
  }
  return nullptr;
}

}  // namespace

bool RecordAnnouncement(weights_history& history,
                        std::int64_t version,
                        std::optional<instant> announced_after,
                        instant now) {
  if (version <= DesiredVersion(history))
    return false;
  history.announcements.push_back({version, now, announced_after});
  if (history.announcements.size() > kMaxAnnouncements)
    history.announcements.erase(history.announcements.begin());
  return true;
}

std::int64_t DesiredVersion(const weights_history& history) {
  return history.announcements.empty() ? 0
                                       : history.announcements.back().version;
}

std::optional<instant> LearnedOutdatedAt(const weights_history& history,
                                         std::int64_t version) {
  const auto* announcement = FirstNewer(history, version);
  if (!announcement)
    return std::nullopt;
  return announcement->learned_at;
}

bool IsLeadTimeOver(const weights_history& history,
                    std::int64_t version,
                    instant now) {
  const auto since = LearnedOutdatedAt(history, version);
  return since && now >= *since + kSteeringLeadTime;
}

std::optional<instant> StalenessLimit(const weights_history& history,
                                      std::int64_t version,
                                      const staleness_bounds& bounds) {
  const auto* announcement = FirstNewer(history, version);
  if (!announcement)
    return std::nullopt;
  if (!announcement->announced_after)
    return bounds.started + bounds.after_start;
  return *announcement->announced_after + bounds.after_announcement;
}

bool IsTooStale(const weights_history& history,
                std::int64_t version,
                const staleness_bounds& bounds,
                instant now) {
  const auto limit = StalenessLimit(history, version, bounds);
  return limit && now >= *limit;
}

std::vector<std::size_t> ChooseTargetsToLoad(
    std::span<const rollout_target> targets,
    std::int64_t desired_version,
    std::size_t rounds) {
  std::vector<std::size_t> outdated;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    if (targets[i].version < desired_version)
      outdated.push_back(i);
  }
  const std::size_t limit =
      rounds *
      std::max(kMinConcurrentLoads, targets.size() / kTargetsPerConcurrentLoad);
  std::sort(outdated.begin(), outdated.end(),
            [&](std::size_t a, std::size_t b) {
              // The oldest weights first, since a newer version may be
              // announced before the last target has loaded this one.
              if (targets[a].version != targets[b].version)
                return targets[a].version < targets[b].version;
              return RendezvousWeight(0, targets[a].name_hash) >
                     RendezvousWeight(0, targets[b].name_hash);
            });
  if (outdated.size() > limit)
    outdated.resize(limit);
  return outdated;
}

bool LetsRunsFinish(const route_table& table, std::string_view service) {
  milliseconds longest_resumable{0};
  milliseconds longest_other{0};
  for (const auto& [host, routes] : table.routes) {
    for (const route& entry : routes) {
      const bool is_served = std::any_of(
          entry.services.begin(), entry.services.end(),
          [&](const weighted_service& to) { return to.service == service; });
      if (!is_served || entry.kind != route_kind::kStream)
        continue;
      milliseconds& longest =
          entry.can_resume ? longest_resumable : longest_other;
      longest = std::max(longest, entry.timeout);
    }
  }
  return longest_other > longest_resumable;
}

instant LastOrderAt(const rollout_progress& progress,
                    const std::string& target) {
  const auto found = progress.orders.find(target);
  return found == progress.orders.end() ? instant::min()
                                        : found->second.sent_at;
}

bool IsOrderDue(const rollout_progress& progress,
                const std::string& target,
                std::int64_t desired_version,
                instant now) {
  const auto found = progress.orders.find(target);
  return found == progress.orders.end() ||
         found->second.version < desired_version ||
         now >= found->second.sent_at + kOrderRetryInterval;
}

}  // namespace waxwing
