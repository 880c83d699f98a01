#include "clementine_load/decisions/arrival_schedule.h"

#include "clementine_core/random/random_source.h"

#include <algorithm>
#include <cmath>

namespace clementine::load {

namespace {

double largestFactor(const scenario &Scenario) {
  double Largest = 1;
  for (const surge_phase &Surge : Scenario.Surges)
    Largest = std::max(Largest, Scenario.factorAt(Surge.Begin));
  return Largest;
}

void appendStream(const scenario &Scenario, std::size_t Stream,
                  random_source &Random, std::vector<arrival> &Arrivals) {
  const double Largest = largestFactor(Scenario);
  const double Rate =
      Largest * static_cast<double>(Scenario.Streams[Stream].Rate);
  double Seconds = 0;
  for (;;) {
    Seconds -= std::log(1 - Random.unit()) / Rate;
    const auto Time = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(Seconds));
    if (Time >= Scenario.Duration)
      return;
    if (Random.unit() * Largest < Scenario.factorAt(Time))
      Arrivals.push_back({Time, Stream});
  }
}

} // namespace

std::vector<arrival> scheduleArrivals(const scenario &Scenario) {
  std::vector<arrival> Arrivals;
  for (std::size_t Stream = 0; Stream < Scenario.Streams.size(); ++Stream) {
    if (Scenario.Streams[Stream].Rate == 0)
      continue;
    seeded_random Random(mixBits(Scenario.Seed + Stream * 1000003));
    appendStream(Scenario, Stream, Random, Arrivals);
  }
  std::stable_sort(Arrivals.begin(), Arrivals.end(),
                   [](const arrival &Left, const arrival &Right) {
                     return Left.Time < Right.Time;
                   });
  return Arrivals;
}

} // namespace clementine::load
