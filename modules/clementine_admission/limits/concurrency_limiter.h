#ifndef CLEMENTINE_ADMISSION_LIMITS_CONCURRENCY_LIMITER_H
#define CLEMENTINE_ADMISSION_LIMITS_CONCURRENCY_LIMITER_H

#include "clementine_admission/gate/admission_ticket.h"
#include "clementine_core/time/clock.h"

#include <cstddef>

namespace clementine {

/// A measurement of the upstream's load from a finished attempt.
struct load_sample {
  work_outcome Outcome = work_outcome::Completed;
  instant StartedAt;
  /// The time from start to end, without sub-calls.
  duration OwnTime{0};
  /// The number of attempts that were running when it started, itself included.
  std::size_t InFlightAtStart = 0;
  /// Whether the limit was reached just before the attempt ended.
  bool LimitReached = false;
  /// The time in sub-calls, during which the attempt occupied its slot too.
  duration SubCallTime{0};

  auto operator<=>(const load_sample &) const = default;
};

/// Limits how many attempts may run at once on one upstream.
class concurrency_limiter {
public:
  virtual ~concurrency_limiter() = default;

  /// @returns the maximum number of attempts that may run at once; at least 1.
  virtual std::size_t limit() const = 0;

  /// Updates the limit from an attempt that ended at @p Now.
  virtual void addSample(const load_sample &Sample, instant Now) = 0;
};

} // namespace clementine

#endif
