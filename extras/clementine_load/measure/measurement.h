#ifndef CLEMENTINE_LOAD_MEASURE_MEASUREMENT_H
#define CLEMENTINE_LOAD_MEASURE_MEASUREMENT_H

#include "clementine_load/decisions/request_record.h"
#include "clementine_load/description/scenario.h"
#include "clementine_load/measure/run_journal.h"

#include <array>
#include <optional>
#include <vector>

namespace clementine::load {

/// Request counts of one timeline step for each importance.
struct timeline_point {
  /// The start of the step, relative to the start of the run.
  duration Begin{0};
  std::array<std::uint64_t, ImportanceLevels> Arrived{};
  /// Successful requests, counted at the time of their answer.
  std::array<std::uint64_t, ImportanceLevels> Succeeded{};
  /// Successful requests, counted at the time of their arrival.
  std::array<std::uint64_t, ImportanceLevels> SucceededOfArrived{};
};

/// Request counts of one importance in one phase.
struct phase_counts {
  std::uint64_t Arrived = 0;
  std::uint64_t Succeeded = 0;
};

/// Request counts of one phase of a run.
struct phase_result {
  std::string Name;
  duration Begin{0};
  duration End{0};
  std::array<phase_counts, ImportanceLevels> Levels{};
};

/// The results of a run.
struct measurement {
  std::vector<timeline_point> Timeline;
  std::vector<phase_result> Phases;
  /// The time from the end of the last surge until the share of successful
  /// requests reaches 95% of the share before the first surge and stays there
  /// to the end of the run; empty if that does not happen. Shares of arrivals
  /// are compared, not rates, so that the random variation of Poisson arrivals
  /// isn't counted as a loss.
  std::optional<duration> Recovery;
  std::uint64_t Requests = 0;
  std::uint64_t Succeeded = 0;
  /// The mean number of sends per request, without unsent ones.
  double SendsPerRequest = 0;
  /// The mean number of runs at upstreams per request with at least one run.
  double RunsPerRequest = 0;
  duration BusyTime{0};
  /// Busy time of runs whose requests did not succeed.
  duration WastedTime{0};
  std::array<std::uint64_t, 7> SendsByOutcome{};
  /// Requests answered with "not run" although an upstream began a run that no
  /// later send can have caused.
  std::uint64_t NotRunButRan = 0;
  /// Extra runs of operations that may run at most once for each request.
  std::uint64_t RunTwice = 0;
  /// Answers with success that were not the complete answer to the request.
  std::uint64_t WrongAnswers = 0;

  /// @returns the share of the busy time that was wasted, from 0 to 1.
  double wastedShare() const;

  /// @returns whether NotRunButRan, RunTwice and WrongAnswers are all 0.
  bool isCorrect() const;
};

/// The width of a timeline point.
constexpr duration TimelineStep = std::chrono::milliseconds(250);

/// Computes the results of a run. Performs no I/O.
/// @param Begin the start of the run, to which the scenario's times are
/// relative.
measurement measure(const scenario &Scenario, const deployment &Deployment,
                    instant Begin, const std::vector<request_record> &Requests,
                    const run_index &Runs);

} // namespace clementine::load

#endif
