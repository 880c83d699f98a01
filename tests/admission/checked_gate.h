#ifndef CLEMENTINE_TESTS_ADMISSION_CHECKED_GATE_H
#define CLEMENTINE_TESTS_ADMISSION_CHECKED_GATE_H

#include "clementine_admission/clementine_admission.h"

#include <map>
#include <set>
#include <vector>

namespace clementine {

/// The faults that checked_gate detects.
enum class gate_fault : std::uint8_t {
  /// A ticket ended twice, or an unknown ticket ended.
  UnexpectedEnd,
  /// A ticket disappeared without an end.
  Lost,
  /// More tickets ran than the limit allows.
  AboveLimit,
  /// A slot stayed free while a ticket waited.
  IdleSlot,
  /// A ticket started or stayed queued while one with a better rank waited or
  /// was displaced.
  OutOfOrder,
  /// A ticket was admitted after a more important one was refused for load,
  /// before a slot was free.
  ImportanceInversion,
  /// A ticket was refused for its deadline although enough time was left.
  EarlyRefusal,
  /// A ticket stayed queued although its deadline could no longer be met.
  LateRefusal,
};

/// A gate whose state is compared after each event with a reference list of its
/// tickets.
class checked_gate {
public:
  checked_gate(admission_gate_settings Settings,
               std::unique_ptr<concurrency_limiter> Limiter,
               std::size_t MostRunning)
      : Gate(Settings, std::move(Limiter)), MostRunning(MostRunning) {}

  void offer(importance Importance, std::uint8_t Hash, std::uint32_t Work,
             duration TimeLeft) {
    const admission_ticket Ticket{{0, ++Offered},
                                  Importance,
                                  std::uint64_t{Hash} << 56U,
                                  Work,
                                  Now + TimeLeft};
    const duration Wait = waitBefore(Ticket.rank());
    const bool WasIdle = Running.empty();
    const offer_decision Decision = Gate.offer(Ticket, Now);
    if (Decision.Verdict == offer_verdict::Admitted)
      Running[Ticket.RequestId.Low] = Ticket;
    if (Decision.Verdict == offer_verdict::Queued)
      Queued[Ticket.RequestId.Low] = Ticket;
    if (!DropsDisplaced)
      apply(Decision.Others);
    if (Decision.Verdict == offer_verdict::Refused)
      checkRefusal(Ticket, Decision.Reason, Wait, WasIdle);
    else
      checkAgainstRefused(Ticket);
    checkAfterEvent();
  }

  void complete(std::size_t Pick, work_outcome Outcome) {
    if (Running.empty())
      return;
    const request_id Id = at(Running, Pick);
    Running.erase(Id.Low);
    apply(Gate.complete(Id, {Outcome, duration(0)}, Now));
    checkAfterEvent();
  }

  void cancel(std::size_t Pick) {
    if (Queued.empty())
      return;
    const request_id Id = at(Queued, Pick);
    Queued.erase(Id.Low);
    check(Gate.cancel(Id) == cancel_result::Removed, gate_fault::UnexpectedEnd);
    checkAfterEvent();
  }

  void advance(duration Span) {
    Now += Span;
    apply(Gate.expire(Now));
    for (const auto &[Id, Ticket] : Queued)
      check(Ticket.Deadline >= Now + Gate.meanServiceTime(),
            gate_fault::LateRefusal);
    checkAfterEvent();
  }

  void drain() {
    apply(Gate.drain(Now));
    check(Queued.empty(), gate_fault::Lost);
    checkAfterEvent();
  }

  std::set<gate_fault> Faults;
  /// Simulates a faulty embedder that ignores displaced tickets.
  bool DropsDisplaced = false;

private:
  /// Keyed by the lower half of the identifier; the upper half is 0.
  using ticket_map = std::map<std::uint64_t, admission_ticket>;

  static request_id at(const ticket_map &Tickets, std::size_t Pick) {
    const auto Steps = static_cast<std::ptrdiff_t>(Pick % Tickets.size());
    return {0, std::next(Tickets.begin(), Steps)->first};
  }

  void check(bool Holds, gate_fault Fault) {
    if (!Holds)
      Faults.insert(Fault);
  }

  void apply(const gate_actions &Actions) {
    for (const admission_ticket &Ticket : Actions.Started) {
      check(Queued.erase(Ticket.RequestId.Low) == 1, gate_fault::UnexpectedEnd);
      check(Running.emplace(Ticket.RequestId.Low, Ticket).second,
            gate_fault::UnexpectedEnd);
    }
    for (const refused_ticket &Refused : Actions.Refused) {
      check(Queued.erase(Refused.Ticket.RequestId.Low) == 1,
            gate_fault::UnexpectedEnd);
      if (Refused.Reason != refusal_reason::Displaced)
        continue;
      checkNoLowerRankWaits(Refused.Ticket.rank());
      RefusedForLoad.push_back(Refused.Ticket.Importance);
    }
    for (const admission_ticket &Ticket : Actions.Started)
      for (const auto &[Id, Waiting] : Queued)
        check(Ticket.rank() <= Waiting.rank(), gate_fault::OutOfOrder);
  }

  void checkRefusal(const admission_ticket &Ticket, refusal_reason Reason,
                    duration Wait, bool WasIdle) {
    if (Reason == refusal_reason::QueueFull)
      checkNoLowerRankWaits(Ticket.rank());
    if (Reason == refusal_reason::QueueFull ||
        Reason == refusal_reason::BelowLevel)
      RefusedForLoad.push_back(Ticket.Importance);
    if (Reason == refusal_reason::DeadlineTooClose)
      check(Ticket.Deadline <= Now ||
                (!WasIdle &&
                 Now + Wait + Gate.meanServiceTime() > Ticket.Deadline),
            gate_fault::EarlyRefusal);
  }

  void checkNoLowerRankWaits(const admission_rank &Rank) {
    for (const auto &[Id, Waiting] : Queued)
      check(Waiting.rank() <= Rank, gate_fault::OutOfOrder);
  }

  void checkAgainstRefused(const admission_ticket &Ticket) {
    for (const importance Refused : RefusedForLoad)
      check(Ticket.Importance <= Refused, gate_fault::ImportanceInversion);
  }

  duration waitBefore(const admission_rank &Rank) const {
    std::size_t Before = 0;
    for (const auto &[Id, Waiting] : Queued)
      Before += Waiting.rank() <= Rank ? 1 : 0;
    return Gate.meanServiceTime() * static_cast<duration::rep>(Before) /
           static_cast<duration::rep>(Gate.limit());
  }

  void checkAfterEvent() {
    check(Gate.queued() == Queued.size(), gate_fault::Lost);
    check(Gate.running() == Running.size(), gate_fault::Lost);
    check(Running.size() <= MostRunning, gate_fault::AboveLimit);
    const bool HasFreeSlot = Running.size() < Gate.limit();
    check(Queued.empty() || !HasFreeSlot, gate_fault::IdleSlot);
    if (Queued.empty() && HasFreeSlot)
      RefusedForLoad.clear();
  }

  admission_gate Gate;
  const std::size_t MostRunning;
  instant Now{std::chrono::seconds(100)};
  std::uint64_t Offered = 0;
  ticket_map Running;
  ticket_map Queued;
  std::vector<importance> RefusedForLoad;
};

} // namespace clementine

#endif
