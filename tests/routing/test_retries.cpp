#include <doctest/doctest.h>

#include "clementine_routing/clementine_routing.h"

using namespace clementine;
using namespace std::chrono_literals;

namespace {

constexpr instant Start{100s};

} // namespace

TEST_CASE("budget and throttle are charged only for a retry that is made") {
  retry_budget Budget(1);
  retry_throttle Throttle({0.1, 1.0});
  const failed_attempt NonIdempotent{attempt_outcome::Unknown, false,
                                     Start + 1s, 10ms};
  CHECK(decideRetry(NonIdempotent, Budget, Throttle, Start) ==
        retry_decision::MayHaveRun);
  failed_attempt Refused = NonIdempotent;
  Refused.Outcome = attempt_outcome::NotRun;
  CHECK(decideRetry(Refused, Budget, Throttle, Start + 990ms) ==
        retry_decision::DeadlineTooClose);
  CHECK(Budget.left() == 1);
  CHECK(Throttle.allows());
  CHECK(decideRetry(Refused, Budget, Throttle, Start) == retry_decision::Retry);
  CHECK(decideRetry(Refused, Budget, Throttle, Start) ==
        retry_decision::BudgetSpent);
  retry_budget Another(1);
  CHECK(decideRetry(Refused, Another, Throttle, Start) ==
        retry_decision::ServiceThrottled);
  CHECK(Another.left() == 1);
}

TEST_CASE("an answer that returns too much cannot increase a budget") {
  retry_budget Budget(5);
  CHECK(Budget.allocate() == 3);
  Budget.reclaim(3, 4);
  CHECK(Budget.left() == 2);
  Budget.reclaim(3, 1);
  CHECK(Budget.left() == 3);
}
