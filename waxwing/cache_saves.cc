#include "waxwing/cache_saves.h"

#include <algorithm>

namespace waxwing {
namespace {

// Share of a store's link that fetches and saves together use before a save is
// left out.
constexpr double kLinkShare = 0.9;
// Time for which a VM may use its share of the link in advance.
constexpr milliseconds kLinkBurst{2'000};
constexpr double kBytesPerMegabit = 1e6 / 8;
// A prompt with more tokens of its own, as a share of the shared ones, is not
// saved: the store keeps them, too, although no other request needs them.
constexpr double kMaxOwnTokenShare = 0.7;

}  // namespace

void SetLinkRate(cache_saves& saves,
                 double link_mbps,
                 std::size_t vms,
                 instant now) {
  const double rate = link_mbps * kBytesPerMegabit * kLinkShare /
                      static_cast<double>(std::max<std::size_t>(1, vms));
  SetLimit(saves.link, rate, rate * ToSeconds(kLinkBurst), now);
}

void RecordFetch(cache_saves& saves, double bytes) {
  if (saves.link.rate > 0)
    saves.link.level = std::max(-saves.link.burst, saves.link.level - bytes);
}

bool IsWorthSaving(std::uint32_t shared_tokens, std::uint32_t prompt_tokens) {
  return prompt_tokens <= shared_tokens * (1 + kMaxOwnTokenShare);
}

bool TryStartSave(cache_saves& saves,
                  std::uint64_t prefix,
                  double bytes,
                  instant now) {
  if (saves.started_at.size() >= saves.capacity)
    saves.started_at.clear();
  const auto started = saves.started_at.find(prefix);
  const bool is_pending = started != saves.started_at.end() &&
                          now < started->second + saves.confirmation_timeout;
  if (is_pending || TakeTokens(saves.link, bytes, now) > duration::zero())
    return false;
  saves.started_at[prefix] = now;
  return true;
}

void ClearSaves(cache_saves& saves) {
  saves.started_at.clear();
}

}  // namespace waxwing
