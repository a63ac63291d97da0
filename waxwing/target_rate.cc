#include "waxwing/target_rate.h"

#include <cmath>

namespace waxwing {

std::optional<double> ReadPeerRate(double per_second) {
  return std::isfinite(per_second) && per_second >= 0
             ? std::optional(per_second)
             : std::nullopt;
}

bool RecordStatement(stated_rate& known,
                     std::optional<double> per_second,
                     instant sent,
                     instant now) {
  if (!per_second && (!known.per_second || sent < known.heard_at))
    return false;
  known.heard_at = now;
  if (per_second == known.per_second)
    return false;
  known.per_second = per_second;
  ++known.sequence;
  return true;
}

bool MergeStatement(stated_rate& known, const stated_rate& other, instant now) {
  // Of two statements with the same number the lower rate counts.
  const bool is_newer =
      other.sequence > known.sequence ||
      (other.sequence == known.sequence && other.per_second &&
       (!known.per_second || *other.per_second < *known.per_second));
  if (!is_newer)
    return false;
  known = {other.per_second, other.sequence, now};
  return true;
}

}  // namespace waxwing
