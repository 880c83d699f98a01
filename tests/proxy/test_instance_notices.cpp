#include "clementine_proxy/clementine_proxy.h"

#include <doctest/doctest.h>

#include <vector>

using namespace clementine;
using namespace clementine::proxy;
using namespace std::chrono_literals;

namespace {

/// Counts the calls and reports of a gate.
class counting_port final : public gate_port {
public:
  void callInstance(instance_call Call) override {
    Called.push_back(Call.Attempt);
  }
  void abortInstance(const attempt_id &) override {}
  void report(std::uint64_t, run_report Report) override {
    Reports.push_back(std::move(Report));
  }

  std::vector<attempt_id> Called;
  std::vector<run_report> Reports;
};

/// A gate for an instance with 20 slots that has answered once.
struct fixture {
  fixture() {
    registerRun(100);
    answer(order(), {});
  }

  void registerRun(std::int64_t StartedAt) {
    Registration.report({"i-1",
                         "svc",
                         "z",
                         {"127.0.0.1", 80},
                         instance_state::Ready,
                         20,
                         {},
                         StartedAt,
                         1});
    Gate.instanceChanged(Now);
  }

  attempt_id order() {
    attempt_request Order;
    Order.Attempt = {1, ++Last};
    Order.Service = "svc";
    Order.TimeLeftMicroseconds = 2000000;
    Gate.order(7, Order, Now);
    return Order.Attempt;
  }

  void answer(const attempt_id &Attempt, const instance_notice &Notice) {
    instance_result Result;
    Result.Outcome = run_outcome::Completed;
    Result.ReachedInstance = true;
    Result.Response.Status = 200;
    Result.Notice = Notice;
    Gate.instanceEnded(Attempt, Result, Now);
  }

  instant Now{1000s};
  std::uint64_t Last = 0;
  instance_registration Registration{"svc", {"127.0.0.1", 80}};
  counting_port Port;
  instance_gate Gate{{}, Registration, Port};
};

const header_names Names{"", "", "", "", "", "", "Limit", "Leaving"};

std::optional<instance_notice> noticeIn(const char *Limit, unsigned Status) {
  return noticeOf({Status, {{"limit", Limit}, {"Leaving", "1"}}, "", true},
                  Names);
}

} // namespace

TEST_CASE("a limit that is no decimal number, and what another instance says, "
          "change nothing") {
  for (const char *Text : {"", "-1", "nan", "inf", "1e3", "0x10", "5 ", "5,5"})
    CHECK_FALSE(noticeIn(Text, 200));
  CHECK_FALSE(noticeIn("5", 421));
  CHECK(noticeIn("20.75", 503) == instance_notice{20.75, true});
}

TEST_CASE("orders above the instance's limit wait for their turn or are "
          "refused, and start at once when it names none any more") {
  fixture Test;
  const attempt_id First = Test.order();
  Test.answer(First, {20.0, false});
  const std::size_t Before = Test.Port.Called.size();
  for (int Index = 0; Index < 40; ++Index)
    Test.order();
  // The first one starts; 20 a second and half a second leave room for 10.
  CHECK(Test.Port.Called.size() == Before + 1);
  CHECK(Test.Port.Reports.size() == Before + 29);
  REQUIRE(Test.Gate.nextWake());
  for (int Step = 0; Step < 10; ++Step) {
    Test.Now += 25ms;
    Test.Gate.passTime(Test.Now);
  }
  const std::size_t Started = Test.Port.Called.size() - Before;
  CHECK(Started >= 5);
  CHECK(Started <= 7);
  Test.answer(Test.Port.Called.back(), {});
  CHECK(Test.Port.Called.size() == Before + 11);
}

TEST_CASE("an answer of an earlier run of the instance neither limits the "
          "next one nor ends its registration") {
  fixture Test;
  const attempt_id Early = Test.order();
  Test.registerRun(200);
  Test.answer(Early, {0.0, true});
  CHECK(Test.Registration.ready() != nullptr);
  const std::size_t Before = Test.Port.Called.size();
  const attempt_id Next = Test.order();
  CHECK(Test.Port.Called.size() == Before + 1);
  Test.answer(Next, {std::nullopt, true});
  CHECK(Test.Registration.ready() == nullptr);
  CHECK(Test.Registration.lastDeparture() == instance_run{"i-1", 200});
  Test.order();
  CHECK(Test.Port.Reports.back().Cause == run_cause::NoInstance);
}

TEST_CASE("a gate of a new process sends few runs before the first answer") {
  fixture Test;
  instance_gate Fresh{{}, Test.Registration, Test.Port};
  Fresh.instanceChanged(Test.Now);
  const std::size_t Before = Test.Port.Called.size();
  for (std::uint64_t Index = 1; Index <= 10; ++Index) {
    attempt_request Order;
    Order.Attempt = {2, Index};
    Order.Service = "svc";
    Order.TimeLeftMicroseconds = 2000000;
    Fresh.order(7, Order, Test.Now);
  }
  CHECK(Test.Port.Called.size() ==
        Before + first_answer_limiter::LimitBeforeAnswer);
}
