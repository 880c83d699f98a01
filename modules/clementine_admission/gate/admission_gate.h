#ifndef CLEMENTINE_ADMISSION_GATE_ADMISSION_GATE_H
#define CLEMENTINE_ADMISSION_GATE_ADMISSION_GATE_H

#include "clementine_admission/gate/admission_ticket.h"
#include "clementine_admission/gate/level_tracker.h"
#include "clementine_admission/gate/service_time.h"
#include "clementine_admission/gate/ticket_queue.h"
#include "clementine_admission/limits/concurrency_limiter.h"
#include "clementine_admission/limits/start_rate.h"

#include <compare>
#include <cstddef>
#include <memory>
#include <optional>
#include <unordered_map>

namespace clementine {

/// Settings of an admission_gate. The switches exist so that each mechanism can
/// be measured alone; in production all of them are on.
struct admission_gate_settings {
  /// The number of tickets that may wait for each slot of the limit.
  double QueuedPerSlot = 1.0;
  /// The minimum capacity of the queue, for upstreams with few slots.
  std::size_t MinimumQueueLength = 4;
  /// While the starts are limited, no more tickets wait than can start in this
  /// time, but always MinimumQueueLength.
  duration MaxWaitForStart = std::chrono::milliseconds(500);
  /// A ticket is refused when less than this many mean service times are left
  /// before its deadline.
  double ServiceTimesNeeded = 1.0;
  /// Whether the queue is ordered by rank; otherwise by arrival.
  bool OrdersByRank = true;
  /// Whether tickets that cannot meet their deadline are refused.
  bool EnforcesDeadlines = true;
  /// Whether, after a refusal for load, less important tickets are refused
  /// until a slot is free and the queue is empty.
  bool RefusesBelowLevel = true;

  auto operator<=>(const admission_gate_settings &) const = default;
};

/// The result of cancelling a ticket.
enum class cancel_result : std::uint8_t {
  /// It was queued and has been removed; it was never run.
  Removed,
  /// It is running. Its slot stays occupied until complete().
  Running,
  /// It is neither queued nor running.
  Unknown,
};

/// Admission control for one upstream: decides which tickets run, wait or are
/// refused.
///
/// Every offered ticket ends exactly once: admitted at once, started or refused
/// by a later event, or removed by cancel(). A refused ticket was never run.
///
/// Queued tickets start strictly by rank. When the queue is full, the ticket
/// with the last rank is refused. After a refusal for load, less important
/// tickets are refused too until a slot is free and the queue is empty, so that
/// no less important request is admitted after a more important one was
/// refused. This does not apply within one importance: it would empty the
/// queue, and the free slots would then go to whichever request arrives first.
///
/// Free of I/O and threads; not copyable.
class admission_gate {
public:
  /// @param Limiter determines how many attempts may run at once.
  admission_gate(admission_gate_settings Settings,
                 std::unique_ptr<concurrency_limiter> Limiter);

  admission_gate(const admission_gate &) = delete;
  admission_gate &operator=(const admission_gate &) = delete;

  /// Admits, queues or refuses a ticket.
  offer_decision offer(const admission_ticket &Ticket, instant Now);

  /// Records how a started ticket ended and starts queued tickets in the slots
  /// that are free. An unknown identifier changes nothing.
  gate_actions complete(const request_id &RequestId, const work_result &Result,
                        instant Now);

  /// Removes a queued ticket whose caller has gone away. A running ticket is
  /// left alone.
  cancel_result cancel(const request_id &RequestId);

  /// Sets how many tickets may start per second; std::nullopt removes the
  /// limit. Queued tickets start at the next expire() or complete().
  void limitStarts(std::optional<double> PerSecond, instant Now) {
    StartRate.limit(PerSecond, Now);
  }

  /// Refuses queued tickets that can no longer be answered before their
  /// deadlines, and starts those whose turn has come.
  /// @see nextWake
  gate_actions expire(instant Now);

  /// Refuses all queued tickets and every later offer. Running attempts
  /// continue.
  gate_actions drain(instant Now);

  /// @returns when expire() next has something to do, or nullopt if nothing is
  /// queued, or deadlines are not enforced and starts are not limited.
  std::optional<instant> nextWake() const;

  /// @returns the level to send back with answers.
  admission_level level() const { return Tracker.level(); }

  bool isDraining() const { return Draining; }
  std::size_t running() const { return Running.size(); }
  std::size_t queued() const { return Queue.size(); }
  std::size_t limit() const { return Limiter->limit(); }
  /// @returns how many tickets can be running: the limit, or fewer if the
  /// starts are limited.
  std::size_t usableSlots() const;
  /// @returns the mean time from start to answer, sub-calls included.
  duration meanServiceTime() const { return ServiceTime.mean(); }

private:
  struct running_attempt {
    instant StartedAt;
    std::size_t InFlightAtStart = 0;
  };

  offer_decision refuse(const admission_ticket &Ticket, refusal_reason Reason,
                        instant Now);
  offer_decision enqueue(const admission_ticket &Ticket, instant Now);
  void start(const admission_ticket &Ticket, instant Now);
  void startWaiting(gate_actions &Actions, instant Now);
  void refuseUnmeetableDeadlines(gate_actions &Actions, instant Now);
  void recordLoadRefusal(importance Refused);
  bool mayStart(instant Now) const;
  bool hasSpareCapacity(instant Now) const;
  bool isBelowLevel(importance Importance) const;
  bool canMeetDeadline(const admission_ticket &Ticket, std::size_t Before,
                       instant Now) const;
  duration requiredTime() const;
  std::size_t queueCapacity() const;

  const admission_gate_settings Settings;
  const std::unique_ptr<concurrency_limiter> Limiter;
  std::unordered_map<request_id, running_attempt, request_id_hash> Running;
  ticket_queue Queue;
  start_rate StartRate;
  service_time ServiceTime;
  level_tracker Tracker;
  /// The highest importance refused for load since there was last spare
  /// capacity.
  std::optional<importance> MostImportantRefused;
  bool Draining = false;
};

} // namespace clementine

#endif
