#include "virtual_network.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <ostream>

using namespace clementine;
using namespace std::chrono_literals;

namespace {

enum class fault : std::uint8_t {
  Kill,
  Start,
  StartWithClockBack,
  Depart,
  Leave,
  Pause,
  Resume,
  CutOneWay,
  CutInTwo,
  Heal,
  Lose,
  Repeat,
  Last = Repeat,
};

/// One fault, and how long the network runs after it.
struct step {
  fault Fault = fault::Kill;
  std::size_t Which = 0;
  std::size_t Other = 0;
  duration Wait{};
};

std::ostream &operator<<(std::ostream &Out, const step &Step) {
  return Out << "{" << static_cast<int>(Step.Fault) << "," << Step.Which << ","
             << Step.Other << "," << Step.Wait.count() / 1'000'000 << "ms}";
}

rc::Gen<step> anyStep(std::size_t Members) {
  return rc::gen::build<step>(
      rc::gen::set(
          &step::Fault,
          rc::gen::map(rc::gen::inRange(0, static_cast<int>(fault::Last) + 1),
                       [](int Number) { return static_cast<fault>(Number); })),
      rc::gen::set(&step::Which, rc::gen::inRange<std::size_t>(0, Members)),
      rc::gen::set(&step::Other, rc::gen::inRange<std::size_t>(0, Members)),
      rc::gen::set(&step::Wait, rc::gen::map(rc::gen::inRange(0, 30'000),
                                             [](int Milliseconds) {
                                               return duration(Milliseconds *
                                                               1ms);
                                             })));
}

/// Members under injected faults, with the invariants that must hold at any
/// time.
class faulty_fleet {
public:
  faulty_fleet(std::size_t Members, std::uint64_t Seed)
      : Members(Members), Network({}, Seed) {
    for (std::size_t Index = 0; Index < Members; ++Index)
      Network.start(Index, SeedNodes);
  }

  void apply(const step &Step) {
    inject(Step);
    Network.run(Step.Wait);
    checkAlways();
  }

  void checkAfterRecovery() {
    Network.healAll();
    Network.Settings.Loss = 0;
    Network.Settings.Repeat = 0;
    for (std::size_t Index = 0; Index < Members; ++Index)
      if (isLive(Index) && Network.Nodes[Index].Paused)
        Network.resume(Index);
    // Without a live seed a starting node cannot join.
    if (!isLive(0))
      Network.start(0, SeedNodes);
    Network.run(240s);
    checkAlways();
    for (auto &[Observer, Node] : Network.Nodes)
      for (std::size_t Index = 0; Index < Members; ++Index)
        checkView(Observer, Index);
  }

private:
  bool isLive(std::size_t Index) const { return Network.Nodes.contains(Index); }

  void inject(const step &Step) {
    const std::size_t Which = Step.Which;
    const bool Awake = isLive(Which) && !Network.Nodes[Which].Paused;
    if (Step.Fault == fault::Kill && isLive(Which))
      Network.kill(Which);
    if (Step.Fault == fault::Start && !isLive(Which))
      Network.start(Which, SeedNodes);
    if (Step.Fault == fault::StartWithClockBack && !isLive(Which))
      Network.start(Which, SeedNodes, "one", "catalogue", true);
    if (Step.Fault == fault::Depart && Awake)
      Network.depart(Which);
    if (Step.Fault == fault::Leave && Awake)
      Network.with(Which,
                   [&](membership &Member) { Member.leave(Network.Now); });
    if (Step.Fault == fault::Pause && Awake)
      Network.pause(Which);
    if (Step.Fault == fault::Resume && isLive(Which) && !Awake)
      Network.resume(Which);
    if (Step.Fault == fault::CutOneWay)
      Network.cut(Which, Step.Other);
    if (Step.Fault == fault::CutInTwo)
      cutInTwo(Which);
    if (Step.Fault == fault::Heal)
      Network.healAll();
    if (Step.Fault == fault::Lose)
      Network.Settings.Loss = 0.05 * static_cast<double>(Step.Other);
    if (Step.Fault == fault::Repeat)
      Network.Settings.Repeat = 0.1 * static_cast<double>(Step.Other);
  }

  void cutInTwo(std::size_t First) {
    for (std::size_t Left = 0; Left < First; ++Left)
      for (std::size_t Right = First; Right < Members; ++Right) {
        Network.cut(Left, Right);
        Network.cut(Right, Left);
      }
  }

  /// Checks the byte budget, and that no view ever shows an older incarnation.
  void checkAlways() {
    for (auto &[Observer, Node] : Network.Nodes) {
      const std::chrono::duration<double> Age = Network.Now - Node.Started;
      const membership_settings &Settings = Network.Settings.Membership;
      RC_ASSERT(static_cast<double>(Node.BytesSent) <=
                Settings.BurstBytes + Settings.BytesPerSecond * Age.count());
      auto &Before = Seen[{Observer, Node.Started}];
      for (const shared_member &Member : Node.Member->view().Local) {
        std::uint64_t &Highest = Before[Member->Identity.Name];
        RC_ASSERT(Member->Identity.Incarnation >= Highest);
        Highest = Member->Identity.Incarnation;
      }
    }
  }

  /// Checks that live members are seen with their own state, and stopped ones
  /// as dead or left. The latter is not required if most members are stopped,
  /// since the observer may then be the partitioned one.
  void checkView(std::size_t Observer, std::size_t Index) {
    const shared_member Seen =
        Network.member(Observer).view().find("node-" + std::to_string(Index));
    if (isLive(Index)) {
      RC_ASSERT(Seen != nullptr);
      RC_ASSERT(Seen->State == Network.member(Index).self().State);
      RC_ASSERT(Seen->Identity == Network.member(Index).self().Identity);
      return;
    }
    const bool MostAreStopped = 2 * Network.Nodes.size() <= Members;
    const bool SeenDeadOrLeft = !Seen || Seen->State == member_state::Dead ||
                                Seen->State == member_state::Left;
    RC_ASSERT(MostAreStopped || SeenDeadOrLeft);
  }

  const std::vector<std::size_t> SeedNodes = {0, 1};
  const std::size_t Members;
  virtual_network Network;
  std::map<std::pair<std::size_t, instant>,
           std::map<std::string, std::uint64_t>>
      Seen;
};

} // namespace

TEST_CASE("views agree with the live members after any faults") {
  CHECK(rc::check("after recovery", [] {
    const auto Members = *rc::gen::inRange<std::size_t>(2, 8);
    const auto Seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto Steps = *rc::gen::container<std::vector<step>>(anyStep(Members));
    faulty_fleet Fleet(Members, Seed);
    for (const step &Step : Steps)
      Fleet.apply(Step);
    Fleet.checkAfterRecovery();
  }));
}

TEST_CASE("all members see a leaving member as leaving within three seconds") {
  CHECK(rc::check("under loss and with another member killed", [] {
    const auto Members = *rc::gen::inRange<std::size_t>(3, 40);
    virtual_network Network({}, *rc::gen::arbitrary<std::uint64_t>());
    for (std::size_t Index = 0; Index < Members; ++Index)
      Network.start(Index, {0});
    Network.run(60s);
    Network.Settings.Loss = 0.01 * *rc::gen::inRange(0, 20);
    Network.Settings.MostDelay = 1ms * *rc::gen::inRange(1, 50);
    const auto Leaver = *rc::gen::inRange<std::size_t>(0, Members);
    const auto Victim = *rc::gen::inRange<std::size_t>(0, Members);
    if (Victim != Leaver)
      Network.kill(Victim);
    Network.with(Leaver,
                 [&](membership &Member) { Member.leave(Network.Now); });
    Network.run(3s);
    for (auto &[Index, Node] : Network.Nodes)
      RC_ASSERT(
          Node.Member->view().find("node-" + std::to_string(Leaver))->State ==
          member_state::Leaving);
  }));
}
