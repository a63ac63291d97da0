#include "waxwing/send_permits.h"

#include <algorithm>

namespace waxwing {
namespace {

constexpr milliseconds kMinPermitWait{20};

// An issuer counts as new if nobody has asked it for this long, and for the
// time in which the rate allows this many requests.
constexpr milliseconds kIdleIssuer{1'000};
constexpr double kIdlePermits = 4;
// Time for which a new issuer hands out a share of the rate only, because some
// VMs may still ask an earlier one: longer than views of the members differ.
constexpr milliseconds kTakeover{4'000};
constexpr double kTakeoverShare = 0.5;

// The permit issuer and the VMs that run other tasks for a target are chosen
// independently.
constexpr std::string_view kIssuerTask = "permits/";

}  // namespace

std::optional<duration> TakePermit(permit_bucket& bucket,
                                   double per_second,
                                   instant now) {
  const duration idle_time = std::max<duration>(
      kIdleIssuer,
      FromSeconds(kIdlePermits / std::max(per_second, kMinPermitRate)));
  if (!bucket.updated || now - *bucket.updated > idle_time)
    bucket.started = now;
  const double share = now - bucket.started < kTakeover ? kTakeoverShare : 1;
  const double rate = std::max(per_second * share, kMinPermitRate);
  if (bucket.updated)
    bucket.permits = std::min(
        kMaxPermits, bucket.permits + rate * ToSeconds(now - *bucket.updated));
  bucket.updated = now;
  if (bucket.permits >= 1) {
    bucket.permits -= 1;
    return std::nullopt;
  }
  const instant next = now + FromSeconds((1 - bucket.permits) / rate);
  bucket.last_return =
      std::max(next, bucket.last_return + FromSeconds(1 / rate));
  bucket.last_return =
      std::min<instant>(bucket.last_return, now + kMaxPermitWait);
  return std::max<duration>(kMinPermitWait, bucket.last_return - now);
}

std::string ChoosePermitIssuer(const membership& table,
                               std::string_view target,
                               std::string_view zone) {
  return ChooseVmForTask(table, std::string(kIssuerTask) + std::string(target),
                         zone);
}

double PresentShare(const membership& table) {
  std::size_t present = 0;
  std::size_t lost = 0;
  for (const auto& [vm, record] : table.members) {
    if (IsPresent(record.data))
      ++present;
    else if (record.data.status == member_status::kDead)
      ++lost;
  }
  return present == 0 ? 1
                      : static_cast<double>(present) /
                            static_cast<double>(present + lost);
}

}  // namespace waxwing
