#include "waxwing/retry.h"

#include <algorithm>

namespace waxwing {

namespace {

// Part of a shared allowance that is kept for VMs that restart.
constexpr double kRestartShare = 0.25;

}  // namespace

retry_budget MakeSharedBudget(double allowance, std::size_t vms) {
  retry_budget out;
  ShareAllowance(out, allowance, vms);
  out.balance = allowance * kRestartShare / static_cast<double>(vms);
  return out;
}

void ShareAllowance(retry_budget& budget, double allowance, std::size_t vms) {
  budget.max_balance =
      allowance * (1 - kRestartShare) / static_cast<double>(vms);
}

void EarnRetry(retry_budget& budget) {
  budget.balance =
      std::min(budget.max_balance, budget.balance + budget.retries_per_request);
}

bool SpendRetry(retry_budget& budget) {
  if (budget.balance < 1)
    return false;
  budget.balance -= 1;
  return true;
}

}  // namespace waxwing
