#include "stand_in_upstream/server/service_time.h"

#include <cmath>
#include <numbers>

namespace clementine::stand_in {

double sampleSpread(random_source &Random, double Spread) {
  // The Box-Muller transform: two uniform numbers give a normal one.
  const double Radius = std::sqrt(-2 * std::log(1 - Random.unit()));
  const double Normal = Radius * std::cos(2 * std::numbers::pi * Random.unit());
  return std::exp(Spread * Normal - Spread * Spread / 2);
}

double coldFactor(duration Age, duration ColdTime, double Factor) {
  if (Age >= ColdTime)
    return 1;
  const double Left = 1 - static_cast<double>(Age.count()) /
                              static_cast<double>(ColdTime.count());
  return 1 + (Factor - 1) * Left;
}

} // namespace clementine::stand_in
