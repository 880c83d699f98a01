#include "clementine_proxy/gate/ended_runs.h"

#include <doctest/doctest.h>

using namespace clementine;
using namespace clementine::proxy;
using namespace std::chrono_literals;

namespace {

run_report completed(std::uint64_t Number, std::size_t BodyBytes) {
  run_report Report;
  Report.Attempt = {1, Number};
  Report.Outcome = run_outcome::Completed;
  Report.Response.Status = 200;
  Report.Response.Headers = {{"A", "b"}};
  Report.Response.Body.assign(BodyBytes, 'x');
  return Report;
}

} // namespace

TEST_CASE("what a gate keeps of ended runs is bounded in number and bytes") {
  ended_run_settings Settings;
  Settings.MaxResponses = 20;
  Settings.MaxResponseBytes = 1000;
  Settings.MaxRuns = 50;
  ended_runs Runs(Settings);
  const instant Now{1000s};
  std::size_t MostBytes = 0;
  for (std::uint64_t Number = 1; Number <= 500; ++Number) {
    Runs.store({"e", 1, Number}, completed(Number, Number % 90), Now);
    MostBytes = std::max(MostBytes, Runs.responseBytes());
  }
  CHECK(Runs.size() == 50);
  CHECK(MostBytes <= 1000);
  CHECK(MostBytes > 500);
  CHECK(Runs.find({1, 500})->Outcome == run_outcome::Completed);
  CHECK(Runs.find({1, 451})->Outcome == run_outcome::Unknown);
  CHECK_FALSE(Runs.find({1, 450}));
  CHECK(Runs.mayBeForgotten({"e", 1, 450}));
  CHECK_FALSE(Runs.mayBeForgotten({"e", 1, 451}));
  Runs.passTime(Now + 4s);
  CHECK(Runs.responseBytes() == 0);
}

TEST_CASE("a run that ends late lowers no floor") {
  attempt_floors Floors;
  Floors.forget({"e", 1, 9});
  Floors.forget({"e", 1, 3});
  CHECK(Floors.mayBeForgotten({"e", 1, 9}));
  CHECK_FALSE(Floors.mayBeForgotten({"e", 1, 10}));
}

TEST_CASE("attempts of more processes of a node than are kept apart are taken "
          "for forgotten, those of its later processes are not") {
  attempt_floors Floors;
  const std::uint64_t Last = 10 + attempt_floors::MaxProcesses;
  for (std::uint64_t Incarnation = 10; Incarnation <= Last; ++Incarnation)
    Floors.forget({"e", Incarnation, 1});
  CHECK(Floors.mayBeForgotten({"e", 10, 50}));
  CHECK(Floors.mayBeForgotten({"e", 9, 50}));
  CHECK_FALSE(Floors.mayBeForgotten({"e", 11, 2}));
  CHECK(Floors.mayBeForgotten({"e", 11, 1}));
  CHECK_FALSE(Floors.mayBeForgotten({"e", Last + 1, 1}));
  Floors.forget({"e", 10, 7});
  CHECK(Floors.mayBeForgotten({"e", 10, 50}));
  CHECK_FALSE(Floors.mayBeForgotten({"e", 11, 2}));
  CHECK_FALSE(Floors.mayBeForgotten({"f", 10, 1}));
}

TEST_CASE("an attempt without a number says nothing about others") {
  attempt_floors Floors;
  Floors.forget({});
  CHECK_FALSE(Floors.mayBeForgotten({}));
  CHECK_FALSE(Floors.mayBeForgotten({"", 0, 1}));
}
