#include "clementine_load/measure/measurement.h"

#include <algorithm>
#include <map>

namespace clementine::load {

namespace {

/// The length of the window over which the share of successful requests is
/// compared, in timeline steps.
constexpr std::size_t RecoveryWindowSteps = 4;

/// The share of successful requests that counts as recovered, relative to the
/// share before the first surge.
constexpr double RecoveredShare = 0.95;

std::size_t levelOf(const scenario &Scenario, const request_record &Request) {
  return static_cast<std::size_t>(Scenario.Streams[Request.Stream].Level);
}

std::uint64_t sum(const std::array<std::uint64_t, ImportanceLevels> &Counts) {
  std::uint64_t Sum = 0;
  for (const std::uint64_t Count : Counts)
    Sum += Count;
  return Sum;
}

std::vector<timeline_point>
makeTimeline(const scenario &Scenario, instant Begin,
             const std::vector<request_record> &Requests) {
  const auto Steps = static_cast<std::size_t>(
      (Scenario.Duration + Scenario.RequestTimeout) / TimelineStep + 1);
  std::vector<timeline_point> Timeline(Steps);
  for (std::size_t Step = 0; Step < Steps; ++Step)
    Timeline[Step].Begin = TimelineStep * static_cast<std::int64_t>(Step);
  const auto PointAt = [&](instant Time) -> timeline_point & {
    const auto Step = std::max<std::int64_t>(0, (Time - Begin) / TimelineStep);
    return Timeline[std::min(static_cast<std::size_t>(Step), Steps - 1)];
  };
  for (const request_record &Request : Requests) {
    const std::size_t Level = levelOf(Scenario, Request);
    ++PointAt(Request.Arrived).Arrived.at(Level);
    if (!Request.hasSucceeded())
      continue;
    ++PointAt(Request.Arrived).SucceededOfArrived.at(Level);
    ++PointAt(Request.Sends.back().Ended).Succeeded.at(Level);
  }
  return Timeline;
}

/// Divides a run into phases at the start and end of each surge.
std::vector<phase_result> makePhases(const scenario &Scenario) {
  std::vector<surge_phase> Surges = Scenario.Surges;
  std::sort(Surges.begin(), Surges.end(),
            [](const surge_phase &Left, const surge_phase &Right) {
              return Left.Begin < Right.Begin;
            });
  std::vector<phase_result> Phases;
  duration Begin = Scenario.WarmUp;
  for (const surge_phase &Surge : Surges) {
    Phases.push_back(
        {Phases.empty() ? "before" : "between", Begin, Surge.Begin, {}});
    Phases.push_back({"surge", Surge.Begin, Surge.End, {}});
    Begin = Surge.End;
  }
  Phases.push_back(
      {Surges.empty() ? "whole run" : "after", Begin, Scenario.Duration, {}});
  return Phases;
}

void countPhases(const scenario &Scenario, instant Begin,
                 const std::vector<request_record> &Requests,
                 std::vector<phase_result> &Phases) {
  for (const request_record &Request : Requests) {
    const duration Time = Request.Arrived - Begin;
    for (phase_result &Phase : Phases) {
      if (Time < Phase.Begin || Time >= Phase.End)
        continue;
      phase_counts &Counts = Phase.Levels.at(levelOf(Scenario, Request));
      ++Counts.Arrived;
      Counts.Succeeded += Request.hasSucceeded() ? 1 : 0;
    }
  }
}

double shareBetween(const std::vector<timeline_point> &Timeline, duration From,
                    duration To) {
  std::uint64_t Arrived = 0;
  std::uint64_t Succeeded = 0;
  for (const timeline_point &Point : Timeline) {
    if (Point.Begin < From || Point.Begin >= To)
      continue;
    Arrived += sum(Point.Arrived);
    Succeeded += sum(Point.SucceededOfArrived);
  }
  return Arrived == 0
             ? 1
             : static_cast<double>(Succeeded) / static_cast<double>(Arrived);
}

std::optional<duration>
findRecovery(const scenario &Scenario,
             const std::vector<timeline_point> &Timeline) {
  const surge_phase *Surge = Scenario.lastSurge();
  if (Surge == nullptr)
    return std::nullopt;
  duration FirstBegin = Surge->Begin;
  for (const surge_phase &Each : Scenario.Surges)
    FirstBegin = std::min(FirstBegin, Each.Begin);
  const double Needed =
      RecoveredShare * shareBetween(Timeline, Scenario.WarmUp, FirstBegin);
  const duration Window =
      TimelineStep * static_cast<std::int64_t>(RecoveryWindowSteps);
  std::optional<duration> Recovered;
  for (const timeline_point &Point : Timeline) {
    if (Point.Begin < Surge->End || Point.Begin + Window > Scenario.Duration)
      continue;
    const double Share =
        shareBetween(Timeline, Point.Begin, Point.Begin + Window);
    if (Share < Needed)
      Recovered.reset();
    else if (!Recovered)
      Recovered = Point.Begin - Surge->End;
  }
  return Recovered;
}

/// @returns whether a send was answered with "not run" although a run of the
/// request began before the next send, which therefore can't have caused it.
bool hasFalseNotRun(const request_record &Request,
                    const std::vector<upstream_run> &Runs) {
  for (std::size_t Index = 0; Index < Request.Sends.size(); ++Index) {
    if (Request.Sends[Index].Outcome != send_outcome::NotRun)
      continue;
    const bool IsLast = Index + 1 == Request.Sends.size();
    const instant NextSent =
        IsLast ? instant::max() : Request.Sends[Index + 1].Sent;
    if (std::any_of(Runs.begin(), Runs.end(), [&](const upstream_run &Run) {
          return Run.Begun < NextSent;
        }))
      return true;
  }
  return false;
}

std::uint64_t countRunTwice(const deployment &Deployment,
                            const std::vector<upstream_run> &Runs) {
  std::map<std::string, std::uint64_t> Begun;
  for (const upstream_run &Run : Runs) {
    const service_description *Service = Deployment.find(Run.Service);
    if (Service != nullptr && Service->NotRepeatable.contains(Run.Operation))
      ++Begun[Run.Service + "/" + Run.Operation];
  }
  std::uint64_t Extra = 0;
  for (const auto &[Operation, Count] : Begun)
    Extra += Count - 1;
  return Extra;
}

void countRuns(const deployment &Deployment, const request_record &Request,
               const run_index &Runs, measurement &Result,
               std::uint64_t &RunCount, std::uint64_t &WithRuns) {
  const auto Found = Runs.find(Request.Nonce);
  if (Found == Runs.end())
    return;
  ++WithRuns;
  RunCount += Found->second.size();
  Result.RunTwice += countRunTwice(Deployment, Found->second);
  Result.NotRunButRan += hasFalseNotRun(Request, Found->second) ? 1 : 0;
  for (const upstream_run &Run : Found->second) {
    Result.BusyTime += Run.Busy;
    if (!Request.hasSucceeded())
      Result.WastedTime += Run.Busy;
  }
}

double ratio(std::uint64_t Count, std::uint64_t Of) {
  return Of == 0 ? 0 : static_cast<double>(Count) / static_cast<double>(Of);
}

} // namespace

double measurement::wastedShare() const {
  return BusyTime == duration(0) ? 0
                                 : static_cast<double>(WastedTime.count()) /
                                       static_cast<double>(BusyTime.count());
}

bool measurement::isCorrect() const {
  return NotRunButRan == 0 && RunTwice == 0 && WrongAnswers == 0;
}

measurement measure(const scenario &Scenario, const deployment &Deployment,
                    instant Begin, const std::vector<request_record> &Requests,
                    const run_index &Runs) {
  measurement Result;
  Result.Timeline = makeTimeline(Scenario, Begin, Requests);
  Result.Phases = makePhases(Scenario);
  countPhases(Scenario, Begin, Requests, Result.Phases);
  Result.Recovery = findRecovery(Scenario, Result.Timeline);
  Result.Requests = Requests.size();
  std::uint64_t RunCount = 0;
  std::uint64_t WithRuns = 0;
  std::uint64_t Sent = 0;
  for (const request_record &Request : Requests) {
    Result.Succeeded += Request.hasSucceeded() ? 1 : 0;
    for (const send_record &Send : Request.Sends) {
      ++Result.SendsByOutcome.at(static_cast<std::size_t>(Send.Outcome));
      Sent += Send.Outcome == send_outcome::Unsent ? 0 : 1;
      Result.WrongAnswers += Send.Outcome == send_outcome::Wrong ? 1 : 0;
    }
    countRuns(Deployment, Request, Runs, Result, RunCount, WithRuns);
  }
  Result.SendsPerRequest = ratio(Sent, Result.Requests);
  Result.RunsPerRequest = ratio(RunCount, WithRuns);
  return Result;
}

} // namespace clementine::load
