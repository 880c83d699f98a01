#ifndef CLEMENTINE_PROXY_GATE_DOWNSTREAM_LIMITER_H
#define CLEMENTINE_PROXY_GATE_DOWNSTREAM_LIMITER_H

#include "clementine_core/clementine_core.h"

#include <cstddef>

namespace clementine::proxy {

/// How a downstream_limiter moves.
struct downstream_limiter_settings {
  double LowestLimit = 2;
  /// The smallest and the largest share that one cut takes.
  double SmallestCut = 0.2;
  double LargestCut = 0.6;
  /// The weight of the newest run in the share of failures.
  double FailureWeight = 0.1;
  /// Up to this share failures are the instance's own; a single one among
  /// successes stays below it.
  double OwnFailureShare = 0.12;
  /// What a success adds to a limit that holds work back, shortly after a cut.
  double Growth = 0.1;
  /// Without a failure the growth doubles once in this time.
  duration GrowthDoubling = std::chrono::milliseconds(700);
  /// The most that one success adds.
  double LargestGrowth = 1.0;

  bool operator==(const downstream_limiter_settings &) const = default;
};

/// Bounds how many of the least urgent runs are under way at one instance by
/// how many of them fail: additive increase, multiplicative decrease.
///
/// An instance answers with a failure when a service that it calls is
/// overloaded. To hold the least urgent work back here, before it has cost
/// anything, leaves that service to what does get through.
class downstream_limiter {
public:
  /// @param Limit the limit before anything is known.
  downstream_limiter(downstream_limiter_settings Settings, double Limit);

  /// @returns whether one more run may begin.
  bool admits() const { return static_cast<double>(Running) < Limit; }
  void started() { ++Running; }
  /// Learns from a run that was started.
  void ended(bool HasFailed, instant StartedAt, instant Now);
  /// A started run ended in a way that tells nothing.
  void dropped();

  double limit() const { return Limit; }
  std::size_t running() const { return Running; }

private:
  void cut(instant Now);
  void grow(instant Now);

  const downstream_limiter_settings Settings;
  const double HighestLimit;
  double Limit;
  std::size_t Running = 0;
  double FailureShare = 0;
  instant LastCut;
  instant LastFailure;
};

} // namespace clementine::proxy

#endif
