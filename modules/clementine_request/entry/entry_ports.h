#ifndef CLEMENTINE_REQUEST_ENTRY_ENTRY_PORTS_H
#define CLEMENTINE_REQUEST_ENTRY_ENTRY_PORTS_H

#include "clementine_core/clementine_core.h"
#include "clementine_request/tracing/hop_trace.h"
#include "clementine_wire/messages/messages.h"

#include <cstdint>
#include <optional>
#include <string>

namespace clementine {

/// Identifies a caller's request within the entry node.
using call_id = std::uint64_t;

/// A request received from a caller, or from the upstream as a sub-call.
struct caller_request {
  call_id Call = 0;
  /// The name of the caller; empty for a sub-call.
  std::string Caller;
  std::string Service;
  std::string Operation;
  /// The idempotency key; may be empty.
  std::string Key;
  send_number Send = send_number::Unnumbered;
  /// The time-out set by the caller, if any.
  std::optional<duration> Timeout;
  /// The token of the run that makes this sub-call; empty for a caller's
  /// request.
  std::optional<request_id> Parent;
  std::string TraceParent;
  http_payload Payload;

  bool operator==(const caller_request &) const = default;
};

/// The answer to a caller, with one of exactly three outcomes.
struct caller_answer {
  call_id Call = 0;
  request_id Request;
  run_outcome Outcome = run_outcome::Unknown;
  refusal Reason = refusal::None;
  /// Valid only for Completed.
  http_answer Answer;

  bool operator==(const caller_answer &) const = default;
};

/// Sends answers to callers, exactly one per request.
class caller_port {
public:
  virtual ~caller_port() = default;

  virtual void answerCaller(caller_answer Answer) = 0;
};

/// Requests the exclusive right to run a key at one gate.
struct claim_request {
  call_id Call = 0;
  std::string Key;
  /// The only node that may run the key under this claim.
  node_identity Gate;
  /// The claim to replace; 0 if the key must not have a claim yet.
  std::uint64_t Replaces = 0;

  bool operator==(const claim_request &) const = default;
};

/// The outcome of a claim_request.
enum class claim_status : std::uint8_t {
  /// The claim was recorded as requested.
  Granted,
  /// The key has another claim.
  Held,
  /// The platform was unreachable, or its answer was lost. Whether the claim
  /// was recorded is unknown.
  Unavailable,
};

/// The result of a claim_request.
struct claim_result {
  call_id Call = 0;
  claim_status Status = claim_status::Unavailable;
  /// The current claim; increases with each claim on a key.
  std::uint64_t Claim = 0;
  /// The node named by the current claim.
  node_identity Gate;

  bool operator==(const claim_result &) const = default;
};

/// Records claims in the platform with compare-and-swap.
class claim_port {
public:
  virtual ~claim_port() = default;

  /// Requests a claim; a claim_result follows as an event.
  virtual void requestClaim(claim_request Request) = 0;
};

/// The result of one request at its entry node.
struct entry_report {
  request_id Request;
  std::string Caller;
  std::string Service;
  std::string Operation;
  hop_trace Trace;
  importance Importance = importance::Normal;
  std::uint8_t Depth = 0;
  /// In the units of the bundle; 0 for a request that the bundle does not
  /// cover.
  double Cost = 0;
  run_outcome Outcome = run_outcome::Unknown;
  refusal Reason = refusal::None;
  std::uint16_t Status = 0;
  /// The number of attempts sent to nodes.
  unsigned Attempts = 0;
  duration Taken{0};

  bool operator==(const entry_report &) const = default;
};

/// Receives the result of each request, for spans, metrics and caller usage.
class entry_observer {
public:
  virtual ~entry_observer() = default;

  virtual void callEnded(const entry_report &Report) = 0;
};

} // namespace clementine

#endif
