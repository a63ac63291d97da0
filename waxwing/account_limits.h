// Limits on the work of client accounts, over all VMs together.
//
// The limit of an account is one for all VMs, and no VM sees what the others
// admit. One VM, the account's limiter, therefore keeps the account's token
// bucket: chosen by rendezvous hashing over the alive VMs. Each request of an
// account with a limit is charged there before it is sent anywhere. A request
// is admitted while the balance is positive, and may overdraw it, so that large
// requests are admitted as often as small ones.
//
// The sum holds while the VMs disagree about who is alive. A limiter begins
// with a small balance, because an earlier one may have admitted a burst just
// before, and issues nothing at first after its start. It hands out only the
// share of the rate that corresponds to the VMs that it sees alive, so that the
// sides of a network partition together keep to the limit. If the limiter does
// not respond, another VM substitutes for it at a part of the rate, and a VM
// that reaches neither admits its own share of the rate.
//
// Designed for: accounts that send several times what they may, from 6 to 350
// VMs, in requests that differ in size by a factor of 100, while VMs end or
// are cut off.

#ifndef WAXWING_ACCOUNT_LIMITS_H_
#define WAXWING_ACCOUNT_LIMITS_H_

#include <optional>
#include <string>
#include <string_view>

#include "waxwing/membership.h"
#include "waxwing/route_table.h"
#include "waxwing/types.h"

namespace waxwing {

// Part of an account's limit that one VM hands out.
struct account_bucket {
  double balance = 0;
  // When `balance` was last updated; empty before the first charge.
  std::optional<instant> updated;
  // When the last refused request is to return.
  instant last_return;
};

// In which role a VM charges a request.
enum class charge_role {
  kLimiter,     // for all VMs
  kSubstitute,  // for VMs to which the limiter does not respond
  kAlone,       // for itself, because it reaches neither
};

// A VM admits no request of a limited account in this time after its start. It
// does not know the other VMs yet, of which each would be the limiter.
inline constexpr milliseconds kLimiterStartDelay{500};
// A refused request is to return after at most this time.
inline constexpr milliseconds kMaxChargeWait{5'000};

// Returns what a request counts against the limit.
double ChargeOf(const account_limit& limit,
                std::uint32_t prompt_tokens,
                std::uint32_t output_tokens);

// Whether a request is admitted, else the time after which it should return.
struct charge_decision {
  std::optional<duration> wait;
};

// Charges `amount` to the bucket, of which `share` of the limit is handed out.
// The waits of refused requests are spread, so that those who return together
// are not refused again.
charge_decision Charge(account_bucket& bucket,
                       const account_limit& limit,
                       double share,
                       double amount,
                       instant now);

// Returns the charge of a request that has not run.
void Refund(account_bucket& bucket,
            const account_limit& limit,
            double share,
            double amount);

// Returns the VM that keeps an account's bucket, or the one that substitutes
// for `absent`. Empty if there is none.
std::string ChooseLimiter(const membership& table,
                          std::string_view account,
                          std::string_view absent = "");

// Returns the share of an account's limit that a VM hands out in a role.
double ShareOfLimit(const membership& table, charge_role role);

}  // namespace waxwing

#endif  // WAXWING_ACCOUNT_LIMITS_H_
