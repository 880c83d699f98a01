#include <doctest/doctest.h>

#include "clementine_request/ledger/run_ledger.h"

using namespace clementine;
using namespace std::chrono_literals;

namespace {

run_answer answerOf(run_outcome Outcome, const std::string &Body = "") {
  run_answer Answer;
  Answer.Outcome = Outcome;
  Answer.Answer.Body = Body;
  return Answer;
}

/// Advances the ledger's clock in steps of 100 ms, as on a node that is never
/// paused.
void advanceInSteps(run_ledger &Ledger, instant &Now, duration Time) {
  for (const instant End = Now + Time; Now < End;) {
    Now += 100ms;
    Ledger.advanceTime(Now);
  }
}

} // namespace

TEST_CASE("a key runs once: later attempts join the run or get its answer") {
  run_ledger Ledger({});
  CHECK(Ledger.begin({1, 1}, "k", 0) == begin_verdict::Run);
  CHECK(Ledger.begin({2, 2}, "k", 0) == begin_verdict::Join);
  Ledger.end({1, 1}, answerOf(run_outcome::Completed, "done"));
  CHECK(Ledger.begin({3, 3}, "k", 0) == begin_verdict::Ended);
  CHECK(Ledger.answer(*Ledger.runOfKey("k"))->Answer.Body == "done");
}

TEST_CASE(
    "a run that ended NotRun releases its key, a fenced claim stays fenced") {
  run_ledger Ledger({});
  CHECK(Ledger.begin({1, 1}, "k", 5) == begin_verdict::Run);
  Ledger.end({1, 1}, answerOf(run_outcome::NotRun));
  CHECK(Ledger.fenceClaim("k", 5));
  CHECK(Ledger.begin({2, 2}, "k", 5) == begin_verdict::Fenced);
  CHECK(Ledger.begin({3, 3}, "k", 6) == begin_verdict::Run);
  Ledger.end({3, 3}, answerOf(run_outcome::NotRun));
  CHECK(Ledger.begin({4, 4}, "k", 5) == begin_verdict::Fenced);
  CHECK(Ledger.fence({5, 5}));
  CHECK(Ledger.begin({5, 5}, "", 0) == begin_verdict::Fenced);
}

// A paused node must not expire its fences before it has read the messages that
// arrived during the pause, or a fenced attempt could run.
TEST_CASE("fences survive a pause of any length") {
  run_ledger Ledger({});
  instant Now(1h);
  Ledger.advanceTime(Now);
  CHECK(Ledger.fence({1, 1}));
  CHECK(Ledger.fenceClaim("k", 7));
  Now += 100h;
  Ledger.advanceTime(Now);
  CHECK(Ledger.begin({1, 1}, "", 0) == begin_verdict::Fenced);
  CHECK(Ledger.begin({2, 2}, "k", 7) == begin_verdict::Fenced);
}

TEST_CASE("a key is still refused by its hash after its answer has expired") {
  run_ledger_settings Settings;
  Settings.KeyedRunRetention = 10s;
  Settings.PastKeyRetention = 100s;
  run_ledger Ledger(Settings);
  instant Now(1h);
  Ledger.advanceTime(Now);
  CHECK(Ledger.begin({1, 1}, "k", 0) == begin_verdict::Run);
  Ledger.end({1, 1}, answerOf(run_outcome::Completed));
  advanceInSteps(Ledger, Now, 20s);
  CHECK(Ledger.begin({2, 2}, "k", 0) == begin_verdict::Expired);
  CHECK_FALSE(Ledger.fenceClaim("k", 9));
  CHECK(Ledger.keyedRuns() == 0);
}

TEST_CASE("a full ledger refuses new keys and keeps the existing ones") {
  run_ledger_settings Settings;
  Settings.MaxKeyedRuns = 2;
  run_ledger Ledger(Settings);
  CHECK(Ledger.begin({1, 1}, "a", 0) == begin_verdict::Run);
  CHECK(Ledger.begin({2, 2}, "b", 0) == begin_verdict::Run);
  CHECK(Ledger.begin({3, 3}, "c", 0) == begin_verdict::Full);
  CHECK_FALSE(Ledger.fenceClaim("c", 1));
  CHECK(Ledger.begin({4, 4}, "a", 0) == begin_verdict::Join);
  CHECK(Ledger.begin({5, 5}, "", 0) == begin_verdict::Run);
}
