#include "waxwing/target_reach.h"

#include <algorithm>
#include <set>

namespace waxwing {
namespace {

// Time after a cut in which requests are forwarded while most targets of their
// service have not been reached yet.
constexpr milliseconds kRecoveryTime{1'000};

struct service_reach {
  std::size_t listed = 0;
  std::size_t lost = 0;
};

service_reach CountReached(const target_reach& reach,
                           std::span<const target_view> targets,
                           std::string_view service) {
  service_reach out;
  for (const target_view& view : targets) {
    if (!view.is_in_service || view.serves != service)
      continue;
    ++out.listed;
    out.lost += IsLost(reach, view.name);
  }
  return out;
}

// Counts the targets, and those that were lost after the last connection to any
// target.
service_reach CountInSuccession(const target_reach& reach,
                                std::span<const target_view> targets) {
  service_reach out;
  for (const target_view& view : targets) {
    if (!view.is_in_service)
      continue;
    ++out.listed;
    const auto found = reach.contacts.find(view.name);
    out.lost += found != reach.contacts.end() && found->second.lost_since &&
                *found->second.lost_since >= reach.connected_at;
  }
  return out;
}

bool IsInService(std::span<const target_view> targets, std::string_view name) {
  return std::any_of(targets.begin(), targets.end(),
                     [&](const target_view& view) {
                       return view.is_in_service && view.name == name;
                     });
}

}  // namespace

void RecordConnection(target_reach& reach,
                      std::string_view target,
                      instant now) {
  target_reach::contact& contact = reach.contacts[std::string(target)];
  contact.connected_at = now;
  contact.lost_since.reset();
  reach.connected_at = now;
  if (reach.cut_off_since)
    reach.recovering_since = now;
  reach.cut_off_since.reset();
}

void RecordNoConnection(target_reach& reach,
                        std::string_view target,
                        instant started,
                        std::span<const target_view> targets,
                        instant now) {
  target_reach::contact& contact = reach.contacts[std::string(target)];
  if (started < contact.connected_at)
    return;
  if (!contact.lost_since)
    contact.lost_since = started;
  if (now - started > kLongConnect)
    reach.unanswered_since = std::max(reach.unanswered_since, started);
  if (reach.cut_off_since)
    return;
  const service_reach count = CountInSuccession(reach, targets);
  if (count.lost > 0 && count.lost >= std::min(count.listed, kFailuresToCutOff))
    reach.cut_off_since = now;
}

bool IsLost(const target_reach& reach, std::string_view target) {
  const auto found = reach.contacts.find(target);
  return found != reach.contacts.end() && found->second.lost_since.has_value();
}

bool ReachesTooFew(const target_reach& reach,
                   std::span<const target_view> targets,
                   std::string_view service,
                   instant now) {
  const service_reach count = CountReached(reach, targets, service);
  if (count.listed == 0)
    return false;
  if (reach.cut_off_since || count.lost == count.listed)
    return true;
  return reach.recovering_since &&
         now < *reach.recovering_since + kRecoveryTime &&
         2 * count.lost > count.listed;
}

std::vector<std::size_t> ChooseProbes(const target_reach& reach,
                                      std::span<const target_view> targets,
                                      std::uint64_t random,
                                      std::size_t count,
                                      instant now) {
  const bool is_cut_off = reach.cut_off_since.has_value();
  const bool is_recovering = !is_cut_off && reach.recovering_since &&
                             now < *reach.recovering_since + kRecoveryTime;
  const std::size_t needed =
      reach.unanswered_since > reach.connected_at ? 1 : kFailuresToProbe;
  const bool is_suspected =
      !is_cut_off && CountInSuccession(reach, targets).lost >= needed;
  std::vector<std::size_t> chosen;
  std::set<std::string_view> seen_services;
  for (std::size_t i = 0; i < targets.size() && chosen.size() < count; ++i) {
    const std::size_t at = (i + random) % targets.size();
    const target_view& view = targets[at];
    if (!view.is_in_service)
      continue;
    const bool is_lost = IsLost(reach, view.name);
    const bool is_turn_of_service = is_lost &&
                                    HasLostAll(reach, targets, view.serves) &&
                                    seen_services.insert(view.serves).second;
    if (is_cut_off || (is_lost && is_recovering) || is_turn_of_service ||
        (!is_lost && is_suspected))
      chosen.push_back(at);
    if (is_cut_off && !chosen.empty())
      break;
  }
  return chosen;
}

bool HasLostAll(const target_reach& reach,
                std::span<const target_view> targets,
                std::string_view service) {
  const service_reach count = CountReached(reach, targets, service);
  return count.listed > 0 && count.lost == count.listed;
}

void RemoveAbsentTargets(target_reach& reach,
                         std::span<const target_view> targets) {
  std::erase_if(reach.contacts, [&](const auto& entry) {
    return !IsInService(targets, entry.first);
  });
}

}  // namespace waxwing
