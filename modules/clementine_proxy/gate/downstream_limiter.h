#ifndef CLEMENTINE_PROXY_GATE_DOWNSTREAM_LIMITER_H
#define CLEMENTINE_PROXY_GATE_DOWNSTREAM_LIMITER_H

#include "clementine_core/clementine_core.h"

#include <cstddef>

namespace clementine::proxy {

/// Parameters of a downstream_limiter.
struct downstream_limiter_settings {
  double MinLimit = 2;
  /// The range of the share by which one decrease lowers the limit.
  double MinDecrease = 0.2;
  double MaxDecrease = 0.6;
  /// The weight of the newest run in the moving average of failures.
  double FailureWeight = 0.1;
  /// Up to this share, failures are attributed to the instance itself and do
  /// not lower the limit. A single failure among successes stays below it.
  double ToleratedFailureShare = 0.12;
  /// How much a success adds to a limit in full use, shortly after a decrease.
  double Increase = 0.1;
  /// The time without a failure after which Increase doubles.
  duration IncreaseDoublingTime = std::chrono::milliseconds(700);
  /// The most that one success adds to the limit.
  double MaxIncrease = 1.0;

  bool operator==(const downstream_limiter_settings &) const = default;
};

/// Limits the concurrent runs of the lowest priority at one instance by their
/// failure rate: additive increase, multiplicative decrease.
///
/// An instance returns an error when a service that it calls is overloaded.
/// Shedding the lowest-priority work here, before it uses any resources, leaves
/// the capacity of that service to other requests.
class downstream_limiter {
public:
  /// @param Limit the initial and highest limit.
  downstream_limiter(downstream_limiter_settings Settings, double Limit);

  /// @returns whether one more run may start.
  bool admits() const { return static_cast<double>(Running) < Limit; }
  void started() { ++Running; }
  /// Ends a started run and adjusts the limit by its result.
  void ended(bool HasFailed, instant StartedAt, instant Now);
  /// Ends a started run whose result says nothing about downstream load.
  void endedWithoutResult();

  double limit() const { return Limit; }
  std::size_t running() const { return Running; }

private:
  void decrease(instant Now);
  void increase(instant Now);

  const downstream_limiter_settings Settings;
  const double MaxLimit;
  double Limit;
  std::size_t Running = 0;
  double FailureShare = 0;
  instant LastDecrease;
  instant LastFailure;
};

} // namespace clementine::proxy

#endif
