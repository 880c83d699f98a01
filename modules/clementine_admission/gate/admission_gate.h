#ifndef CLEMENTINE_ADMISSION_GATE_ADMISSION_GATE_H
#define CLEMENTINE_ADMISSION_GATE_ADMISSION_GATE_H

#include "clementine_admission/gate/admission_ticket.h"
#include "clementine_admission/gate/level_tracker.h"
#include "clementine_admission/gate/service_time.h"
#include "clementine_admission/gate/ticket_queue.h"
#include "clementine_admission/limits/concurrency_limiter.h"

#include <compare>
#include <cstddef>
#include <memory>
#include <optional>
#include <unordered_map>

namespace clementine {

/// How an admission_gate queues. The switches exist so that each mechanism can
/// be measured alone; a product leaves them on.
struct admission_gate_settings {
  /// How many tickets may wait for each slot of the limit.
  double QueuedPerSlot = 1.0;
  /// The shortest queue, for upstreams with few slots.
  std::size_t MinimumQueueLength = 4;
  /// A ticket is refused when less than this many mean service times are left
  /// before its deadline.
  double ServiceTimesNeeded = 1.0;
  /// Whether the order is by rank; otherwise by arrival.
  bool OrdersByRank = true;
  /// Whether deadlines count.
  bool EnforcesDeadlines = true;
  /// Whether a refusal keeps less important tickets out until a slot is free.
  bool RefusesBelowLevel = true;

  auto operator<=>(const admission_gate_settings &) const = default;
};

/// What became of a cancelled ticket.
enum class cancel_result : std::uint8_t {
  /// It was waiting and is gone; it was never run.
  Removed,
  /// It is running. Its slot stays taken until complete().
  Running,
  /// It isn't here.
  Unknown,
};

/// The gate beside one upstream: decides what runs, what waits and what is
/// refused.
///
/// Every offered ticket ends exactly once: admitted at once, started or refused
/// by a later event, or removed by cancel(). A refused ticket was never run.
///
/// Order: what waits starts strictly by rank. A full queue gives up the ticket
/// of the last rank. After a refusal for load, less important tickets are
/// refused too until a slot is free and nothing waits, so that no lesser
/// request gets in after a more important one was refused. Within one
/// importance this does not hold: it would empty the queue, and the free slots
/// would then go to whatever comes first.
///
/// Free of I/O and threads; not copyable.
class admission_gate {
public:
  /// @param Limiter says how many attempts may run at once.
  admission_gate(admission_gate_settings Settings,
                 std::unique_ptr<concurrency_limiter> Limiter);

  admission_gate(const admission_gate &) = delete;
  admission_gate &operator=(const admission_gate &) = delete;

  /// Asks to run a ticket.
  offer_decision offer(const admission_ticket &Ticket, instant Now);

  /// Tells how a started ticket ended and starts what its slot allows. An
  /// unknown identifier changes nothing.
  gate_actions complete(const request_id &RequestId, const work_result &Result,
                        instant Now);

  /// Takes back a ticket whose caller is gone.
  cancel_result cancel(const request_id &RequestId);

  /// Refuses what waits and can no longer be answered before its deadline.
  /// @see nextWake
  gate_actions expire(instant Now);

  /// Refuses what waits and everything offered from now on. What runs goes on.
  gate_actions drain(instant Now);

  /// @returns when expire() next has something to do, if anything waits.
  std::optional<instant> nextWake() const;

  /// @returns the level to send back on answers.
  admission_level level() const { return Tracker.level(); }

  bool isDraining() const { return Draining; }
  std::size_t running() const { return Running.size(); }
  std::size_t queued() const { return Queue.size(); }
  std::size_t limit() const { return Limiter->limit(); }
  /// @returns the learned time from start to answer, sub-calls included.
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
  bool hasSpareCapacity() const;
  bool isBelowLevel(importance Importance) const;
  bool canMeetDeadline(const admission_ticket &Ticket, std::size_t Before,
                       instant Now) const;
  duration requiredTime() const;
  std::size_t queueCapacity() const;

  const admission_gate_settings Settings;
  const std::unique_ptr<concurrency_limiter> Limiter;
  std::unordered_map<request_id, running_attempt, request_id_hash> Running;
  ticket_queue Queue;
  service_time ServiceTime;
  level_tracker Tracker;
  /// Of what was refused for load since there was last a free slot.
  std::optional<importance> MostImportantRefused;
  bool Draining = false;
};

} // namespace clementine

#endif
