#include "clementine_proxy/clementine_proxy.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace clementine;
using namespace clementine::proxy;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Link = 7;

/// Keeps what a gate does.
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

/// A gate beside an instance with two slots.
struct fixture {
  fixture() { say(instance_state::Ready, 1); }

  void say(instance_state State, std::uint64_t Sequence) {
    Book.report(
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
  instance_book Book{"svc", {"127.0.0.1", 80}};
  recording_port Port;
  instance_gate Gate{{}, Book, Port};
};

} // namespace

TEST_CASE("no more runs are under way than the instance has slots") {
  fixture Test;
  const auto First = Test.order();
  Test.order();
  Test.order();
  CHECK(Test.Port.Called.size() == 2);
  Test.complete(First);
  CHECK(Test.Port.Called.size() == 3);
  CHECK(Test.Port.Reports.size() == 1);
}

TEST_CASE("the most urgent of those that wait goes first") {
  fixture Test;
  const auto First = Test.order();
  Test.order();
  Test.order(2);
  const auto Urgent = Test.order(0);
  Test.complete(First);
  REQUIRE(Test.Port.Called.size() == 3);
  CHECK(Test.Port.Called.back().Attempt == Urgent);
}

TEST_CASE("a caller's own request does not starve behind calls of instances") {
  fixture Test;
  const auto First = Test.order();
  Test.order();
  const auto Own = Test.order(2);
  Test.order(1);
  Test.complete(First);
  REQUIRE(Test.Port.Called.size() == 3);
  CHECK(Test.Port.Called.back().Attempt == Own);
}

TEST_CASE("once an instance drains nothing new reaches it") {
  fixture Test;
  const auto First = Test.order();
  Test.order();
  Test.order();
  Test.say(instance_state::Draining, 2);
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

TEST_CASE("an attempt runs once, however often it is ordered") {
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

TEST_CASE("an attempt that was asked for before it came never runs") {
  fixture Test;
  attempt_request Late;
  Late.Attempt = {9, 9};
  Late.Service = "svc";
  Late.TimeLeftMicroseconds = 1000000;
  Test.Gate.query(Link, {Late.Attempt}, Test.Now);
  REQUIRE(Test.Port.Reports.size() == 1);
  CHECK(Test.Port.Reports[0].Outcome == run_outcome::NotRun);
  Test.Gate.order(Link, Late, Test.Now);
  CHECK(Test.Port.Called.empty());
}

TEST_CASE("the end of a run goes to the link that last asked for it") {
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

TEST_CASE("what is taken back while it waits has not run") {
  fixture Test;
  Test.order();
  Test.order();
  const auto Waiting = Test.order();
  Test.Gate.cancel({Waiting, true}, Test.Now);
  REQUIRE(Test.Port.Reports.size() == 1);
  CHECK(Test.Port.Reports[0].Outcome == run_outcome::NotRun);
}

TEST_CASE("what is taken back while it runs is unknown, and frees its slot") {
  fixture Test;
  const auto First = Test.order();
  Test.order();
  Test.order();
  SUBCASE("broken off") {
    Test.Gate.cancel({First, true}, Test.Now);
    REQUIRE(Test.Port.Reports.size() == 1);
    CHECK(Test.Port.Reports[0].Outcome == run_outcome::Unknown);
    CHECK(Test.Port.Aborted == std::vector{First});
    CHECK(Test.Port.Called.size() == 3);
  }
  SUBCASE("left to end") {
    Test.Gate.cancel({First, false}, Test.Now);
    CHECK(Test.Port.Reports.empty());
    CHECK(Test.Port.Aborted.empty());
  }
}

TEST_CASE("an instance that cannot be reached is left alone for a while") {
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
