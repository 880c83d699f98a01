#ifndef CLEMENTINE_BENCHMARKS_ADMISSION_SCENARIO_H
#define CLEMENTINE_BENCHMARKS_ADMISSION_SCENARIO_H

#include "clementine_admission/clementine_admission.h"

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace clementine {

/// The clients and the upstream of one run.
struct scenario {
  std::string Name;
  std::size_t Slots = 55;
  /// More attempts than this at a time are shed by the upstream.
  std::size_t Connections = 450;
  /// The mean and the shape of the log-normal service time.
  double ServiceSeconds = 0.040;
  double Sigma = 0.5;
  /// The mean time of an exponential sub-call, which holds the slot.
  double SubCallSeconds = 0.0;
  /// Offered whole requests during the surge, as a multiple of the capacity.
  double Surge = 3.0;
  /// Offered whole requests before and after it.
  double Calm = 0.8;
  double SurgeStart = 5.0;
  double SurgeEnd = 15.0;
  double End = 23.0;
  /// From SlowStart to SlowEnd, service and sub-calls take this many times
  /// their usual time.
  double SlowStart = 0.0;
  double SlowEnd = 0.0;
  double ServiceSlowness = 1.0;
  double SubCallSlowness = 1.0;
  /// A client gives up an attempt after this time and sends it again at once.
  double AttemptSeconds = 0.25;
  /// A client gives up the whole request after this time.
  double PatienceSeconds = 2.0;
  /// A client sends a refused request again after this time.
  double RetrySeconds = 0.010;
  unsigned MostAttempts = 20;
  /// The share of each importance among the offered requests.
  std::array<double, ImportanceLevels> Mix{0.1, 0.2, 0.4, 0.3};
};

/// What is measured: a gate, and whether sub-calls are told to it.
struct variant {
  std::string Name;
  admission_gate_settings Gate;
  std::function<std::unique_ptr<concurrency_limiter>(const scenario &)> Limiter;
  bool TellsSubCalls = true;
};

/// The outcome of one run.
struct run_report {
  /// Whole requests offered and completed in time during the surge.
  std::array<std::size_t, ImportanceLevels> Offered{};
  std::array<std::size_t, ImportanceLevels> Completed{};
  /// Completed in the surge, as a share of what the slots could do in it.
  double Goodput = 0;
  /// The share of the upstream's time in the surge that went to attempts whose
  /// answers came too late.
  double Wasted = 0;
  /// Seconds from the end of the surge until the goodput of the second that
  /// follows is at 95% of its level before; -1 if never.
  double Recovery = 0;
  /// The lowest goodput of a second after that, as a share of the level before;
  /// a second wave would show here.
  double LowestAfter = 0;
  double MeanLimit = 0;
  /// Tickets that got in after a more important one was refused for load,
  /// before a slot was free.
  std::size_t LesserAfterGreater = 0;
};

/// Runs one variant in virtual time; the same seed gives the same run.
run_report runScenario(const scenario &Scenario, const variant &Variant,
                       std::uint64_t Seed);

} // namespace clementine

#endif
