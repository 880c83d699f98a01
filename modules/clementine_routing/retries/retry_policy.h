#ifndef CLEMENTINE_ROUTING_RETRIES_RETRY_POLICY_H
#define CLEMENTINE_ROUTING_RETRIES_RETRY_POLICY_H

#include "clementine_core/time/clock.h"
#include "clementine_routing/retries/retry_budget.h"
#include "clementine_routing/retries/retry_throttle.h"

#include <compare>
#include <cstdint>

namespace clementine {

/// The outcome of an attempt that did not return a complete answer.
enum class attempt_outcome : std::uint8_t {
  /// A gate, or a node that never sent it, confirmed that it was not run.
  NotRun,
  /// It may have run, may be running, or may still run.
  Unknown,
  /// The upstream ran it and failed.
  UpstreamFailed,
};

/// A failed attempt and the conditions for another one.
struct failed_attempt {
  attempt_outcome Outcome = attempt_outcome::Unknown;
  /// Whether the operation is idempotent, so that it may run more than once.
  bool Repeatable = false;
  instant Deadline;
  /// The expected duration of an attempt.
  duration ExpectedTime{0};

  auto operator<=>(const failed_attempt &) const = default;
};

/// Whether to make another attempt, and if not, why.
enum class retry_decision : std::uint8_t {
  Retry,
  /// The operation is not idempotent and may have run.
  MayHaveRun,
  /// Another attempt could not finish before the deadline.
  DeadlineTooClose,
  /// The retry budget of the whole request is exhausted at this point.
  BudgetSpent,
  /// The retry throttle of the service allows no retry.
  ServiceThrottled,
};

/// Decides whether to make another attempt. Only for retry_decision::Retry is
/// one attempt taken from both @p Budget and @p Throttle.
retry_decision decideRetry(const failed_attempt &Failed, retry_budget &Budget,
                           retry_throttle &Throttle, instant Now);

} // namespace clementine

#endif
