#include "clementine_routing/callers/token_bucket.h"

#include <algorithm>

namespace clementine {

namespace {

constexpr double NanosecondsPerSecond = 1e9;

/// The maximum wait that is reported; a longer one is of no more use to a
/// caller.
constexpr double MaximumWaitSeconds = 60.0;

} // namespace

void token_bucket::refill(double RatePerSecond, double Burst, instant Now) {
  const double Seconds =
      static_cast<double>((Now - FilledAt).count()) / NanosecondsPerSecond;
  const double Gained = RatePerSecond * std::max(0.0, Seconds);
  Tokens = Filled ? std::min(Tokens + Gained, Burst) : Burst;
  FilledAt = Now;
  Filled = true;
}

bool token_bucket::has(double Wanted, double Burst) const {
  return Tokens >= std::min(Wanted, Burst);
}

duration token_bucket::waitFor(double Wanted, double Burst,
                               double RatePerSecond) const {
  const double Missing = std::max(0.0, std::min(Wanted, Burst) - Tokens);
  const double Seconds =
      RatePerSecond > 0 ? std::min(Missing / RatePerSecond, MaximumWaitSeconds)
                        : MaximumWaitSeconds;
  return duration(static_cast<duration::rep>(Seconds * NanosecondsPerSecond));
}

} // namespace clementine
