#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "virtual_nodes.h"

#include <algorithm>
#include <map>
#include <sstream>

using namespace clementine;
using namespace clementine::test;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view BundleText = R"([bundle]
format = 1
name = test

[service front]
[operation front book]
repeatable = no
deadline = 2000ms
[operation front read]
repeatable = yes
deadline = 2000ms
[operation front mixed]
repeatable = yes
deadline = 2000ms

[service desk]
[operation desk book]
repeatable = no
deadline = 2000ms
[operation desk read]
repeatable = yes
deadline = 2000ms
[operation desk mixed]
repeatable = no
deadline = 2000ms

[caller mobile]
owner = ops
importance = normal
retry_budget = 3
)";

/// The retry budget of caller "mobile" in the bundle, which limits the extra
/// attempts of one whole request.
constexpr unsigned RetryBudget = 3;

cluster_settings settingsFor(std::uint64_t Seed) {
  cluster_settings Settings;
  Settings.BundleText = BundleText;
  Settings.Seed = Seed;
  return Settings;
}

/// Checks the invariants of a cluster after settle():
///
/// - A non-repeatable request runs at most once on each service, also as a
///   sub-call of a repeatable request that is run again.
/// - A request answered NotRun was not run by that send or an earlier one.
/// - A request answered Completed gets the answer to its own key.
/// - The extra attempts of one whole request stay within its retry budget.
///
/// @returns the first violation found, or an empty string.
std::string violationOf(const simulated_cluster &Cluster) {
  std::map<std::pair<std::string, std::string>, int> RunsOfKey;
  for (const observed_run &Run : Cluster.Runs)
    if (Run.Key.find(".book/") != std::string::npos ||
        Run.Key.find("desk.mixed/") != std::string::npos)
      ++RunsOfKey[{Run.Service, Run.Key}];
  for (const auto &[Key, Count] : RunsOfKey)
    if (Count > 1)
      return "ran " + std::to_string(Count) + " times: " + Key.second;
  for (const delivered_answer &Delivered : Cluster.Delivered) {
    if (Delivered.Answer.Outcome == run_outcome::Completed &&
        Delivered.Answer.Answer.Body.substr(0, Delivered.Key.size()) !=
            Delivered.Key)
      return "wrong answer to " + Delivered.Nonce;
    if (Delivered.Answer.Outcome != run_outcome::NotRun)
      continue;
    for (const observed_run &Run : Cluster.Runs) {
      const auto Sent = Cluster.SendOfRequest.find(Run.Request);
      const bool IsSameKey =
          Run.Nonce.substr(0, Run.Nonce.find('#')) == Delivered.Key;
      if (IsSameKey && Sent != Cluster.SendOfRequest.end() &&
          Sent->second <= Delivered.Send)
        return "answered not run, but ran: " + Delivered.Nonce;
    }
  }
  std::map<request_id, unsigned> Extra;
  for (const entry_report &Report : Cluster.Reports)
    if (Report.Attempts > 1)
      Extra[Report.Request] += Report.Attempts - 1;
  for (const auto &[Request, Count] : Extra)
    if (Count > RetryBudget)
      return "extra attempts: " + std::to_string(Count);
  return "";
}

} // namespace

TEST_CASE(
    "a request passes through two services and gets its complete answer") {
  simulated_cluster Cluster(settingsFor(1));
  Cluster.run(1s);
  Cluster.send(0, "mobile", "book", "k1", 1, send_number::First);
  Cluster.send(4, "mobile", "read", "k2", 1, send_number::First);
  Cluster.settle();
  REQUIRE(Cluster.Delivered.size() == 2);
  for (const delivered_answer &Delivered : Cluster.Delivered) {
    CHECK(Delivered.Answer.Outcome == run_outcome::Completed);
    CHECK(Delivered.Answer.Answer.Body == Delivered.Nonce);
  }
  CHECK(Cluster.Runs.size() == 4);
  CHECK(violationOf(Cluster) == "");
}

TEST_CASE("a re-send joins the run in flight or gets its answer") {
  for (const send_number Number :
       {send_number::Again, send_number::Unnumbered}) {
    simulated_cluster Cluster(settingsFor(2));
    Cluster.run(1s);
    const bool IsNumbered = Number == send_number::Again;
    Cluster.send(0, "mobile", "book", "k", 1,
                 IsNumbered ? send_number::First : send_number::Unnumbered);
    Cluster.run(8ms);
    Cluster.send(5, "mobile", "book", "k", 2, Number);
    Cluster.run(3s);
    Cluster.send(2, "mobile", "book", "k", 3, Number);
    Cluster.settle();
    REQUIRE(Cluster.Delivered.size() == 3);
    for (const delivered_answer &Delivered : Cluster.Delivered) {
      CHECK(Delivered.Answer.Outcome == run_outcome::Completed);
      CHECK(Delivered.Answer.Answer.Body == "k#1");
    }
    CHECK(violationOf(Cluster) == "");
  }
}

TEST_CASE("an upstream that runs a request and fails before it answers never "
          "gives the outcome NotRun") {
  simulated_cluster Cluster(settingsFor(3));
  Cluster.run(1s);
  for (std::size_t Node = 3; Node < 6; ++Node)
    Cluster.breakNextAnswer(Node);
  Cluster.send(0, "mobile", "book", "k", 1, send_number::First);
  Cluster.run(3s);
  Cluster.send(1, "mobile", "book", "k", 2, send_number::Again);
  Cluster.settle();
  for (const delivered_answer &Delivered : Cluster.Delivered)
    CHECK(Delivered.Answer.Outcome != run_outcome::NotRun);
  CHECK(violationOf(Cluster) == "");
}

// An unnumbered send needs a claim from the platform, a first send does not.
TEST_CASE("while the platform is down an unnumbered non-repeatable request "
          "ends with the outcome Unknown without a run") {
  simulated_cluster Cluster(settingsFor(4));
  Cluster.run(1s);
  Cluster.setPlatform(platform_fault::Down);
  Cluster.send(0, "mobile", "book", "k", 1, send_number::Unnumbered);
  Cluster.send(0, "mobile", "book", "n", 1, send_number::First);
  Cluster.run(5s);
  REQUIRE(Cluster.Delivered.size() == 2);
  CHECK(Cluster.Delivered[0].Answer.Outcome == run_outcome::Unknown);
  CHECK(Cluster.Delivered[0].Answer.Reason == refusal::ClaimUnavailable);
  CHECK(Cluster.Delivered[1].Answer.Outcome == run_outcome::Completed);
  CHECK(Cluster.Runs.size() == 2);
}

TEST_CASE("a repeatable request is run on another node when its node stops "
          "responding") {
  for (std::uint64_t Seed = 1; Seed <= 8; ++Seed) {
    simulated_cluster Cluster(settingsFor(Seed));
    Cluster.run(1s);
    Cluster.send(4, "mobile", "read", "k", 1, send_number::First);
    Cluster.run(8ms);
    Cluster.pause(Seed % 3, 10s);
    Cluster.run(1300ms);
    REQUIRE(Cluster.Delivered.size() == 1);
    CHECK(Cluster.Delivered[0].Answer.Outcome == run_outcome::Completed);
    CHECK(violationOf(Cluster) == "");
  }
}

TEST_CASE(
    "a draining node refuses new runs and finishes the ones in progress") {
  simulated_cluster Cluster(settingsFor(5));
  Cluster.run(1s);
  Cluster.send(0, "mobile", "read", "k", 1, send_number::First);
  Cluster.run(2ms);
  for (std::size_t Node = 0; Node < 3; ++Node)
    Cluster.drain(Node);
  Cluster.run(1s);
  Cluster.send(4, "mobile", "book", "late", 1, send_number::First);
  Cluster.settle();
  REQUIRE(Cluster.Delivered.size() == 2);
  CHECK(Cluster.Delivered[0].Answer.Outcome == run_outcome::Completed);
  CHECK(Cluster.Delivered[1].Answer.Outcome == run_outcome::NotRun);
}

// Sends requests at random and injects faults between their steps: node
// restarts and pauses, partitions, upstream failures and platform faults.
// Guards against a non-repeatable request that runs twice, a wrong answer
// NotRun, an answer to another request, and retries above the budget.
TEST_CASE("stateful: faults at any time violate no invariant") {
  const bool Passed = rc::check("faults at any time", [] {
    const auto Seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
    simulated_cluster Cluster(settingsFor(Seed));
    Cluster.run(1s);
    const auto Steps = *rc::gen::inRange(5, 60);
    std::map<std::string, int> Sends;
    std::ostringstream Script;
    for (int Step = 0; Step < Steps; ++Step) {
      const auto Node = *rc::gen::inRange<std::size_t>(0, Cluster.size());
      const auto Other = *rc::gen::inRange<std::size_t>(0, Cluster.size());
      const std::string Key = "k" + std::to_string(*rc::gen::inRange(0, 12));
      switch (*rc::gen::inRange(0, 16)) {
      case 0:
        Script << "replace VM " << Node << "; ";
        Cluster.kill(Node, true);
        break;
      case 1:
        Script << "kill node " << Node << "; ";
        Cluster.kill(Node, false);
        break;
      case 2: {
        const int Time = *rc::gen::inRange(10, 40000);
        Script << "pause " << Node << " for " << Time << " ms; ";
        Cluster.pause(Node, std::chrono::milliseconds(Time));
        break;
      }
      case 3:
        Script << "cut " << Node << " " << Other << "; ";
        Cluster.partition(Node, Other);
        break;
      case 4:
        Script << "heal; ";
        Cluster.heal();
        break;
      case 5:
        Script << "break answer of " << Node << "; ";
        Cluster.breakNextAnswer(Node);
        break;
      case 6:
        Script << "refuse at " << Node << "; ";
        Cluster.refuseNext(Node);
        break;
      case 7: {
        const int Fault = *rc::gen::inRange(0, 4);
        Script << "platform fault " << Fault << "; ";
        Cluster.setPlatform(static_cast<platform_fault>(Fault));
        break;
      }
      default: {
        // Keys k0 to k5 are sent with a send number, the others without one.
        const int Send = ++Sends[Key];
        const bool IsNumbered = Key.size() == 2 && Key[1] < '6';
        send_number Number = send_number::Unnumbered;
        if (IsNumbered)
          Number = Send == 1 ? send_number::First : send_number::Again;
        const auto Operation =
            *rc::gen::element<std::string>("book", "book", "mixed", "read");
        Script << "send " << Operation << " " << Key << "#" << Send << " at "
               << Node << "; ";
        Cluster.send(Node, "mobile", Operation, Operation + Key, Send, Number);
      }
      }
      // Short waits let faults occur between two steps of one request.
      const int Wait = *rc::gen::weightedOneOf<int>(
          {{2, rc::gen::inRange(0, 6)}, {1, rc::gen::inRange(0, 300)}});
      Script << Wait << " ms; ";
      Cluster.run(std::chrono::milliseconds(Wait));
    }
    Cluster.settle();
    const std::string Fault = violationOf(Cluster);
    RC_LOG() << Script.str() << '\n' << Fault;
    RC_ASSERT(Fault.empty());
  });
  CHECK(Passed);
}
