#ifndef CLEMENTINE_LOAD_MEASURE_MEASUREMENT_H
#define CLEMENTINE_LOAD_MEASURE_MEASUREMENT_H

#include "clementine_load/decisions/request_record.h"
#include "clementine_load/description/scenario.h"
#include "clementine_load/measure/run_journal.h"

#include <array>
#include <optional>
#include <vector>

namespace clementine::load {

/// Counts of one span of time, one for each importance.
struct timeline_point {
  /// The span's begin, counted from the run's begin.
  duration Begin{0};
  std::array<std::uint64_t, ImportanceLevels> Arrived{};
  /// Whole answers by the time they came.
  std::array<std::uint64_t, ImportanceLevels> Succeeded{};
  /// Whole answers by the time their requests had arrived.
  std::array<std::uint64_t, ImportanceLevels> SucceededOfArrived{};
};

/// Totals of one importance in one phase.
struct phase_counts {
  std::uint64_t Arrived = 0;
  std::uint64_t Succeeded = 0;
};

/// Totals of one phase of a run.
struct phase_result {
  std::string Name;
  duration Begin{0};
  duration End{0};
  std::array<phase_counts, ImportanceLevels> Levels{};
};

/// What a run showed.
struct measurement {
  std::vector<timeline_point> Timeline;
  std::vector<phase_result> Phases;
  /// From the last surge's end to the first moment from which the share of
  /// whole requests stays at 95% of the share before the first surge, to the
  /// run's end; empty if that never came. Shares of arrivals are compared, so
  /// that the chance of Poisson arrivals isn't taken for a loss.
  std::optional<duration> Recovery;
  std::uint64_t Requests = 0;
  std::uint64_t Succeeded = 0;
  /// Sends that reached a node, for each request.
  double SendsPerRequest = 0;
  /// Runs at upstreams, for each request with at least one.
  double RunsPerRequest = 0;
  duration BusyTime{0};
  /// Busy time of runs whose requests did not complete whole.
  duration WastedTime{0};
  std::array<std::uint64_t, 7> SendsByOutcome{};
  /// Requests told "not run" although a part had run by then.
  std::uint64_t NotRunButRan = 0;
  /// Runs beyond the first of a part that may not be repeated.
  std::uint64_t RunTwice = 0;
  /// Answers that were not the caller's own whole answer.
  std::uint64_t WrongAnswers = 0;

  /// @returns the wasted share of the busy time.
  double wastedShare() const;

  /// @returns whether the last three counts are all 0.
  bool isCorrect() const;
};

/// The width of a timeline point.
constexpr duration TimelineStep = std::chrono::milliseconds(250);

/// Works out the measurement of a run. Free of I/O.
/// @param Begin the instant from which the scenario's times count.
measurement measure(const scenario &Scenario, const deployment &Deployment,
                    instant Begin, const std::vector<request_record> &Requests,
                    const run_index &Runs);

} // namespace clementine::load

#endif
