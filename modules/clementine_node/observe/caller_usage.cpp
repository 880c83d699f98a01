#include "clementine_node/observe/caller_usage.h"

#include <cmath>

namespace clementine {

namespace {

/// After this time a past request counts for 1/e.
constexpr std::chrono::seconds Memory{5};

double seconds(duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

void caller_usage::add(const std::string &Caller, double Cost, duration Taken,
                       bool IsRefused) {
  const instant Now = Clock.now();
  const std::lock_guard Lock(Mutex);
  if (Callers.size() >= MostCallers && !Callers.contains(Caller))
    return;
  decayed &Sums = Callers[Caller];
  Sums = decayedTo(Sums, Now);
  Sums.Calls += 1;
  Sums.Cost += IsRefused ? 0 : Cost;
  Sums.Seconds += seconds(Taken);
  Sums.Refused += IsRefused ? 1 : 0;
}

caller_statistics caller_usage::figuresOf(const std::string &Caller) const {
  const instant Now = Clock.now();
  const std::lock_guard Lock(Mutex);
  const auto Found = Callers.find(Caller);
  if (Found == Callers.end())
    return {};
  const decayed Sums = decayedTo(Found->second, Now);
  const double PerSecond = 1 / seconds(Memory);
  return {Sums.Calls * PerSecond, Sums.Cost * PerSecond,
          static_cast<std::uint64_t>(std::lround(Sums.Seconds * PerSecond)),
          Sums.Refused};
}

caller_usage::decayed caller_usage::decayedTo(decayed Sums, instant Now) {
  const double Kept = std::exp(-seconds(Now - Sums.At) / seconds(Memory));
  Sums.Calls *= Kept;
  Sums.Cost *= Kept;
  Sums.Seconds *= Kept;
  Sums.At = Now;
  return Sums;
}

} // namespace clementine
