#include "clementine_node/observe/caller_usage.h"

#include <cmath>

namespace clementine {

namespace {

/// Time constant of the decay: a request of this age counts for 1/e.
constexpr std::chrono::seconds DecayTime{5};

double seconds(duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

void caller_usage::add(const std::string &Caller, double Cost, duration Taken,
                       bool IsRefused) {
  const instant Now = Clock.now();
  const std::lock_guard Lock(Mutex);
  if (Callers.size() >= MaxCallers && !Callers.contains(Caller))
    return;
  decayed_sums &Sums = Callers[Caller];
  Sums = decayedTo(Sums, Now);
  Sums.Calls += 1;
  Sums.Cost += IsRefused ? 0 : Cost;
  Sums.Seconds += seconds(Taken);
  Sums.Refused += IsRefused ? 1 : 0;
}

caller_statistics caller_usage::statisticsOf(const std::string &Caller) const {
  const instant Now = Clock.now();
  const std::lock_guard Lock(Mutex);
  const auto Found = Callers.find(Caller);
  if (Found == Callers.end())
    return {};
  const decayed_sums Sums = decayedTo(Found->second, Now);
  const double PerSecond = 1 / seconds(DecayTime);
  return {Sums.Calls * PerSecond, Sums.Cost * PerSecond,
          static_cast<std::uint64_t>(std::lround(Sums.Seconds * PerSecond)),
          Sums.Refused};
}

caller_usage::decayed_sums caller_usage::decayedTo(decayed_sums Sums,
                                                   instant Now) {
  const double Factor = std::exp(-seconds(Now - Sums.At) / seconds(DecayTime));
  Sums.Calls *= Factor;
  Sums.Cost *= Factor;
  Sums.Seconds *= Factor;
  Sums.At = Now;
  return Sums;
}

} // namespace clementine
