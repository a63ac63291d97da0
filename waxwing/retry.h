// A budget for retries: a share of fresh load, so that a storm of failures
// can't multiply the load on the targets that are left.

#ifndef WAXWING_RETRY_H_
#define WAXWING_RETRY_H_

namespace waxwing {

struct retry_budget {
  // Retries earned by one fresh request.
  double retries_per_request = 0.1;
  // Most retries that can be saved up, also the starting balance.
  double max_balance = 20;
  double balance = 20;
};

// Earns the share of one fresh request.
void EarnRetry(retry_budget& budget);

// Spends one retry; false if the budget is empty.
bool SpendRetry(retry_budget& budget);

}  // namespace waxwing

#endif  // WAXWING_RETRY_H_
