#include "virtual_mesh.h"

#include <doctest/doctest.h>

#include <cstdio>
#include <set>

using namespace clementine::proxy;
using namespace clementine::proxy::test;
using namespace std::chrono_literals;

namespace {

/// The time allowed after the deadline: the forwarder's CancelGrace of 80 ms,
/// in which it waits for the gate's report, and two ticks of 1 ms.
constexpr auto MaxOverrun = 82ms;
constexpr unsigned Ok = 200;
constexpr unsigned NotRun = 503;

std::vector<planned_fault> allFaults() {
  std::vector<planned_fault> All;
  for (std::size_t Fault = 0; Fault < FaultNames.size(); ++Fault)
    for (std::size_t Step = 0; Step < StepNames.size(); ++Step)
      All.push_back(
          {static_cast<attempt_step>(Step), static_cast<mesh_fault>(Fault)});
  return All;
}

std::string describeFault(const planned_fault &Fault) {
  return std::string(FaultNames.at(static_cast<std::size_t>(Fault.Fault))) +
         " while " + StepNames.at(static_cast<std::size_t>(Fault.Step));
}

/// Checks what has to hold after any fault.
void checkInvariants(const mesh_outcome &Outcome, bool IsIdempotent) {
  if (Outcome.CallerDisconnected)
    CHECK(Outcome.Statuses.size() <= 1);
  else
    CHECK(Outcome.Statuses.size() == 1);
  for (const unsigned Status : Outcome.Statuses) {
    if (Status == NotRun)
      CHECK(Outcome.Runs.empty());
    if (Status == Ok)
      CHECK(Outcome.CompletedRuns >= 1);
    CHECK((Status == Ok || Status == 502 || Status == NotRun || Status == 504));
  }
  CHECK(Outcome.Runs.size() <=
        (IsIdempotent ? virtual_mesh::MaxAttempts : std::size_t{1}));
  CHECK(
      std::set<std::string>(Outcome.Runs.begin(), Outcome.Runs.end()).size() ==
      Outcome.Runs.size());
  CHECK(Outcome.RunsAfterDeregistration == 0);
  CHECK(Outcome.Overrun <= MaxOverrun);
  CHECK(Outcome.Unfinished == 0);
}

std::string formatCell(const mesh_outcome &Outcome) {
  return (Outcome.Statuses.empty() ? std::string("-")
                                   : std::to_string(Outcome.Statuses[0])) +
         "/" + std::to_string(Outcome.Runs.size());
}

/// Whether the request can still succeed at another gate.
bool isSurvivable(mesh_fault Fault) {
  return Fault != mesh_fault::CallerDisconnects &&
         Fault != mesh_fault::DeadlinePassed;
}

} // namespace

/// Guards against lost or duplicate responses, a second run of a request that
/// is not idempotent, and a false "not run" when one fault hits an attempt.
TEST_CASE("a request keeps its guarantees under every fault at every step") {
  for (const bool IsIdempotent : {true, false}) {
    std::printf("%s (status/runs)\n%-20s",
                IsIdempotent ? "idempotent" : "not idempotent", "");
    for (const char *Step : StepNames)
      std::printf(" %-18s", Step);
    for (const planned_fault &Fault : allFaults()) {
      CAPTURE(describeFault(Fault));
      CAPTURE(IsIdempotent);
      const mesh_outcome Outcome = virtual_mesh(IsIdempotent, {Fault}).run();
      CHECK(Outcome.FaultsInjected == 1);
      checkInvariants(Outcome, IsIdempotent);
      if (IsIdempotent && isSurvivable(Fault.Fault))
        CHECK(Outcome.Statuses == std::vector<unsigned>{Ok});
      if (Fault.Step == attempt_step::Connecting)
        std::printf("\n%-20s",
                    FaultNames.at(static_cast<std::size_t>(Fault.Fault)));
      std::printf(" %-18s", formatCell(Outcome).c_str());
    }
    std::printf("\n");
  }
}

/// As above, with a second fault, which may hit the retry.
TEST_CASE("a request keeps its guarantees under every pair of faults") {
  std::size_t Pairs = 0;
  for (const bool IsIdempotent : {true, false})
    for (const planned_fault &First : allFaults())
      for (const planned_fault &Second : allFaults()) {
        CAPTURE(describeFault(First));
        CAPTURE(describeFault(Second));
        CAPTURE(IsIdempotent);
        const mesh_outcome Outcome =
            virtual_mesh(IsIdempotent, {First, Second}).run();
        checkInvariants(Outcome, IsIdempotent);
        Pairs += Outcome.FaultsInjected == 2 ? 1 : 0;
      }
  std::printf("%zu pairs of faults injected\n", Pairs);
  CHECK(Pairs > 1000);
}
