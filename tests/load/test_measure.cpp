#include "clementine_load/decisions/answer_check.h"
#include "clementine_load/decisions/arrival_schedule.h"
#include "clementine_load/decisions/resend_policy.h"
#include "clementine_load/measure/measurement.h"
#include "clementine_load/output/report.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <sstream>

using namespace clementine;
using namespace clementine::load;
using namespace std::chrono_literals;

namespace {

const instant Begin{1h};

deployment smallDeployment() {
  deployment Deployment;
  service_description Front;
  Front.Name = "front";
  Front.Calls["book"] = {{"back", "hold"}};
  Front.NotRepeatable = {"book"};
  service_description Back;
  Back.Name = "back";
  Deployment.Services = {Front, Back};
  return Deployment;
}

scenario surgeScenario() {
  scenario Scenario;
  Scenario.Duration = 20s;
  Scenario.RequestTimeout = 2s;
  Scenario.Streams = {{"desk", {"front", "book"}, importance::Critical, 50},
                      {"web", {"back", "hold"}, importance::Low, 50}};
  Scenario.Surges = {{6s, 10s, 3}};
  return Scenario;
}

request_record requestAt(duration Time, const std::string &Nonce,
                         const std::vector<send_outcome> &Outcomes) {
  request_record Request;
  Request.Nonce = Nonce;
  Request.Arrived = Begin + Time;
  instant Sent = Request.Arrived;
  for (const send_outcome Outcome : Outcomes) {
    Request.Sends.push_back({Sent, Sent + 50ms, Outcome});
    Sent += 100ms;
  }
  return Request;
}

measurement measureOne(const request_record &Request, const run_index &Runs) {
  return measure(surgeScenario(), smallDeployment(), Begin, {Request}, Runs);
}

upstream_run runAt(duration Time, const std::string &Operation = "book") {
  return {Operation == "book" ? "front" : "back",
          Operation,
          Begin + Time,
          10ms,
          true,
          true};
}

} // namespace

TEST_CASE("arrivals are reproducible from the seed and follow the rate") {
  const auto Scenario = surgeScenario();
  const auto Arrivals = scheduleArrivals(Scenario);
  CHECK(Arrivals == scheduleArrivals(Scenario));
  std::size_t InSurge = 0;
  for (const arrival &Arrival : Arrivals)
    InSurge += Scenario.factorAt(Arrival.Time) > 1 ? 1 : 0;
  // 4 s at 300/s and 16 s at 100/s; the tolerances are five standard
  // deviations.
  CHECK(InSurge == doctest::Approx(1200).epsilon(0.15));
  CHECK(Arrivals.size() - InSurge == doctest::Approx(1600).epsilon(0.13));
}

TEST_CASE("clients resend by their policy and within the request timeout") {
  auto Scenario = surgeScenario();
  Scenario.Resend = resend_kind::BackOff;
  Scenario.MaxSends = 3;
  seeded_random Random(1);
  const resend_policy Policy(Scenario);
  const auto Next = [&](const std::vector<send_outcome> &Outcomes,
                        instant Now) {
    return Policy.nextSendTime(requestAt(0s, "n", Outcomes), Now, Random);
  };
  using enum send_outcome;
  CHECK_FALSE(Next({Succeeded}, Begin));
  CHECK(Next({NotRun}, Begin) > Begin + 49ms);
  CHECK(Next({NotRun}, Begin) < Begin + 101ms);
  CHECK(Next({Broken, Unknown}, Begin) > Begin + 99ms);
  CHECK_FALSE(Next({Broken, Unknown, Failed}, Begin));
  CHECK_FALSE(Next({NotRun}, Begin + 2s));
  CHECK(Next({NotRun, Unsent}, Begin));
  Scenario.Resend = resend_kind::Never;
  CHECK_FALSE(Next({NotRun}, Begin));
  CHECK(Next({Unsent}, Begin));
  CHECK_FALSE(Next({Unsent, Unsent, Unsent, Unsent, Unsent}, Begin));
  CHECK_FALSE(resend_policy::mayHaveRun(requestAt(0s, "n", {Unsent})));
  CHECK_FALSE(resend_policy::mayHaveRun(requestAt(0s, "n", {Unsent, NotRun})));
  CHECK(resend_policy::mayHaveRun(requestAt(0s, "n", {Unsent, Broken})));
  CHECK(resend_policy::mayHaveRun(requestAt(0s, "n", {Unknown, NotRun})));
}

TEST_CASE(
    "an answer succeeds only with all sub-calls and the request's nonce") {
  const auto Deployment = smallDeployment();
  const nlohmann::json Complete = {{"service", "front"},
                                   {"operation", "book"},
                                   {"echo", "n1"},
                                   {"calls",
                                    {{{"service", "back"},
                                      {"operation", "hold"},
                                      {"echo", "n1"},
                                      {"calls", nlohmann::json::array()}}}}};
  const auto Classify = [&](const std::string &Body, long Status = 200,
                            std::string_view Outcome = "completed") {
    return classifyAnswer(Deployment, {"front", "book"}, "n1",
                          {Status, Outcome, Body});
  };
  CHECK(Classify(Complete.dump()) == send_outcome::Succeeded);
  auto Foreign = Complete;
  Foreign["calls"][0]["echo"] = "n2";
  CHECK(Classify(Foreign.dump()) == send_outcome::Wrong);
  auto Partial = Complete;
  Partial["calls"].clear();
  CHECK(Classify(Partial.dump()) == send_outcome::Wrong);
  CHECK(Classify(Complete.dump().substr(0, 40)) == send_outcome::Wrong);
  CHECK(Classify(Complete.dump(), 502) == send_outcome::Failed);
  CHECK(Classify("", 503, "not-run") == send_outcome::NotRun);
  CHECK(Classify("", 504, "unknown") == send_outcome::Unknown);
}

TEST_CASE(
    "a false \"not run\" is counted, a run caused by a later send is not") {
  using enum send_outcome;
  CHECK(measureOne(requestAt(1s, "n", {NotRun}), {}).NotRunButRan == 0);
  CHECK(measureOne(requestAt(1s, "n", {NotRun}), {{"n", {runAt(1s)}}})
            .NotRunButRan == 1);
  // A run that begins only after the answer is counted too.
  CHECK(measureOne(requestAt(1s, "n", {NotRun}), {{"n", {runAt(5s)}}})
            .NotRunButRan == 1);
  const auto Twice = requestAt(1s, "n", {NotRun, Succeeded});
  CHECK(measureOne(Twice, {{"n", {runAt(1120ms)}}}).NotRunButRan == 0);
  CHECK(measureOne(Twice, {{"n", {runAt(1020ms)}}}).NotRunButRan == 1);
  CHECK(
      measureOne(requestAt(1s, "n", {Broken, NotRun}), {{"n", {runAt(1020ms)}}})
          .NotRunButRan == 1);
  CHECK(measureOne(requestAt(1s, "n", {Unknown}), {{"n", {runAt(1s)}}})
            .isCorrect());
}

TEST_CASE("a second run is counted only for non-repeatable operations") {
  using enum send_outcome;
  const auto Request = requestAt(1s, "n", {Succeeded});
  CHECK(measureOne(Request, {{"n", {runAt(1s), runAt(2s)}}}).RunTwice == 1);
  CHECK(measureOne(Request, {{"n", {runAt(1s, "hold"), runAt(2s, "hold")}}})
            .RunTwice == 0);
  CHECK(measureOne(requestAt(1s, "n", {Wrong}), {}).WrongAnswers == 1);
}

TEST_CASE("upstream time of requests that did not succeed is wasted") {
  using enum send_outcome;
  const run_index Runs = {{"a", {runAt(1s)}}, {"b", {runAt(1s), runAt(2s)}}};
  const auto Result = measure(
      surgeScenario(), smallDeployment(), Begin,
      {requestAt(1s, "a", {Succeeded}), requestAt(1s, "b", {Broken})}, Runs);
  CHECK(Result.wastedShare() == doctest::Approx(2.0 / 3));
  CHECK(Result.RunsPerRequest == doctest::Approx(1.5));
}

TEST_CASE("recovery is the first time from which the share stays recovered") {
  using enum send_outcome;
  const auto RecoveryWith = [](duration FailFrom, duration FailTo) {
    std::vector<request_record> Requests;
    for (duration Time{0}; Time < 20s; Time += 10ms)
      Requests.push_back(requestAt(
          Time, "n", {Time >= FailFrom && Time < FailTo ? NotRun : Succeeded}));
    return measure(surgeScenario(), smallDeployment(), Begin, Requests, {})
        .Recovery;
  };
  CHECK(RecoveryWith(6s, 10s) == duration(0));
  CHECK(RecoveryWith(6s, 11500ms) == duration(1500ms));
  // A later drop of the share delays recovery until its end.
  CHECK(RecoveryWith(14s, 15s) == duration(5s));
  CHECK_FALSE(RecoveryWith(19s, 20s));
}

TEST_CASE("a journal is parsed into runs, and malformed lines are counted") {
  std::istringstream Journal("begin book k n 1000\n"
                             "begin book k n 2000\n"
                             "aborted book k n 0\n"
                             "completed book k n 500\n"
                             "odd\ncompleted other k m 5\nbegin book k n x\n");
  run_index Runs;
  CHECK(readJournal(Journal, "front", Runs) == 3);
  REQUIRE(Runs["n"].size() == 2);
  CHECK(Runs["n"][0].Begun == instant(1ms));
  CHECK_FALSE(Runs["n"][0].IsCompleted);
  CHECK(Runs["n"][1].Busy == 500us);
}

TEST_CASE("reports contain the count of wrong answers") {
  const auto Scenario = surgeScenario();
  const auto Result = measureOne(requestAt(1s, "n", {send_outcome::Wrong}), {});
  CHECK(formatTable(Scenario, Result)
            .find("answers to the wrong caller             1") !=
        std::string::npos);
  CHECK(nlohmann::json::parse(formatJson(Scenario, Result))["wrong_answers"] ==
        1);
  CHECK(formatCsv(Result).find("1.00,critical,1,0,0") != std::string::npos);
  CHECK(formatSvg(Scenario, Result).find("<polyline") != std::string::npos);
}
