// A retry budget: limits retries to a share of fresh requests, so that a burst
// of failures can't multiply the load on the remaining targets.

#ifndef WAXWING_RETRY_H_
#define WAXWING_RETRY_H_

namespace waxwing {

struct retry_budget {
  // Retries earned by one fresh request.
  double retries_per_request = 0.1;
  // Maximum number of retries that can accumulate; also the initial balance.
  double max_balance = 20;
  double balance = 20;
};

// Adds the retries earned by one fresh request.
void EarnRetry(retry_budget& budget);

// Spends one retry; returns false if less than one is left.
bool SpendRetry(retry_budget& budget);

}  // namespace waxwing

#endif  // WAXWING_RETRY_H_
