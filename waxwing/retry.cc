#include "waxwing/retry.h"

#include <algorithm>

namespace waxwing {

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
