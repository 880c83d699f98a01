#ifndef CLEMENTINE_ROUTING_RETRIES_RETRY_POLICY_H
#define CLEMENTINE_ROUTING_RETRIES_RETRY_POLICY_H

#include "clementine_core/time/clock.h"
#include "clementine_routing/retries/retry_budget.h"
#include "clementine_routing/retries/retry_throttle.h"

#include <compare>
#include <cstdint>

namespace clementine {

/// What is known about an attempt that brought no whole answer.
enum class attempt_outcome : std::uint8_t {
  /// A gate, or a node that never sent it, certified that it was not run.
  NotRun,
  /// It may have run, may be running, or may still run.
  Unknown,
  /// The upstream ran it and failed.
  UpstreamFailed,
};

/// A failed attempt and what another one would need.
struct failed_attempt {
  attempt_outcome Outcome = attempt_outcome::Unknown;
  /// Whether the operation may run more than once.
  bool Repeatable = false;
  instant Deadline;
  /// How long an attempt usually takes.
  duration ExpectedTime{0};

  auto operator<=>(const failed_attempt &) const = default;
};

/// Whether another attempt is made, and if not, why.
enum class retry_decision : std::uint8_t {
  Retry,
  /// The operation may run only once and may have run.
  MayHaveRun,
  /// It could not finish before its deadline.
  DeadlineTooClose,
  /// The whole request has no extra attempts left here.
  BudgetSpent,
  /// The service has had its share of retries.
  ServiceThrottled,
};

/// Decides whether another attempt is made. Only for retry_decision::Retry is
/// one attempt taken out of both @p Budget and @p Throttle.
retry_decision decideRetry(const failed_attempt &Failed, retry_budget &Budget,
                           retry_throttle &Throttle, instant Now);

} // namespace clementine

#endif
