#include "checked_gate.h"

#include "clementine_core/random/random_source.h"

#include <doctest/doctest.h>
#include <rapidcheck/state.h>

using namespace clementine;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Limit = 3;

admission_gate_settings smallQueue() {
  admission_gate_settings Settings;
  Settings.MinimumQueueLength = 4;
  return Settings;
}

checked_gate staticGate(admission_gate_settings Settings = smallQueue()) {
  return {Settings, std::make_unique<static_limiter>(Limit), Limit};
}

/// Placeholder for the RapidCheck model: the ticket list in checked_gate is the
/// reference.
struct no_model {};
using gate_command = rc::state::Command<no_model, checked_gate>;

template <class Step> class checked_command : public gate_command {
public:
  explicit checked_command(Step Action = *rc::gen::arbitrary<Step>())
      : Action(Action) {}
  void run(const no_model &, checked_gate &Gate) const override {
    Action.apply(Gate);
    RC_ASSERT(Gate.Faults.empty());
  }
  void show(std::ostream &Out) const override { Out << Action.Name; }

private:
  Step Action;
};

work_outcome outcomeOf(std::uint64_t Pick) {
  constexpr work_outcome Outcomes[] = {
      work_outcome::Completed, work_outcome::Completed, work_outcome::Shed,
      work_outcome::TimedOut, work_outcome::Failed};
  return Outcomes[Pick % std::size(Outcomes)];
}

struct offer_step {
  const char *Name = "offer";
  std::uint64_t Bits = 1;
  void apply(checked_gate &Gate) const {
    Gate.offer(static_cast<importance>(Bits % ImportanceLevels),
               static_cast<std::uint8_t>(Bits >> 8U), (Bits >> 16U) % 3,
               ((Bits >> 24U) % 200) * 1ms);
  }
};

struct complete_step {
  const char *Name = "complete";
  std::uint64_t Bits = 1;
  void apply(checked_gate &Gate) const {
    Gate.complete(Bits >> 8U, outcomeOf(Bits));
  }
};

struct cancel_step {
  const char *Name = "cancel";
  std::uint64_t Bits = 1;
  void apply(checked_gate &Gate) const { Gate.cancel(Bits); }
};

struct advance_step {
  const char *Name = "advance";
  std::uint64_t Bits = 1;
  void apply(checked_gate &Gate) const { Gate.advance((Bits % 20) * 1ms); }
};

struct drain_step {
  const char *Name = "drain";
  std::uint64_t Bits = 1;
  void apply(checked_gate &Gate) const {
    // A drained gate admits nothing, so draining has to be rare.
    if (Bits % 64 == 0)
      Gate.drain();
  }
};

/// @returns the faults found by a long random run. It shows that the checks can
/// fail.
std::set<gate_fault> faultsOf(checked_gate &&Gate) {
  seeded_random Random(20261204);
  for (int Step = 0; Step < 5000; ++Step) {
    const std::uint64_t Bits = Random.next();
    switch (Random.below(6)) {
    case 0:
      complete_step{.Bits = Bits}.apply(Gate);
      break;
    case 1:
      advance_step{.Bits = Bits}.apply(Gate);
      break;
    case 2:
      cancel_step{.Bits = Bits}.apply(Gate);
      break;
    default:
      offer_step{.Bits = Bits}.apply(Gate);
    }
  }
  return Gate.Faults;
}

template <class MakeGate> bool invariantsHold(MakeGate Make) {
  return rc::check([&] {
    checked_gate Gate = Make();
    rc::state::check(
        no_model{}, Gate,
        rc::state::gen::execOneOfWithArgs<
            checked_command<offer_step>, checked_command<offer_step>,
            checked_command<offer_step>, checked_command<complete_step>,
            checked_command<complete_step>, checked_command<cancel_step>,
            checked_command<advance_step>, checked_command<drain_step>>());
  });
}

} // namespace

namespace rc {

template <class Step>
requires requires(Step Action) { Action.Bits; }
struct Arbitrary<Step> {
  static Gen<Step> arbitrary() {
    return gen::map(
        gen::resize(kNominalSize, gen::arbitrary<std::uint64_t>()),
        [](std::uint64_t Bits) { return Step{.Bits = mixBits(Bits + 1)}; });
  }
};

} // namespace rc

TEST_CASE("a gate keeps order and limit and loses no ticket") {
  CHECK(invariantsHold([] { return staticGate(); }));
}

TEST_CASE("a gate with an adaptive limit keeps order and loses no ticket") {
  CHECK(invariantsHold([] {
    adaptive_limiter_settings Settings;
    Settings.InitialLimit = 4;
    Settings.HighestLimit = 6;
    Settings.MinimumSamples = 2;
    return checked_gate(smallQueue(),
                        std::make_unique<adaptive_limiter>(Settings), 6);
  }));
}

TEST_CASE(
    "a long run finds no fault, and disabling a mechanism causes its fault") {
  CHECK(faultsOf(staticGate()).empty());

  admission_gate_settings Unordered = smallQueue();
  Unordered.OrdersByRank = false;
  CHECK(faultsOf(staticGate(Unordered)).contains(gate_fault::OutOfOrder));

  admission_gate_settings AdmitsBelowLevel = smallQueue();
  AdmitsBelowLevel.RefusesBelowLevel = false;
  CHECK(faultsOf(staticGate(AdmitsBelowLevel)) ==
        std::set{gate_fault::ImportanceInversion});

  admission_gate_settings IgnoresDeadlines = smallQueue();
  IgnoresDeadlines.EnforcesDeadlines = false;
  CHECK(faultsOf(staticGate(IgnoresDeadlines)) ==
        std::set{gate_fault::LateRefusal});

  CHECK(faultsOf({smallQueue(), std::make_unique<unlimited>(), Limit})
            .contains(gate_fault::AboveLimit));

  checked_gate LosesTickets = staticGate();
  LosesTickets.DropsDisplaced = true;
  CHECK(faultsOf(std::move(LosesTickets)).contains(gate_fault::Lost));
}
