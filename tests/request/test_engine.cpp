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

/// Every whole request's extra attempts stay within this.
constexpr unsigned RetryBudget = 3;

world_settings worldOf(std::uint64_t Seed) {
  world_settings Settings;
  Settings.BundleText = BundleText;
  Settings.Seed = Seed;
  return Settings;
}

/// The oracle: what must hold of a world that has settled.
///
/// - A request that may not be repeated runs at most once on each service, also
///   below a repeatable one that is run again.
/// - Who is told NotRun was not run by that send or an earlier one.
/// - Who is told Completed gets the answer to the own request.
/// - The extra attempts of one whole request stay within its budget.
std::string faultOf(const virtual_world &World) {
  std::map<std::pair<std::string, std::string>, int> RunsOfKey;
  for (const seen_run &Run : World.Runs)
    if (Run.Key.find(".book/") != std::string::npos ||
        Run.Key.find("desk.mixed/") != std::string::npos)
      ++RunsOfKey[{Run.Service, Run.Key}];
  for (const auto &[Key, Count] : RunsOfKey)
    if (Count > 1)
      return "ran " + std::to_string(Count) + " times: " + Key.second;
  for (const told_answer &Told : World.Told) {
    if (Told.Answer.Outcome == run_outcome::Completed &&
        Told.Answer.Answer.Body.substr(0, Told.Key.size()) != Told.Key)
      return "wrong answer to " + Told.Nonce;
    if (Told.Answer.Outcome != run_outcome::NotRun)
      continue;
    for (const seen_run &Run : World.Runs) {
      const auto Sent = World.SendOfRequest.find(Run.Request);
      const bool IsSameKey =
          Run.Nonce.substr(0, Run.Nonce.find('#')) == Told.Key;
      if (IsSameKey && Sent != World.SendOfRequest.end() &&
          Sent->second <= Told.Send)
        return "told not run, but ran: " + Told.Nonce;
    }
  }
  std::map<request_id, unsigned> Extra;
  for (const entry_report &Report : World.Reports)
    if (Report.Attempts > 1)
      Extra[Report.Request] += Report.Attempts - 1;
  for (const auto &[Request, Count] : Extra)
    if (Count > RetryBudget)
      return "extra attempts: " + std::to_string(Count);
  return "";
}

} // namespace

TEST_CASE("a request crosses two services and comes back whole") {
  virtual_world World(worldOf(1));
  World.run(1s);
  World.send(0, "mobile", "book", "k1", 1, send_number::First);
  World.send(4, "mobile", "read", "k2", 1, send_number::First);
  World.settle();
  REQUIRE(World.Told.size() == 2);
  for (const told_answer &Told : World.Told) {
    CHECK(Told.Answer.Outcome == run_outcome::Completed);
    CHECK(Told.Answer.Answer.Body == Told.Nonce);
  }
  CHECK(World.Runs.size() == 4);
  CHECK(faultOf(World) == "");
}

TEST_CASE("a re-send joins the run in flight or gets its answer") {
  for (const send_number Number :
       {send_number::Again, send_number::Unnumbered}) {
    virtual_world World(worldOf(2));
    World.run(1s);
    const bool IsNumbered = Number == send_number::Again;
    World.send(0, "mobile", "book", "k", 1,
               IsNumbered ? send_number::First : send_number::Unnumbered);
    World.run(8ms);
    World.send(5, "mobile", "book", "k", 2, Number);
    World.run(3s);
    World.send(2, "mobile", "book", "k", 3, Number);
    World.settle();
    REQUIRE(World.Told.size() == 3);
    for (const told_answer &Told : World.Told) {
      CHECK(Told.Answer.Outcome == run_outcome::Completed);
      CHECK(Told.Answer.Answer.Body == "k#1");
    }
    CHECK(faultOf(World) == "");
  }
}

TEST_CASE("an upstream that runs and dies leaves the outcome unknown") {
  virtual_world World(worldOf(3));
  World.run(1s);
  for (std::size_t Node = 3; Node < 6; ++Node)
    World.breakNextAnswer(Node);
  World.send(0, "mobile", "book", "k", 1, send_number::First);
  World.run(3s);
  World.send(1, "mobile", "book", "k", 2, send_number::Again);
  World.settle();
  for (const told_answer &Told : World.Told)
    CHECK(Told.Answer.Outcome != run_outcome::NotRun);
  CHECK(faultOf(World) == "");
}

TEST_CASE("while the platform is down an unnumbered booking is not run") {
  virtual_world World(worldOf(4));
  World.run(1s);
  World.setPlatform(platform_fault::Down);
  World.send(0, "mobile", "book", "k", 1, send_number::Unnumbered);
  World.send(0, "mobile", "book", "n", 1, send_number::First);
  World.run(5s);
  REQUIRE(World.Told.size() == 2);
  CHECK(World.Told[0].Answer.Outcome == run_outcome::Unknown);
  CHECK(World.Told[0].Answer.Reason == refusal::ClaimUnavailable);
  CHECK(World.Told[1].Answer.Outcome == run_outcome::Completed);
  CHECK(World.Runs.size() == 2);
}

TEST_CASE("a repeatable request whose node falls silent is run elsewhere") {
  for (std::uint64_t Seed = 1; Seed <= 8; ++Seed) {
    virtual_world World(worldOf(Seed));
    World.run(1s);
    World.send(4, "mobile", "read", "k", 1, send_number::First);
    World.run(8ms);
    World.pause(Seed % 3, 10s);
    World.run(1300ms);
    REQUIRE(World.Told.size() == 1);
    CHECK(World.Told[0].Answer.Outcome == run_outcome::Completed);
    CHECK(faultOf(World) == "");
  }
}

TEST_CASE("a draining node takes no new run and finishes the old one") {
  virtual_world World(worldOf(5));
  World.run(1s);
  World.send(0, "mobile", "read", "k", 1, send_number::First);
  World.run(2ms);
  for (std::size_t Node = 0; Node < 3; ++Node)
    World.drain(Node);
  World.run(1s);
  World.send(4, "mobile", "book", "late", 1, send_number::First);
  World.settle();
  REQUIRE(World.Told.size() == 2);
  CHECK(World.Told[0].Answer.Outcome == run_outcome::Completed);
  CHECK(World.Told[1].Answer.Outcome == run_outcome::NotRun);
}

TEST_CASE("stateful: faults at any time never break a promise") {
  const bool Held = rc::check("faults at any time", [] {
    const auto Seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
    virtual_world World(worldOf(Seed));
    World.run(1s);
    const auto Steps = *rc::gen::inRange(5, 60);
    std::map<std::string, int> Sends;
    std::ostringstream Script;
    for (int Step = 0; Step < Steps; ++Step) {
      const auto Node = *rc::gen::inRange<std::size_t>(0, World.size());
      const auto Other = *rc::gen::inRange<std::size_t>(0, World.size());
      const std::string Key = "k" + std::to_string(*rc::gen::inRange(0, 12));
      switch (*rc::gen::inRange(0, 16)) {
      case 0:
        Script << "replace VM " << Node << "; ";
        World.kill(Node, true);
        break;
      case 1:
        Script << "kill node " << Node << "; ";
        World.kill(Node, false);
        break;
      case 2: {
        const int Time = *rc::gen::inRange(10, 40000);
        Script << "pause " << Node << " for " << Time << " ms; ";
        World.pause(Node, std::chrono::milliseconds(Time));
        break;
      }
      case 3:
        Script << "cut " << Node << " " << Other << "; ";
        World.cut(Node, Other);
        break;
      case 4:
        Script << "heal; ";
        World.heal();
        break;
      case 5:
        Script << "break answer of " << Node << "; ";
        World.breakNextAnswer(Node);
        break;
      case 6:
        Script << "refuse at " << Node << "; ";
        World.refuseNext(Node);
        break;
      case 7: {
        const int Fault = *rc::gen::inRange(0, 4);
        Script << "platform fault " << Fault << "; ";
        World.setPlatform(static_cast<platform_fault>(Fault));
        break;
      }
      default: {
        // Keys below 6 are numbered, the others come by their keys alone.
        const int Send = ++Sends[Key];
        const bool IsNumbered = Key.size() == 2 && Key[1] < '6';
        send_number Number = send_number::Unnumbered;
        if (IsNumbered)
          Number = Send == 1 ? send_number::First : send_number::Again;
        const auto Operation =
            *rc::gen::element<std::string>("book", "book", "mixed", "read");
        Script << "send " << Operation << " " << Key << "#" << Send << " at "
               << Node << "; ";
        World.send(Node, "mobile", Operation, Operation + Key, Send, Number);
      }
      }
      // Short waits put faults between two steps of one request.
      const int Wait = *rc::gen::weightedOneOf<int>(
          {{2, rc::gen::inRange(0, 6)}, {1, rc::gen::inRange(0, 300)}});
      Script << Wait << " ms; ";
      World.run(std::chrono::milliseconds(Wait));
    }
    World.settle();
    const std::string Fault = faultOf(World);
    RC_LOG() << Script.str() << '\n' << Fault;
    RC_ASSERT(Fault.empty());
  });
  CHECK(Held);
}
