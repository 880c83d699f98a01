/// Embeds the admission module alone: a gate in front of a worker pool of four
/// slots.
///
/// Forty requests of mixed importance arrive at once. The gate starts as many
/// as the learned limit allows, queues the more important ones and refuses the
/// rest. A refused request has never been run. Time is virtual, so that the
/// output is the same in each run.
#include "clementine_admission/clementine_admission.h"

#include <cstdio>
#include <map>
#include <utility>

using namespace clementine;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Requests = 40;
constexpr duration WorkTime = 20ms;

/// Simulates the workers of the embedding program: each attempt ends after a
/// fixed time.
class worker_pool {
public:
  void start(const admission_ticket &Ticket, instant Now) {
    Ends.emplace(Now + WorkTime, Ticket);
  }

  bool isIdle() const { return Ends.empty(); }

  std::pair<instant, admission_ticket> takeNext() {
    auto Next = *Ends.begin();
    Ends.erase(Ends.begin());
    return Next;
  }

private:
  std::multimap<instant, admission_ticket> Ends;
};

/// Outcome counts for the requests of one importance.
struct tally {
  unsigned Completed = 0;
  unsigned Refused = 0;
};

class embedder {
public:
  embedder() : Gate({}, std::make_unique<adaptive_limiter>(smallPool())) {}

  void offer(const admission_ticket &Ticket) {
    const offer_decision Decision = Gate.offer(Ticket, Now);
    if (Decision.Verdict == offer_verdict::Admitted)
      Workers.start(Ticket, Now);
    if (Decision.Verdict == offer_verdict::Refused)
      ++Tallies[Ticket.Importance].Refused;
    act(Decision.Others);
  }

  void runUntilIdle() {
    while (!Workers.isIdle()) {
      const auto [EndsAt, Ticket] = Workers.takeNext();
      Now = EndsAt;
      act(Gate.expire(Now));
      ++Tallies[Ticket.Importance].Completed;
      act(Gate.complete(Ticket.RequestId, {work_outcome::Completed, 0ns}, Now));
    }
  }

  void print() const {
    for (const auto &[Importance, Tally] : Tallies)
      std::printf("%-8s completed %2u, refused without a run %2u\n",
                  importanceName(Importance).data(), Tally.Completed,
                  Tally.Refused);
  }

  instant now() const { return Now; }

private:
  static adaptive_limiter_settings smallPool() {
    adaptive_limiter_settings Settings;
    Settings.InitialLimit = 4;
    return Settings;
  }

  /// Applies the actions of a gate event, which may also start or refuse
  /// tickets other than its own.
  void act(const gate_actions &Actions) {
    for (const admission_ticket &Ticket : Actions.Started)
      Workers.start(Ticket, Now);
    for (const refused_ticket &Refused : Actions.Refused)
      ++Tallies[Refused.Ticket.Importance].Refused;
  }

  instant Now{1s};
  admission_gate Gate;
  worker_pool Workers;
  std::map<importance, tally> Tallies;
};

} // namespace

int main() {
  embedder Embedder;
  for (std::uint64_t Number = 1; Number <= Requests; ++Number) {
    const request_id Id{0, Number};
    const auto Importance = static_cast<importance>(Number % ImportanceLevels);
    Embedder.offer(
        {Id, Importance, wholeRequestHash(Id), 0, Embedder.now() + 200ms});
  }
  Embedder.runUntilIdle();
  Embedder.print();
  return 0;
}
