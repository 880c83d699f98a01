#ifndef CLEMENTINE_LOAD_DECISIONS_ARRIVAL_SCHEDULE_H
#define CLEMENTINE_LOAD_DECISIONS_ARRIVAL_SCHEDULE_H

#include "clementine_load/description/scenario.h"

#include <vector>

namespace clementine::load {

/// One request that will arrive, whatever became of those before it.
struct arrival {
  /// Counted from the run's begin.
  duration Time{0};
  std::size_t Stream = 0;

  bool operator==(const arrival &) const = default;
};

/// @returns the arrivals of all streams in the order of time: a Poisson process
/// for each stream, thinned to the rate of each moment (Lewis and Shedler,
/// 1979). The same seed gives the same arrivals.
std::vector<arrival> scheduleArrivals(const scenario &Scenario);

} // namespace clementine::load

#endif
