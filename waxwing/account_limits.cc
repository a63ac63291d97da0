#include "waxwing/account_limits.h"

#include <algorithm>

namespace waxwing {
namespace {

// A new bucket holds what the limit allows in this time.
constexpr milliseconds kInitialBalanceTime{250};
// Share of the limit that a substitute hands out. The limiter may still be
// handing out all of it to other VMs, until they see that it is gone.
constexpr double kSubstituteShare = 1.0 / 3;
// Part of its share that a minority of the VMs hands out.
constexpr double kMinoritySplit = 0.5;

// The limiter and the VMs that run other tasks for an account are chosen
// independently.
constexpr std::string_view kLimiterTask = "account limit/";

double Capacity(const account_limit& limit, double share) {
  return std::max(limit.burst,
                  limit.per_second * ToSeconds(kInitialBalanceTime)) *
         share;
}

}  // namespace

double ChargeOf(const account_limit& limit,
                std::uint32_t prompt_tokens,
                std::uint32_t output_tokens) {
  if (!limit.counts_tokens)
    return 1;
  const double stated =
      static_cast<double>(prompt_tokens) + static_cast<double>(output_tokens);
  return stated > 0 ? stated : limit.plain_request_tokens;
}

charge_decision Charge(account_bucket& bucket,
                       const account_limit& limit,
                       double share,
                       double amount,
                       instant now) {
  const double rate = limit.per_second * share;
  if (rate <= 0)
    return {kMaxChargeWait};
  const double elapsed = ToSeconds(
      bucket.updated ? now - *bucket.updated : duration(kInitialBalanceTime));
  bucket.balance =
      std::min(Capacity(limit, share), bucket.balance + rate * elapsed);
  bucket.updated = now;
  // A VM with a small share of the limit must have saved for the whole request:
  // the overdrafts of many such VMs would add up.
  const double required = amount * (1 - std::min(share, 1.0));
  if (bucket.balance > 0 && bucket.balance >= required) {
    bucket.balance -= amount;
    return {};
  }
  const instant next =
      now + FromSeconds((std::max(0.0, required) - bucket.balance) / rate);
  bucket.last_return =
      std::max(next, bucket.last_return + FromSeconds(amount / rate));
  bucket.last_return =
      std::min<instant>(bucket.last_return, now + kMaxChargeWait);
  return {std::max<duration>(milliseconds(1), bucket.last_return - now)};
}

void Refund(account_bucket& bucket,
            const account_limit& limit,
            double share,
            double amount) {
  bucket.balance = std::min(Capacity(limit, share), bucket.balance + amount);
}

std::string ChooseLimiter(const membership& table,
                          std::string_view account,
                          std::string_view absent) {
  return ChooseVmForTask(
      table, std::string(kLimiterTask) + std::string(account), "", absent);
}

double ShareOfLimit(const membership& table, charge_role role) {
  std::size_t alive = 0;
  std::size_t absent = 0;
  for (const auto& [vm, record] : table.members) {
    const member_status status = record.data.status;
    if (status == member_status::kAlive || status == member_status::kLeaving)
      ++alive;
    else if (status != member_status::kLeft)
      ++absent;
  }
  const double all =
      static_cast<double>(std::max<std::size_t>(1, alive + absent));
  if (role == charge_role::kAlone)
    return kMinoritySplit / all;
  // Of a partition, the side with the majority leaves the others half of their
  // share only, since VMs are more often gone than cut off.
  const double present = static_cast<double>(alive) / all;
  const double share = alive > absent ? 1 - kMinoritySplit * (1 - present)
                                      : kMinoritySplit * present;
  return role == charge_role::kSubstitute ? share * kSubstituteShare : share;
}

}  // namespace waxwing
