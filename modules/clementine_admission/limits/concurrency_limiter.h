#ifndef CLEMENTINE_ADMISSION_LIMITS_CONCURRENCY_LIMITER_H
#define CLEMENTINE_ADMISSION_LIMITS_CONCURRENCY_LIMITER_H

#include "clementine_admission/gate/admission_ticket.h"
#include "clementine_core/time/clock.h"

#include <cstddef>

namespace clementine {

/// What a finished attempt tells about the upstream's load.
struct load_sample {
  work_outcome Outcome = work_outcome::Completed;
  instant StartedAt;
  /// The time from start to end without sub-calls.
  duration OwnTime{0};
  /// How many attempts were running when it started, itself included.
  std::size_t InFlightAtStart = 0;
  /// Whether as many ran as the limit allows just before it ended.
  bool LimitReached = false;
  /// The time in sub-calls, during which its slot was held too.
  duration SubCallTime{0};

  auto operator<=>(const load_sample &) const = default;
};

/// Says how many attempts may run at once on one upstream.
class concurrency_limiter {
public:
  virtual ~concurrency_limiter() = default;

  /// @returns the most attempts that may run at once; at least 1.
  virtual std::size_t limit() const = 0;

  /// Learns from an attempt that ended at @p Now.
  virtual void addSample(const load_sample &Sample, instant Now) = 0;
};

} // namespace clementine

#endif
