#include "scenario.h"

#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

using namespace clementine;

namespace {

std::unique_ptr<concurrency_limiter> learned(const scenario &) {
  return std::make_unique<adaptive_limiter>();
}

std::unique_ptr<concurrency_limiter> withoutNewFloor(const scenario &) {
  adaptive_limiter_settings Settings;
  Settings.CutsBeforeNewBaseline = 1000000;
  return std::make_unique<adaptive_limiter>(Settings);
}

variant learnedVariant(const char *Name) { return {Name, {}, learned}; }

std::vector<variant> variants() {
  std::vector<variant> All;
  variant None{"no control", {}, [](const scenario &) {
                 return std::make_unique<unlimited>();
               }};
  None.Gate.OrdersByRank = false;
  None.Gate.EnforcesDeadlines = false;
  All.push_back(None);
  All.push_back({"static, at the slots", {}, [](const scenario &Scenario) {
                   return std::make_unique<static_limiter>(Scenario.Slots);
                 }});
  All.push_back({"static, 100", {}, [](const scenario &) {
                   return std::make_unique<static_limiter>(100);
                 }});
  variant StaticWithoutLevel = All[1];
  StaticWithoutLevel.Name = " - level held";
  StaticWithoutLevel.Gate.RefusesBelowLevel = false;
  All.push_back(StaticWithoutLevel);
  All.push_back(learnedVariant("learned"));

  variant WithoutOrder = learnedVariant(" - order by rank");
  WithoutOrder.Gate.OrdersByRank = false;
  WithoutOrder.Gate.RefusesBelowLevel = false;
  All.push_back(WithoutOrder);
  variant WithoutLevel = learnedVariant(" - level held");
  WithoutLevel.Gate.RefusesBelowLevel = false;
  All.push_back(WithoutLevel);
  variant WithoutDeadlines = learnedVariant(" - deadlines");
  WithoutDeadlines.Gate.EnforcesDeadlines = false;
  All.push_back(WithoutDeadlines);
  for (const double Needed : {0.5, 2.0}) {
    variant Other = learnedVariant("");
    Other.Name = " needs " + std::to_string(Needed).substr(0, 3) + " times";
    Other.Gate.ServiceTimesNeeded = Needed;
    All.push_back(Other);
  }
  variant WithoutQueue = learnedVariant(" - queue");
  WithoutQueue.Gate.QueuedPerSlot = 0;
  WithoutQueue.Gate.MinimumQueueLength = 0;
  All.push_back(WithoutQueue);
  for (const double Length : {0.5, 2.0, 8.0}) {
    variant Other = learnedVariant("");
    Other.Name = " queue " + std::to_string(Length).substr(0, 3) + " a slot";
    Other.Gate.QueuedPerSlot = Length;
    All.push_back(Other);
  }
  All.push_back({" - new floor", {}, withoutNewFloor});
  variant WithoutSubCallTimeOrFloor{
      " - both of these", {}, withoutNewFloor, false};
  variant WithoutSubCallTime = learnedVariant(" - sub-call time");
  WithoutSubCallTime.ReportsSubCalls = false;
  All.push_back(WithoutSubCallTime);
  All.push_back(WithoutSubCallTimeOrFloor);
  return All;
}

std::vector<scenario> scenarios() {
  std::vector<scenario> All;
  for (const double Surge : {2.0, 3.0, 5.0, 10.0}) {
    scenario Plain{"surge, 55 slots"};
    Plain.Surge = Surge;
    All.push_back(Plain);
  }
  scenario Few{"surge, 15 slots, sigma 1"};
  Few.Slots = 15;
  Few.Connections = 200;
  Few.Sigma = 1.0;
  All.push_back(Few);
  scenario Many{"surge, 150 slots"};
  Many.Slots = 150;
  Many.Connections = 1000;
  All.push_back(Many);
  scenario Slow{"surge, service 5x slower for 5 s"};
  Slow.SlowStart = 10;
  Slow.SlowEnd = 15;
  Slow.ServiceSlowness = 5;
  Slow.AttemptTimeoutSeconds = 1.0;
  Slow.RequestTimeoutSeconds = 4.0;
  All.push_back(Slow);
  scenario Deep{"surge, sub-calls 10x slower for 5 s"};
  Deep.SubCallSeconds = 0.020;
  Deep.SlowStart = 10;
  Deep.SlowEnd = 15;
  Deep.SubCallSlowness = 10;
  Deep.AttemptTimeoutSeconds = 1.0;
  Deep.RequestTimeoutSeconds = 4.0;
  All.push_back(Deep);
  return All;
}

double percent(std::size_t Part, std::size_t Whole) {
  return Whole == 0
             ? 0.0
             : 100.0 * static_cast<double>(Part) / static_cast<double>(Whole);
}

void print(const variant &Variant, const run_report &Report) {
  std::printf("| %-20s | %5.1f |", Variant.Name.c_str(),
              100.0 * Report.Goodput);
  for (std::size_t Level = 0; Level < ImportanceLevels; ++Level)
    std::printf(" %5.1f |",
                percent(Report.Completed.at(Level), Report.Offered.at(Level)));
  std::printf(" %5.1f | %5.2f | %5.1f | %5.0f | %5zu |\n",
              100.0 * Report.Wasted, Report.Recovery,
              100.0 * Report.LowestAfter, Report.MeanLimit,
              Report.PriorityInversions);
}

} // namespace

/// Prints one table for each scenario.
///
/// Usage: admission_model [SEED [PART-OF-A-SCENARIO-NAME]]
int main(int ArgumentCount, char **Arguments) {
  const std::uint64_t Seed =
      ArgumentCount > 1 ? std::strtoull(Arguments[1], nullptr, 10) : 1;
  const std::string Wanted = ArgumentCount > 2 ? Arguments[2] : "";
  for (const scenario &Scenario : scenarios()) {
    if (Scenario.Name.find(Wanted) == std::string::npos)
      continue;
    std::printf("\n%gx %s (seed %llu)\n\n", Scenario.Surge,
                Scenario.Name.c_str(), static_cast<unsigned long long>(Seed));
    std::printf("| variant | goodput %% | critical %% | high %% | normal %% | "
                "low %% | wasted %% | recovery s | lowest after %% | limit | "
                "lesser after greater |\n");
    std::printf("|---|---|---|---|---|---|---|---|---|---|---|\n");
    for (const variant &Variant : variants())
      print(Variant, runScenario(Scenario, Variant, Seed));
    std::fflush(stdout);
  }
  return 0;
}
