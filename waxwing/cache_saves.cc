#include "waxwing/cache_saves.h"

#include <algorithm>

namespace waxwing {
namespace {

// Share of a store's link that saves may use.
constexpr double kSaveShare = 0.5;
// Time for which a VM may use its share in advance.
constexpr milliseconds kSaveBurst{2'000};
constexpr double kBytesPerMegabit = 1e6 / 8;

}  // namespace

void SetSaveRate(cache_saves& saves,
                 double link_mbps,
                 std::size_t vms,
                 instant now) {
  const double rate = link_mbps * kBytesPerMegabit * kSaveShare /
                      static_cast<double>(std::max<std::size_t>(1, vms));
  SetLimit(saves.link, rate, rate * ToSeconds(kSaveBurst), now);
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
