#include <doctest/doctest.h>

#include "clementine_routing/clementine_routing.h"

#include <map>

using namespace clementine;
using namespace std::chrono_literals;

namespace {

constexpr instant Start{100s};
constexpr admission_rank Middle{importance::Normal, 1ULL << 63U};
constexpr admission_level StrictestLevel{importance::Critical, 0};

route_candidate candidate(const std::string &Name, const std::string &Centre) {
  return {{Name, 1}, Centre};
}

route_settings settings() {
  route_settings Settings;
  Settings.OwnName = "entry";
  Settings.OwnDataCentre = "fukuoka";
  return Settings;
}

class chooser_fixture {
public:
  chooser_fixture() : Chooser(settings(), Random) {
    Chooser.setCandidates({candidate("near-1", "fukuoka"),
                           candidate("near-2", "fukuoka"),
                           candidate("far-1", "kumamoto")},
                          Start);
  }

  std::string choose(std::vector<std::string> Excluded = {},
                     admission_rank Rank = Middle, instant Now = Start) {
    const auto Choice = Chooser.choose({Rank, std::move(Excluded)}, Now);
    return Choice ? Choice.value().Node.Name : std::string();
  }

  std::map<std::string, int> tally(int Calls, instant Now = Start) {
    std::map<std::string, int> Counts;
    for (int Call = 0; Call < Calls; ++Call)
      ++Counts[choose({}, Middle, Now)];
    return Counts;
  }

  void answer(const std::string &Name, admission_level Level,
              duration Latency = 10ms, instant Now = Start) {
    Chooser.onSend({Name, 1}, Now);
    Chooser.onAnswer({Name, 1}, answer_kind::Completed, Latency, Level, Now);
  }

  seeded_random Random{7};
  route_chooser Chooser;
};

} // namespace

TEST_CASE_FIXTURE(chooser_fixture,
                  "instances in the own data centre are preferred") {
  const auto Counts = tally(100);
  CHECK(Counts.count("far-1") == 0);
  CHECK(Counts.at("near-1") > 0);
  CHECK(Counts.at("near-2") > 0);
}

TEST_CASE_FIXTURE(chooser_fixture,
                  "excluded and overloaded instances are skipped") {
  CHECK(choose({"near-1"}) == "near-2");
  CHECK(choose({"near-1", "near-2"}) == "far-1");
  answer("near-1", StrictestLevel);
  CHECK(choose() == "near-2");
  answer("near-2", StrictestLevel);
  const auto Spill = Chooser.choose({Middle, {}}, Start);
  REQUIRE(Spill);
  CHECK(Spill.value().IsSpillover);
  CHECK(
      Chooser.choose({Middle, {"near-1", "near-2", "far-1"}}, Start).error() ==
      route_failure::AllTried);
}

TEST_CASE_FIXTURE(chooser_fixture,
                  "when all would refuse, less important calls only probe and "
                  "important ones try every instance") {
  for (const std::string Name : {"near-1", "near-2", "far-1"})
    answer(Name, StrictestLevel);
  std::vector<std::string> Tried;
  for (int Call = 0; Call < 3; ++Call) {
    const auto Choice =
        Chooser.choose({{importance::High, 1ULL << 63U}, Tried}, Start);
    REQUIRE(Choice);
    CHECK(Choice.value().IsProbe);
    Tried.push_back(Choice.value().Node.Name);
  }
  for (int Probe = 0; Probe < 3; ++Probe)
    CHECK(Chooser.choose({Middle, {}}, Start).value().IsProbe);
  CHECK(Chooser.choose({Middle, {}}, Start).error() ==
        route_failure::AllWouldRefuse);
  CHECK(Chooser.choose({Middle, {}}, Start + 50ms).has_value());
  const auto Aged = Chooser.choose({Middle, {}}, Start + 1001ms);
  REQUIRE(Aged);
  CHECK_FALSE(Aged.value().IsProbe);
}

TEST_CASE_FIXTURE(chooser_fixture,
                  "a slow instance is avoided, then tried again") {
  answer("near-1", {}, 500ms);
  answer("near-2", {}, 5ms);
  CHECK(tally(100)["near-1"] == 0);
  CHECK(tally(100, Start + 10s)["near-1"] > 20);
}

TEST_CASE_FIXTURE(chooser_fixture, "calls in flight count against an instance "
                                   "and end with its answer") {
  Chooser.onSend({"near-1", 1}, Start);
  CHECK(Chooser.inFlight({"near-1", 1}) == 1);
  CHECK(tally(50)["near-1"] == 0);
  Chooser.onAnswer({"near-1", 2}, answer_kind::Completed, 1ms, {}, Start);
  CHECK(Chooser.inFlight({"near-1", 1}) == 1);
  Chooser.onAnswer({"near-1", 1}, answer_kind::Refused, 1ms, {}, Start);
  CHECK(Chooser.inFlight({"near-1", 1}) == 0);
}

TEST_CASE_FIXTURE(chooser_fixture,
                  "unresponsive instances are avoided until "
                  "they answer, but used if no instance answers") {
  Chooser.onSend({"near-1", 1}, Start);
  Chooser.onNoAnswer({"near-1", 1}, Start);
  CHECK(tally(50)["near-1"] == 0);
  Chooser.onAlive({"near-1", 1});
  CHECK(tally(50)["near-1"] > 0);
  for (const std::string Name : {"near-1", "near-2", "far-1"})
    Chooser.onNoAnswer({Name, 1}, Start);
  CHECK(Chooser.choose({Middle, {}}, Start).has_value());
}

TEST_CASE("a warming instance gets few calls at first and a leaving one none") {
  seeded_random Random(7);
  route_chooser Chooser(settings(), Random);
  route_candidate Cold = candidate("cold", "fukuoka");
  Cold.Warming = true;
  route_candidate Leaving = candidate("leaving", "fukuoka");
  Leaving.Leaving = true;
  Chooser.setCandidates({Cold, candidate("warm", "fukuoka"), Leaving}, Start);
  CHECK(Chooser.size() == 2);
  for (int Call = 0; Call < 8; ++Call) {
    const auto Choice = Chooser.choose({Middle, {}}, Start);
    CHECK(Choice.value().Node.Name == "warm");
    Chooser.onSend(Choice.value().Node, Start);
  }
  Chooser.onSend({"warm", 1}, Start);
  CHECK(Chooser.choose({Middle, {}}, Start + 10s).value().Node.Name == "cold");
  Chooser.setCandidates({}, Start);
  CHECK(Chooser.choose({Middle, {}}, Start).error() ==
        route_failure::NoInstance);
}

TEST_CASE("subsets have the configured size and together cover the instances") {
  std::vector<route_candidate> Many;
  Many.reserve(200);
  for (int Index = 0; Index < 200; ++Index)
    Many.push_back(candidate("node-" + std::to_string(Index), "fukuoka"));
  std::map<std::string, int> Used;
  for (int Entry = 0; Entry < 100; ++Entry) {
    route_settings Settings = settings();
    Settings.OwnName = "entry-" + std::to_string(Entry);
    seeded_random Random(Entry);
    route_chooser Chooser(Settings, Random);
    Chooser.setCandidates(Many, Start);
    CHECK(Chooser.size() == Settings.SubsetSize);
    for (int Call = 0; Call < 50; ++Call)
      ++Used[Chooser.choose({Middle, {}}, Start).value().Node.Name];
  }
  CHECK(Used.size() > 190);
}

TEST_CASE(
    "path hints refuse early, probe, expire and never refuse critical calls") {
  admission_hints Hints;
  CHECK(Hints.decide("hall-desk/find", Middle, Start) ==
        hint_verdict::Admitted);
  Hints.learn("hall-desk/find", StrictestLevel, Start);
  CHECK(Hints.decide("hall-desk/find", Middle, Start) == hint_verdict::Probe);
  CHECK(Hints.decide("hall-desk/find", Middle, Start) ==
        hint_verdict::RefusedEarly);
  CHECK(Hints.decide("hall-desk/find", {importance::Critical, ~0ULL}, Start) ==
        hint_verdict::Admitted);
  CHECK(Hints.decide("hall-desk/find", Middle, Start + 50ms) ==
        hint_verdict::Probe);
  CHECK(Hints.decide("hall-desk/find", Middle, Start + 1001ms) ==
        hint_verdict::Admitted);
}

TEST_CASE("the number of hints is limited") {
  admission_hints Hints({{}, 2});
  for (int Key = 0; Key < 5; ++Key)
    Hints.learn(std::to_string(Key), StrictestLevel, Start + Key * 1ms);
  CHECK(Hints.size() == 2);
  CHECK(Hints.level("4", Start + 5ms) == StrictestLevel);
}
