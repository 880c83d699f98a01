#ifndef CLEMENTINE_ADMISSION_GATE_SERVICE_TIME_H
#define CLEMENTINE_ADMISSION_GATE_SERVICE_TIME_H

#include "clementine_core/time/clock.h"

namespace clementine {

/// Estimates how long an attempt takes from its start to its answer, sub-calls
/// included: an exponentially weighted mean over the recent attempts.
class service_time {
public:
  /// Adds the time of one attempt.
  void addSample(duration Taken);

  /// @returns the mean, or 0 before the first attempt.
  duration mean() const { return Mean; }

private:
  duration Mean{0};
  unsigned SampleCount = 0;
};

} // namespace clementine

#endif
