#include "clementine_admission/gate/admission_gate.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>
#include <utility>

namespace clementine {

admission_gate::admission_gate(admission_gate_settings Settings,
                               std::unique_ptr<concurrency_limiter> Limiter)
    : Settings(Settings), Limiter(std::move(Limiter)),
      Queue(Settings.OrdersByRank) {
  assert(this->Limiter && "an admission gate needs a limiter");
}

offer_decision admission_gate::offer(const admission_ticket &Ticket,
                                     instant Now) {
  const admission_rank Rank = Ticket.rank();
  Tracker.onOffer(Rank, Now);
  // While starts are limited, capacity also returns by the passing of time.
  if (hasSpareCapacity(Now))
    MostImportantRefused.reset();
  if (Draining)
    return refuse(Ticket, refusal_reason::Draining, Now);
  if (Running.contains(Ticket.RequestId) || Queue.contains(Ticket.RequestId))
    return refuse(Ticket, refusal_reason::AlreadyPresent, Now);
  if (!canMeetDeadline(Ticket, Queue.countBefore(Rank), Now))
    return refuse(Ticket, refusal_reason::DeadlineTooClose, Now);
  if (isBelowLevel(Ticket.Importance))
    return refuse(Ticket, refusal_reason::BelowLevel, Now);
  if (!Queue.empty() || !mayStart(Now))
    return enqueue(Ticket, Now);
  start(Ticket, Now);
  return {offer_verdict::Admitted, {}, level(), {}};
}

gate_actions admission_gate::complete(const request_id &RequestId,
                                      const work_result &Result, instant Now) {
  const auto Found = Running.find(RequestId);
  if (Found == Running.end())
    return {};
  const running_attempt Attempt = Found->second;
  const bool LimitReached = Running.size() >= Limiter->limit();
  Running.erase(Found);

  const duration Taken = Now - Attempt.StartedAt;
  if (Result.Outcome == work_outcome::Completed ||
      Result.Outcome == work_outcome::TimedOut)
    ServiceTime.addSample(Taken);
  Limiter->addSample({Result.Outcome, Attempt.StartedAt,
                      std::max(duration(0), Taken - Result.SubCallTime),
                      Attempt.InFlightAtStart, LimitReached,
                      Result.SubCallTime},
                     Now);

  gate_actions Actions;
  startWaiting(Actions, Now);
  if (hasSpareCapacity(Now))
    MostImportantRefused.reset();
  Tracker.onEnd(hasSpareCapacity(Now), Now);
  return Actions;
}

cancel_result admission_gate::cancel(const request_id &RequestId) {
  if (Queue.remove(RequestId))
    return cancel_result::Removed;
  return Running.contains(RequestId) ? cancel_result::Running
                                     : cancel_result::Unknown;
}

gate_actions admission_gate::expire(instant Now) {
  gate_actions Actions;
  refuseUnmeetableDeadlines(Actions, Now);
  startWaiting(Actions, Now);
  return Actions;
}

gate_actions admission_gate::drain(instant) {
  Draining = true;
  gate_actions Actions;
  while (!Queue.empty())
    Actions.Refused.push_back({Queue.takeFirst(), refusal_reason::Draining});
  return Actions;
}

std::optional<instant> admission_gate::nextWake() const {
  std::optional<instant> Next;
  if (!Queue.empty() && StartRate.limit() && Running.size() < Limiter->limit())
    Next = StartRate.nextStart();
  const std::optional<instant> Deadline = Queue.earliestDeadline();
  if (!Deadline || !Settings.EnforcesDeadlines)
    return Next;
  // expire() refuses tickets whose deadline is strictly before its bound.
  const instant Due = *Deadline - requiredTime() + duration(1);
  return Next ? std::min(*Next, Due) : Due;
}

offer_decision admission_gate::refuse(const admission_ticket &Ticket,
                                      refusal_reason Reason, instant Now) {
  const bool DueToLoad = Reason == refusal_reason::QueueFull ||
                         Reason == refusal_reason::BelowLevel;
  if (DueToLoad) {
    recordLoadRefusal(Ticket.Importance);
    Tracker.onRefusal(Now);
  }
  return {offer_verdict::Refused, Reason, level(), {}};
}

offer_decision admission_gate::enqueue(const admission_ticket &Ticket,
                                       instant Now) {
  gate_actions Others;
  refuseUnmeetableDeadlines(Others, Now);
  Queue.add(Ticket);
  bool Refused = false;
  while (Queue.size() > queueCapacity()) {
    const admission_ticket Last = Queue.takeLast();
    if (Last.RequestId == Ticket.RequestId) {
      Refused = true;
      continue;
    }
    recordLoadRefusal(Last.Importance);
    Tracker.onRefusal(Now);
    Others.Refused.push_back({Last, refusal_reason::Displaced});
  }
  if (!Refused)
    return {offer_verdict::Queued, {}, level(), std::move(Others)};
  offer_decision Decision = refuse(Ticket, refusal_reason::QueueFull, Now);
  Decision.Others = std::move(Others);
  return Decision;
}

void admission_gate::start(const admission_ticket &Ticket, instant Now) {
  Tracker.onStart(Now);
  StartRate.recordStart(Now);
  Running.emplace(Ticket.RequestId, running_attempt{Now, Running.size() + 1});
}

void admission_gate::startWaiting(gate_actions &Actions, instant Now) {
  while (!Queue.empty() && mayStart(Now)) {
    const admission_ticket Ticket = Queue.takeFirst();
    if (!canMeetDeadline(Ticket, 0, Now)) {
      Actions.Refused.push_back({Ticket, refusal_reason::DeadlineTooClose});
      continue;
    }
    start(Ticket, Now);
    Actions.Started.push_back(Ticket);
  }
}

void admission_gate::refuseUnmeetableDeadlines(gate_actions &Actions,
                                               instant Now) {
  if (!Settings.EnforcesDeadlines)
    return;
  while (const auto Ticket = Queue.takeDueBefore(Now + requiredTime()))
    Actions.Refused.push_back({*Ticket, refusal_reason::DeadlineTooClose});
}

void admission_gate::recordLoadRefusal(importance Refused) {
  if (!Settings.RefusesBelowLevel ||
      (MostImportantRefused && *MostImportantRefused <= Refused))
    return;
  MostImportantRefused = Refused;
}

bool admission_gate::mayStart(instant Now) const {
  return Running.size() < Limiter->limit() && StartRate.mayStart(Now);
}

bool admission_gate::hasSpareCapacity(instant Now) const {
  return Queue.empty() && mayStart(Now);
}

std::size_t admission_gate::usableSlots() const {
  if (!StartRate.limit())
    return Limiter->limit();
  const double MeanSeconds =
      std::chrono::duration<double>(ServiceTime.mean()).count();
  const double Busy = std::min(*StartRate.limit() * MeanSeconds,
                               static_cast<double>(Limiter->limit()));
  return std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(Busy)));
}

bool admission_gate::isBelowLevel(importance Importance) const {
  return MostImportantRefused && Importance > *MostImportantRefused;
}

bool admission_gate::canMeetDeadline(const admission_ticket &Ticket,
                                     std::size_t Before, instant Now) const {
  if (!Settings.EnforcesDeadlines)
    return true;
  // While nothing runs, the mean service time may be out of date and no
  // completion would correct it, so only the deadline itself is checked.
  const duration WaitForStart = StartRate.waitBehind(Before, Now);
  if (Running.empty())
    return Now + WaitForStart < Ticket.Deadline;
  const double Rounds =
      static_cast<double>(Before) / static_cast<double>(Limiter->limit());
  const duration WaitForSlot(static_cast<duration::rep>(
      Rounds * static_cast<double>(ServiceTime.mean().count())));
  const duration Wait = std::max(WaitForSlot, WaitForStart);
  return Now + Wait + requiredTime() <= Ticket.Deadline &&
         Now < Ticket.Deadline;
}

duration admission_gate::requiredTime() const {
  return duration(static_cast<duration::rep>(
      Settings.ServiceTimesNeeded *
      static_cast<double>(ServiceTime.mean().count())));
}

std::size_t admission_gate::queueCapacity() const {
  double TargetCapacity =
      Settings.QueuedPerSlot * static_cast<double>(Limiter->limit());
  if (StartRate.limit())
    TargetCapacity = std::min(
        TargetCapacity,
        *StartRate.limit() *
            std::chrono::duration<double>(Settings.MaxWaitForStart).count());
  constexpr double MaximumCapacity = std::numeric_limits<std::uint32_t>::max();
  return std::max(
      Settings.MinimumQueueLength,
      static_cast<std::size_t>(std::min(TargetCapacity, MaximumCapacity)));
}

} // namespace clementine
