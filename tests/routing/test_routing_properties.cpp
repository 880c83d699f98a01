#include "clementine_core/random/random_source.h"
#include "clementine_routing/clementine_routing.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <memory>

using namespace clementine;
using namespace std::chrono_literals;

namespace {

constexpr instant Start{100s};
constexpr int LongRuns = 200;

/// The steps of a run: shrinkable values from RapidCheck, or drawn from a seed.
class step_source {
public:
  explicit step_source(std::vector<std::uint64_t> Steps)
      : Steps(std::move(Steps)) {}
  explicit step_source(std::uint64_t Seed) : Steps(400) {
    seeded_random Random(Seed);
    for (std::uint64_t &Step : Steps)
      Step = Random.next();
  }

  template <class Do> void forEach(Do Perform) const {
    for (std::size_t Index = 0; Index < Steps.size(); ++Index)
      Perform(mixBits(Steps[Index] + Index));
  }

private:
  std::vector<std::uint64_t> Steps;
};

/// Faulty uses of budgets by the embedder, which the test has to detect.
enum class budget_defect : std::uint8_t {
  None,
  /// Treats a lost answer as one that returns the whole allocation.
  ReclaimsLost,
  /// Allocates attempts to a sub-call without removing them from its own
  /// budget.
  KeepsAllocated,
};

/// A tree of calls up to nine levels deep, with any fan-out.
class call_tree {
public:
  static constexpr std::uint32_t Total = 20;
  static constexpr unsigned DeepestCall = 9;

  explicit call_tree(budget_defect Defect) : Defect(Defect) {
    Calls.push_back({retry_budget(Total)});
  }

  void step(std::uint64_t Bits) {
    const std::size_t Pick = (Bits >> 8U) % Calls.size();
    switch (Bits % 4) {
    case 0:
      return call(Pick);
    case 1:
      Spent += Calls[Pick].Budget.spend() ? 1 : 0;
      return;
    case 2:
      return answer(Pick);
    default:
      return loseAnswer(Pick);
    }
  }

  std::uint32_t Spent = 0;

private:
  struct open_call {
    retry_budget Budget;
    std::size_t Parent = 0;
    std::uint32_t Allocated = 0;
    unsigned Depth = 0;
    bool Answered = false;
  };

  void call(std::size_t Parent) {
    if (Calls[Parent].Depth >= DeepestCall)
      return;
    const std::uint32_t Granted = Calls[Parent].Budget.allocate();
    if (Defect == budget_defect::KeepsAllocated)
      Calls[Parent].Budget.reclaim(Granted, Granted);
    Calls.push_back(
        {retry_budget(Granted), Parent, Granted, Calls[Parent].Depth + 1});
  }

  void answer(std::size_t Pick) {
    open_call &Call = Calls[Pick];
    if (Pick == 0 || Call.Answered)
      return;
    Call.Answered = true;
    // The answer returns what is left; sub-calls that are still open lose their
    // allocations.
    const std::uint32_t Unused = Call.Budget.allocate(Call.Budget.left());
    Calls[Call.Parent].Budget.reclaim(Call.Allocated, Unused);
  }

  /// The parent receives no answer, while the call may continue.
  void loseAnswer(std::size_t Pick) {
    open_call &Call = Calls[Pick];
    if (Pick == 0 || Call.Answered)
      return;
    Call.Answered = true;
    if (Defect == budget_defect::ReclaimsLost)
      Calls[Call.Parent].Budget.reclaim(Call.Allocated, Call.Allocated);
  }

  const budget_defect Defect;
  std::vector<open_call> Calls;
};

bool budgetHolds(const step_source &Steps,
                 budget_defect Defect = budget_defect::None) {
  call_tree Tree(Defect);
  bool Holds = true;
  Steps.forEach([&](std::uint64_t Bits) {
    Tree.step(Bits);
    Holds = Holds && Tree.Spent <= call_tree::Total;
  });
  return Holds;
}

bool throttleHolds(const step_source &Steps, retry_throttle_settings Actual) {
  constexpr retry_throttle_settings Required{0.2, 5.0};
  retry_throttle Throttle(Actual);
  double Firsts = 0;
  double Retries = 0;
  bool Holds = true;
  Steps.forEach([&](std::uint64_t Bits) {
    if (Bits % 3 == 0) {
      Throttle.onFirstAttempt();
      ++Firsts;
    } else {
      Retries += Throttle.spend() ? 1 : 0;
    }
    constexpr double Rounding = 1e-6;
    Holds =
        Holds && Retries <= Firsts * Required.Share + Required.Burst + Rounding;
  });
  return Holds;
}

/// Nodes and the allocator of one caller, over a network that loses, delays and
/// duplicates messages.
class caller_fleet {
public:
  static constexpr std::size_t Nodes = 4;

  explicit caller_fleet(bool SharesAllocator) {
    for (std::size_t Node = 0; Node < Nodes; ++Node) {
      caller_limits_settings Settings;
      Settings.OwnName = "node-" + std::to_string(Node);
      Settings.EqualFraction = 0;
      Limits.push_back(std::make_unique<caller_limits>(Settings));
      Limits.back()->setLimit("florist", {.Rate = 100});
      if (Node == 0 || !SharesAllocator)
        Allocators.push_back(std::make_unique<caller_allocator>(
            caller_allocator_settings{}, Start - 1h));
    }
  }

  void step(std::uint64_t Bits) {
    const std::size_t Node = (Bits >> 8U) % Nodes;
    switch (Bits % 6) {
    case 0:
      Now += ((Bits >> 16U) % 900) * 1ms;
      return;
    case 1:
    case 2:
      for (std::uint64_t Count = 0; Count < (Bits >> 16U) % 30; ++Count)
        if (Limits[Node]->begin("florist", 1, Now))
          Limits[Node]->end("florist");
      return;
    case 3:
      if (const auto Report = Limits[Node]->takeDueReport("florist", Now))
        Reports.push_back({Node, *Report, Now});
      return;
    case 4:
      return deliverReport(Bits >> 16U);
    default:
      return deliverGrant(Bits >> 16U);
    }
  }

  double sumOfFractions() const {
    double Sum = 0;
    for (const auto &Node : Limits)
      Sum += Node->limitFraction("florist", Now);
    return Sum;
  }

private:
  struct sent_report {
    std::size_t Node;
    usage_report Report;
    instant SentAt;
  };
  struct sent_grant {
    std::size_t Node;
    usage_grant Grant;
    instant ReportedAt;
  };

  /// A message stays in the list and may be delivered again much later.
  void deliverReport(std::uint64_t Pick) {
    if (Reports.empty())
      return;
    const sent_report Sent = Reports[Pick % Reports.size()];
    auto &Allocator = *Allocators[Sent.Node % Allocators.size()];
    Grants.push_back(
        {Sent.Node, Allocator.report(Sent.Report, 1.0, Now), Sent.SentAt});
  }

  void deliverGrant(std::uint64_t Pick) {
    if (Grants.empty())
      return;
    const sent_grant &Sent = Grants[Pick % Grants.size()];
    Limits[Sent.Node]->onGrant("florist", Sent.Grant, Sent.ReportedAt);
  }

  instant Now = Start;
  std::vector<std::unique_ptr<caller_limits>> Limits;
  std::vector<std::unique_ptr<caller_allocator>> Allocators;
  std::vector<sent_report> Reports;
  std::vector<sent_grant> Grants;
};

bool allocationHolds(const step_source &Steps, bool SharesAllocator = true) {
  caller_fleet Fleet(SharesAllocator);
  bool Holds = true;
  Steps.forEach([&](std::uint64_t Bits) {
    Fleet.step(Bits);
    constexpr double LeasedFraction = 0.9;
    constexpr double Rounding = 1e-9;
    Holds = Holds && Fleet.sumOfFractions() <= LeasedFraction + Rounding;
  });
  return Holds;
}

/// Checks choices among instances that join, disappear, leave, refuse calls and
/// stop answering.
bool choicesHold(const step_source &Steps, bool IgnoresLeaving = false) {
  seeded_random Random(1);
  route_settings Settings;
  Settings.OwnDataCentre = "fukuoka";
  route_chooser Chooser(Settings, Random);
  std::map<std::string, route_candidate> Live;
  std::map<std::string, std::size_t> InFlight;
  instant Now = Start;
  bool Holds = true;
  const auto Update = [&] {
    std::vector<route_candidate> Candidates;
    for (auto [Name, Candidate] : Live) {
      Candidate.Leaving = Candidate.Leaving && !IgnoresLeaving;
      Candidates.push_back(Candidate);
    }
    Chooser.setCandidates(Candidates, Now);
  };
  const auto Choose = [&](std::uint64_t Bits) {
    route_request Request{{static_cast<importance>(Bits % 4), Bits << 32U}, {}};
    Request.Excluded = {"node-" + std::to_string((Bits >> 8U) % 6)};
    const auto Usable = std::any_of(Live.begin(), Live.end(), [&](auto &Entry) {
      return !Entry.second.Leaving && Entry.first != Request.Excluded[0];
    });
    const auto Choice = Chooser.choose(Request, Now);
    if (!Choice) {
      Holds = Holds && (!Usable || Request.Rank.Importance > importance::High);
      return;
    }
    const std::string &Name = Choice.value().Node.Name;
    Holds = Holds && Live.contains(Name) && !Live[Name].Leaving &&
            Name != Request.Excluded[0];
    Chooser.onSend(Choice.value().Node, Now);
    ++InFlight[Name];
  };
  Steps.forEach([&](std::uint64_t Bits) {
    const std::string Name = "node-" + std::to_string((Bits >> 8U) % 6);
    const node_identity Node{Name, 1};
    Now += (Bits >> 16U) % 200 * 1ms;
    const auto End = [&](auto Deliver) {
      if (InFlight[Name] == 0 || !Live.contains(Name))
        return;
      Deliver();
      --InFlight[Name];
    };
    switch (Bits % 8) {
    case 0:
      Live[Name] = {Node, (Bits >> 24U) % 2 ? "fukuoka" : "kumamoto", 1.0,
                    (Bits >> 25U) % 2 == 0, (Bits >> 26U) % 3 == 0};
      return Update();
    case 1:
      Live.erase(Name);
      InFlight.erase(Name);
      return Update();
    case 2:
      return End([&] { Chooser.onNoAnswer(Node, Now); });
    case 3:
      return End([&] {
        Chooser.onAnswer(Node, static_cast<answer_kind>((Bits >> 24U) % 3),
                         10ms, admission_level::fromIndex((Bits >> 32U) % 512),
                         Now);
      });
    default:
      Choose(Bits >> 24U);
    }
    for (const auto &[Known, Candidate] : Live)
      Holds = Holds && Chooser.inFlight(Candidate.Node) == InFlight[Known];
  });
  return Holds;
}

/// @returns whether some long run violates the property.
template <class Property> bool isBroken(Property Holds) {
  for (std::uint64_t Seed = 1; Seed <= LongRuns; ++Seed)
    if (!Holds(step_source(Seed)))
      return true;
  return false;
}

template <class Property> void checkAlwaysHolds(Property Holds) {
  CHECK(rc::check([&](const std::vector<std::uint64_t> &Steps) {
    RC_ASSERT(Holds(step_source(Steps)));
  }));
  CHECK_FALSE(isBroken(Holds));
}

} // namespace

TEST_CASE("extra attempts never exceed the first budget at any depth") {
  checkAlwaysHolds([](const step_source &Steps) { return budgetHolds(Steps); });
  for (const auto Defect :
       {budget_defect::ReclaimsLost, budget_defect::KeepsAllocated})
    CHECK(isBroken(
        [&](const step_source &Steps) { return budgetHolds(Steps, Defect); }));
}

TEST_CASE("retries stay within their share of first attempts") {
  checkAlwaysHolds([](const step_source &Steps) {
    return throttleHolds(Steps, {0.2, 5.0});
  });
  CHECK(isBroken([](const step_source &Steps) {
    return throttleHolds(Steps, {1.0, 5.0});
  }));
}

TEST_CASE("leased shares of a caller's limit never exceed it") {
  checkAlwaysHolds(
      [](const step_source &Steps) { return allocationHolds(Steps); });
  CHECK(isBroken(
      [](const step_source &Steps) { return allocationHolds(Steps, false); }));
}

TEST_CASE("a chooser avoids leaving, removed and already tried instances") {
  checkAlwaysHolds([](const step_source &Steps) { return choicesHold(Steps); });
  CHECK(isBroken(
      [](const step_source &Steps) { return choicesHold(Steps, true); }));
}
