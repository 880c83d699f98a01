#include "clementine_routing/retries/retry_policy.h"

namespace clementine {

retry_decision decideRetry(const failed_attempt &Failed, retry_budget &Budget,
                           retry_throttle &Throttle, instant Now) {
  if (!Failed.Repeatable && Failed.Outcome != attempt_outcome::NotRun)
    return retry_decision::MayHaveRun;
  if (Now + Failed.ExpectedTime >= Failed.Deadline)
    return retry_decision::DeadlineTooClose;
  if (Budget.left() == 0)
    return retry_decision::BudgetSpent;
  if (!Throttle.spend())
    return retry_decision::ServiceThrottled;
  Budget.spend();
  return retry_decision::Retry;
}

} // namespace clementine
