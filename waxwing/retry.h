// A retry budget: limits retries to a share of fresh requests, so that a burst
// of failures can't multiply the load on the remaining targets.

#ifndef WAXWING_RETRY_H_
#define WAXWING_RETRY_H_

#include <cstddef>

namespace waxwing {

struct retry_budget {
  // Retries earned by one fresh request.
  double retries_per_request = 0.1;
  // Maximum number of retries that can accumulate; also the initial balance,
  // unless VMs share it.
  double max_balance = 20;
  double balance = 20;
};

// Returns the initial budget of one of `vms` VMs that share an allowance, the
// number of retries beyond those earned. VMs that restart may have spent their
// part of it already, so a part is kept for their new budgets.
retry_budget MakeSharedBudget(double allowance, std::size_t vms);

// Updates the budget's maximum when the number of VMs changes.
void ShareAllowance(retry_budget& budget, double allowance, std::size_t vms);

// Adds the retries earned by one fresh request.
void EarnRetry(retry_budget& budget);

// Spends one retry; returns false if less than one is left.
bool SpendRetry(retry_budget& budget);

}  // namespace waxwing

#endif  // WAXWING_RETRY_H_
