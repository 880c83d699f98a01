#ifndef CLEMENTINE_ADMISSION_GATE_ADMISSION_TICKET_H
#define CLEMENTINE_ADMISSION_GATE_ADMISSION_TICKET_H

#include "clementine_admission/gate/admission_level.h"
#include "clementine_core/identity/identity.h"
#include "clementine_core/time/clock.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace clementine {

/// One attempt that waits for admission to the upstream.
struct admission_ticket {
  /// Identifies the attempt at this gate; two attempts never share it.
  request_id RequestId;
  importance Importance = importance::Low;
  /// The hash of the whole request, the same at every hop.
  /// @see wholeRequestHash
  std::uint64_t RequestHash = 0;
  /// How many hops have been completed for the whole request.
  std::uint32_t WorkDone = 0;
  /// The time after which the answer is no longer useful.
  instant Deadline;

  auto operator<=>(const admission_ticket &) const = default;

  /// @returns the priority of the ticket.
  admission_rank rank() const {
    return rankOf(Importance, RequestHash, WorkDone);
  }
};

/// Why a ticket was refused. Whatever the reason, it was never run.
enum class refusal_reason : std::uint8_t {
  /// The queue was full of tickets with a better rank.
  QueueFull,
  /// It was queued and lost its place to a ticket with a better rank.
  Displaced,
  /// A more important ticket was refused for load, and the gate has had no
  /// spare capacity since.
  BelowLevel,
  /// Its deadline would have passed before the upstream could have answered.
  DeadlineTooClose,
  /// The upstream or the node is draining.
  Draining,
  /// A ticket with this identifier is already queued or running.
  AlreadyPresent,
};

/// A ticket that was refused without having been run.
struct refused_ticket {
  admission_ticket Ticket;
  refusal_reason Reason = refusal_reason::QueueFull;

  auto operator<=>(const refused_ticket &) const = default;
};

/// The actions that the embedder has to take after an event.
struct gate_actions {
  /// Tickets to send to the upstream now, in this order.
  std::vector<admission_ticket> Started;
  /// Tickets whose callers have to be informed that they were not run.
  std::vector<refused_ticket> Refused;

  bool operator==(const gate_actions &) const = default;
};

/// The result of an offer.
enum class offer_verdict : std::uint8_t {
  /// Send it to the upstream now.
  Admitted,
  /// It is queued; a later event starts or refuses it.
  Queued,
  /// It was refused and not run.
  Refused,
};

/// The decision on an offer, with the actions for other tickets.
struct offer_decision {
  offer_verdict Verdict = offer_verdict::Refused;
  /// Only meaningful for a refusal.
  refusal_reason Reason = refusal_reason::QueueFull;
  /// The level to send back to the sender.
  admission_level Level;
  /// The actions for other tickets.
  gate_actions Others;

  bool operator==(const offer_decision &) const = default;
};

/// How a started attempt ended.
enum class work_outcome : std::uint8_t {
  /// The upstream answered.
  Completed,
  /// The upstream ran it and failed, or broke off its answer.
  Failed,
  /// The upstream refused it without running it.
  Shed,
  /// No answer arrived before the deadline.
  TimedOut,
  /// It was cancelled while running.
  Cancelled,
};

/// How a started attempt ended, and how much of its time was spent in
/// sub-calls.
struct work_result {
  work_outcome Outcome = work_outcome::Completed;
  /// The time during which at least one sub-call was in progress. It is
  /// subtracted from the measured time, since a slow downstream service says
  /// nothing about this upstream's own load.
  duration SubCallTime{0};

  auto operator<=>(const work_result &) const = default;
};

} // namespace clementine

#endif
