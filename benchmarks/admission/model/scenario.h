#ifndef CLEMENTINE_BENCHMARKS_ADMISSION_SCENARIO_H
#define CLEMENTINE_BENCHMARKS_ADMISSION_SCENARIO_H

#include "clementine_admission/clementine_admission.h"

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace clementine {

/// Parameters of the clients and the upstream in one run.
struct scenario {
  std::string Name;
  std::size_t Slots = 55;
  /// The upstream sheds attempts beyond this many concurrent ones.
  std::size_t Connections = 450;
  /// Mean and shape parameter of the log-normal service time.
  double ServiceSeconds = 0.040;
  double Sigma = 0.5;
  /// Mean of the exponential sub-call time; a sub-call occupies the slot.
  double SubCallSeconds = 0.0;
  /// Offered load during the surge, in requests without their retries, as a
  /// multiple of the capacity.
  double Surge = 3.0;
  /// Offered load before and after the surge, in the same unit.
  double BaseLoad = 0.8;
  double SurgeStart = 5.0;
  double SurgeEnd = 15.0;
  double End = 23.0;
  /// From SlowStart to SlowEnd, service and sub-calls take this many times
  /// their usual time.
  double SlowStart = 0.0;
  double SlowEnd = 0.0;
  double ServiceSlowness = 1.0;
  double SubCallSlowness = 1.0;
  /// Timeout of one attempt, after which the client retries immediately.
  double AttemptTimeoutSeconds = 0.25;
  /// Timeout of a request across all its attempts.
  double RequestTimeoutSeconds = 2.0;
  /// Delay before a client retries a refused request.
  double RetryDelaySeconds = 0.010;
  unsigned MaxAttempts = 20;
  /// The share of each importance among the offered requests.
  std::array<double, ImportanceLevels> Mix{0.1, 0.2, 0.4, 0.3};
};

/// A gate configuration to measure, and whether sub-call times are reported to
/// the gate.
struct variant {
  std::string Name;
  admission_gate_settings Gate;
  std::function<std::unique_ptr<concurrency_limiter>(const scenario &)> Limiter;
  bool ReportsSubCalls = true;
};

/// The outcome of one run.
struct run_report {
  /// Requests offered during the surge, and those of them completed in time,
  /// by importance. Retries are not counted.
  std::array<std::size_t, ImportanceLevels> Offered{};
  std::array<std::size_t, ImportanceLevels> Completed{};
  /// Requests completed during the surge, as a share of the capacity.
  double Goodput = 0;
  /// The share of the upstream's busy time in the surge that was spent on
  /// attempts whose responses came too late.
  double Wasted = 0;
  /// Seconds from the end of the surge until the goodput of the second that
  /// follows is at 95% of its level before; -1 if never.
  double Recovery = 0;
  /// The lowest goodput of a second after that, as a share of the level before;
  /// a second overload would show here.
  double LowestAfter = 0;
  double MeanLimit = 0;
  /// Tickets accepted after a more important one was refused because of load,
  /// before a slot became free (priority inversions).
  std::size_t PriorityInversions = 0;
};

/// Runs one variant in virtual time; the same seed gives the same run.
run_report runScenario(const scenario &Scenario, const variant &Variant,
                       std::uint64_t Seed);

} // namespace clementine

#endif
