#ifndef STAND_IN_UPSTREAM_SERVER_SERVICE_TIME_H
#define STAND_IN_UPSTREAM_SERVER_SERVICE_TIME_H

#include "clementine_core/random/random_source.h"
#include "clementine_core/time/clock.h"

namespace clementine::stand_in {

/// @returns a random factor with a log-normal distribution and the mean 1.
/// @param Spread the standard deviation of its logarithm.
double sampleSpread(random_source &Random, double Spread);

/// @returns the factor by which work is slower at @p Age after a cold start:
/// @p Factor at first, falling linearly to 1 at @p ColdTime.
double coldFactor(duration Age, duration ColdTime, double Factor);

} // namespace clementine::stand_in

#endif
