#include "clementine_proxy/clementine_proxy.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace clementine;
using namespace clementine::proxy;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Link = 7;

/// Records the calls and reports of a gate.
class recording_port final : public gate_port {
public:
  void callInstance(instance_call Call) override {
    Called.push_back(std::move(Call));
  }
  void abortInstance(const attempt_id &Attempt) override {
    Aborted.push_back(Attempt);
  }
  void report(std::uint64_t To, run_report Report) override {
    Links.push_back(To);
    Reports.push_back(std::move(Report));
  }

  std::vector<instance_call> Called;
  std::vector<attempt_id> Aborted;
  std::vector<std::uint64_t> Links;
  std::vector<run_report> Reports;
};

/// A gate for an instance with two slots.
struct fixture {
  fixture() { reportState(instance_state::Ready, 1); }

  void reportState(instance_state State, std::uint64_t Sequence) {
    Registration.report(
        {"i-1", "svc", "z", {"127.0.0.1", 80}, State, 2, {}, 100, Sequence});
    Gate.instanceChanged(Now);
  }

  attempt_id order(std::uint32_t Priority = 1, bool IsIdempotent = true) {
    attempt_request AttemptRequest;
    AttemptRequest.Attempt = {1, ++Last};
    AttemptRequest.Service = "svc";
    AttemptRequest.Priority = Priority;
    AttemptRequest.IsIdempotent = IsIdempotent;
    AttemptRequest.TimeLeftMicroseconds = 1000000;
    Gate.order(Link, AttemptRequest, Now);
    return AttemptRequest.Attempt;
  }

  void complete(const attempt_id &Attempt) {
    instance_result Result;
    Result.Outcome = run_outcome::Completed;
    Result.ReachedInstance = true;
    Result.Response.Status = 200;
    Gate.instanceEnded(Attempt, Result, Now);
  }

  instant Now{1000s};
  std::uint64_t Last = 0;
  instance_registration Registration{"svc", {"127.0.0.1", 80}};
  recording_port Port;
  instance_gate Gate{{}, Registration, Port};
};

} // namespace

TEST_CASE("concurrent runs never exceed the slots of the instance") {
  fixture Test;
  const auto First = Test.order();
  Test.order();
  Test.order();
  CHECK(Test.Port.Called.size() == 2);
  Test.complete(First);
  CHECK(Test.Port.Called.size() == 3);
  CHECK(Test.Port.Reports.size() == 1);
}

TEST_CASE("a queued run of the highest priority starts first") {
  fixture Test;
  const auto First = Test.order();
  Test.order();
  Test.order(2);
  const auto Urgent = Test.order(0);
  Test.complete(First);
  REQUIRE(Test.Port.Called.size() == 3);
  CHECK(Test.Port.Called.back().Attempt == Urgent);
}

TEST_CASE(
    "a request of low priority is not overtaken by later calls of instances") {
  fixture Test;
  const auto First = Test.order();
  Test.order();
  const auto Own = Test.order(2);
  Test.order(1);
  Test.complete(First);
  REQUIRE(Test.Port.Called.size() == 3);
  CHECK(Test.Port.Called.back().Attempt == Own);
}

TEST_CASE("a draining instance receives no new run") {
  fixture Test;
  const auto First = Test.order();
  Test.order();
  Test.order();
  Test.reportState(instance_state::Draining, 2);
  REQUIRE(Test.Port.Reports.size() == 1);
  CHECK(Test.Port.Reports[0].Outcome == run_outcome::NotRun);
  CHECK_FALSE(Test.Port.Reports[0].ReachedInstance);
  Test.order();
  CHECK(Test.Port.Reports.back().Cause == run_cause::NoInstance);
  Test.complete(First);
  CHECK(Test.Port.Called.size() == 2);
  CHECK(Test.Port.Reports.back().Outcome == run_outcome::Completed);
  CHECK(Test.Gate.status(Test.Now).Instance.empty());
}

TEST_CASE("an attempt runs once, even if its order is received repeatedly") {
  fixture Test;
  const auto First = Test.order();
  attempt_request Again;
  Again.Attempt = First;
  Again.Service = "svc";
  Again.TimeLeftMicroseconds = 1000000;
  Test.Gate.order(Link, Again, Test.Now);
  CHECK(Test.Port.Called.size() == 1);
  Test.complete(First);
  Test.Gate.order(Link, Again, Test.Now);
  CHECK(Test.Port.Called.size() == 1);
  REQUIRE(Test.Port.Reports.size() == 2);
  CHECK(Test.Port.Reports[1].Outcome == run_outcome::Completed);
}

TEST_CASE("an attempt queried before its order arrives never runs") {
  fixture Test;
  attempt_request Late;
  Late.Attempt = {9, 9};
  Late.Service = "svc";
  Late.TimeLeftMicroseconds = 1000000;
  Late.Origin = {"e", 1, 1};
  Test.Gate.query(Link, {Late.Attempt, Late.Origin}, Test.Now);
  REQUIRE(Test.Port.Reports.size() == 1);
  CHECK(Test.Port.Reports[0].Outcome == run_outcome::NotRun);
  Test.Gate.order(Link, Late, Test.Now);
  CHECK(Test.Port.Called.empty());
}

TEST_CASE("the report of a run goes to the link that last queried it") {
  fixture Test;
  const auto First = Test.order();
  Test.Gate.query(Link + 1, {First}, Test.Now);
  Test.complete(First);
  REQUIRE(Test.Port.Links.size() == 1);
  CHECK(Test.Port.Links[0] == Link + 1);
  Test.Gate.query(Link + 2, {First}, Test.Now);
  REQUIRE(Test.Port.Reports.size() == 2);
  CHECK(Test.Port.Reports[1].Outcome == run_outcome::Completed);
}

TEST_CASE("a run cancelled while queued is reported as not run") {
  fixture Test;
  Test.order();
  Test.order();
  const auto Waiting = Test.order();
  Test.Gate.cancel({Waiting, true}, Test.Now);
  REQUIRE(Test.Port.Reports.size() == 1);
  CHECK(Test.Port.Reports[0].Outcome == run_outcome::NotRun);
}

TEST_CASE(
    "a run aborted while running has an unknown outcome and frees its slot") {
  fixture Test;
  const auto First = Test.order();
  Test.order();
  Test.order();
  SUBCASE("aborted") {
    Test.Gate.cancel({First, true}, Test.Now);
    REQUIRE(Test.Port.Reports.size() == 1);
    CHECK(Test.Port.Reports[0].Outcome == run_outcome::Unknown);
    CHECK(Test.Port.Aborted == std::vector{First});
    CHECK(Test.Port.Called.size() == 3);
  }
  SUBCASE("allowed to complete") {
    Test.Gate.cancel({First, false}, Test.Now);
    CHECK(Test.Port.Reports.empty());
    CHECK(Test.Port.Aborted.empty());
  }
}

TEST_CASE("an unreachable instance receives no run during the backoff") {
  fixture Test;
  const auto First = Test.order();
  instance_result Failed;
  Failed.Cause = run_cause::Unreachable;
  Test.Gate.instanceEnded(First, Failed, Test.Now);
  CHECK(Test.Port.Reports.back().Outcome == run_outcome::NotRun);
  Test.order();
  CHECK(Test.Port.Called.size() == 1);
  CHECK_FALSE(Test.Gate.status(Test.Now).IsReachable);
  Test.Now += 1s;
  Test.order();
  CHECK(Test.Port.Called.size() == 2);
}

TEST_CASE("a gate whose process is about to end runs no late order") {
  fixture Test;
  const auto First = Test.order();
  Test.Gate.refuseFrom(Test.Now + 1s);
  Test.order();
  CHECK(Test.Port.Called.size() == 2);
  Test.Now += 1s;
  Test.complete(First);
  Test.order();
  CHECK(Test.Port.Called.size() == 2);
  REQUIRE(Test.Port.Reports.size() == 2);
  CHECK(Test.Port.Reports[1].Outcome == run_outcome::NotRun);
  CHECK(Test.Port.Reports[1].Cause == run_cause::NoInstance);
  CHECK(Test.Port.Reports[1].IsProven);
}

TEST_CASE("a gate whose process ends leaves no order without a report and "
          "denies no run") {
  fixture Test;
  const auto First = Test.order(1, false);
  const auto Second = Test.order(1, false);
  const auto Queued = Test.order(1, false);
  Test.Gate.endAll(Test.Now);
  CHECK(Test.Gate.active() == 0);
  CHECK(Test.Port.Called.size() == 2);
  CHECK(Test.Port.Aborted.size() == 2);
  REQUIRE(Test.Port.Reports.size() == 3);
  for (const run_report &Report : Test.Port.Reports) {
    const bool HasRun = Report.Attempt == First || Report.Attempt == Second;
    CHECK((HasRun || Report.Attempt == Queued));
    CHECK(Report.Outcome ==
          (HasRun ? run_outcome::Unknown : run_outcome::NotRun));
    CHECK(Report.IsProven == !HasRun);
  }
  Test.order();
  CHECK(Test.Port.Called.size() == 2);
  CHECK(Test.Port.Reports.back().Outcome == run_outcome::NotRun);
}
