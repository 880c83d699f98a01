#ifndef CLEMENTINE_ADMISSION_GATE_ADMISSION_TICKET_H
#define CLEMENTINE_ADMISSION_GATE_ADMISSION_TICKET_H

#include "clementine_admission/gate/admission_level.h"
#include "clementine_core/identity/identity.h"
#include "clementine_core/time/clock.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace clementine {

/// One attempt that asks to be run by the upstream.
struct admission_ticket {
  /// Names the attempt at this gate; two attempts never share it.
  request_id RequestId;
  importance Importance = importance::Low;
  /// The hash of the whole request, the same at every hop.
  /// @see wholeRequestHash
  std::uint64_t RequestHash = 0;
  /// How many hops have been completed for the whole request.
  std::uint32_t WorkDone = 0;
  /// When the answer is no longer of use.
  instant Deadline;

  auto operator<=>(const admission_ticket &) const = default;

  /// @returns the ticket's place in the order of survival.
  admission_rank rank() const {
    return rankOf(Importance, RequestHash, WorkDone);
  }
};

/// Why a ticket was refused. Whatever the reason, it was never run.
enum class refusal_reason : std::uint8_t {
  /// All places were taken by tickets that go before it.
  QueueFull,
  /// It was queued, and a ticket that goes before it took its place.
  Displaced,
  /// A more important ticket was refused a moment ago, and there has been no
  /// free slot since.
  BelowLevel,
  /// Its deadline would have passed before the upstream could have answered.
  DeadlineTooClose,
  /// The upstream or the node is leaving.
  Draining,
  /// A ticket with this identifier is already queued or running.
  AlreadyPresent,
};

/// A ticket that ends here without having been run.
struct refused_ticket {
  admission_ticket Ticket;
  refusal_reason Reason = refusal_reason::QueueFull;

  auto operator<=>(const refused_ticket &) const = default;
};

/// What the embedder has to do after an event.
struct gate_actions {
  /// Send these to the upstream now, in this order.
  std::vector<admission_ticket> Started;
  /// Tell these that they were not run.
  std::vector<refused_ticket> Refused;

  bool operator==(const gate_actions &) const = default;
};

/// How an offer was answered.
enum class offer_verdict : std::uint8_t {
  /// Send it to the upstream now.
  Admitted,
  /// It waits; a later event starts or refuses it.
  Queued,
  /// It ends here and was not run.
  Refused,
};

/// The answer to an offer.
struct offer_decision {
  offer_verdict Verdict = offer_verdict::Refused;
  /// Has a meaning only for a refusal.
  refusal_reason Reason = refusal_reason::QueueFull;
  /// The level to send back.
  admission_level Level;
  /// What to do with other tickets.
  gate_actions Others;

  bool operator==(const offer_decision &) const = default;
};

/// How a started attempt ended.
enum class work_outcome : std::uint8_t {
  /// The upstream answered.
  Completed,
  /// The upstream ran it and failed, or broke off.
  Failed,
  /// The upstream refused it without running it.
  Shed,
  /// No answer came within the deadline.
  TimedOut,
  /// It was cancelled while running.
  Cancelled,
};

/// How a started attempt ended and what of its time was not the upstream's.
struct work_result {
  work_outcome Outcome = work_outcome::Completed;
  /// The time during which at least one sub-call was under way. The limiter
  /// subtracts it, since a slow service further down says nothing about this
  /// upstream's own load.
  duration SubCallTime{0};

  auto operator<=>(const work_result &) const = default;
};

} // namespace clementine

#endif
