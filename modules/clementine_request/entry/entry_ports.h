#ifndef CLEMENTINE_REQUEST_ENTRY_ENTRY_PORTS_H
#define CLEMENTINE_REQUEST_ENTRY_ENTRY_PORTS_H

#include "clementine_core/clementine_core.h"
#include "clementine_request/tracing/hop_trace.h"
#include "clementine_wire/messages/messages.h"

#include <cstdint>
#include <optional>
#include <string>

namespace clementine {

/// Names one caller's request within the node it entered by.
using call_id = std::uint64_t;

/// A request as it came from a caller, or from the upstream as a sub-call.
struct caller_request {
  call_id Call = 0;
  /// Who calls; empty for a sub-call.
  std::string Caller;
  std::string Service;
  std::string Operation;
  /// The idempotency key; may be empty.
  std::string Key;
  send_number Send = send_number::Unnumbered;
  /// The time that the caller allows, if it says so.
  std::optional<duration> Timeout;
  /// The run that makes this sub-call, named by the token it was given.
  std::optional<request_id> Parent;
  std::string TraceParent;
  http_payload Payload;

  bool operator==(const caller_request &) const = default;
};

/// What a caller is told. There is no fourth outcome.
struct caller_answer {
  call_id Call = 0;
  request_id Request;
  run_outcome Outcome = run_outcome::Unknown;
  refusal Reason = refusal::None;
  /// Has a meaning for Completed only.
  http_answer Answer;

  bool operator==(const caller_answer &) const = default;
};

/// Answers callers, each exactly once.
class caller_port {
public:
  virtual ~caller_port() = default;

  virtual void answerCaller(caller_answer Answer) = 0;
};

/// Asks for the right to run a key at one gate.
struct claim_request {
  call_id Call = 0;
  std::string Key;
  /// The one node that may run it under this claim.
  node_identity Gate;
  /// The claim to be replaced; 0 when there must be none.
  std::uint64_t Replaces = 0;

  bool operator==(const claim_request &) const = default;
};

/// How a claim_request ended.
enum class claim_status : std::uint8_t {
  /// The claim is recorded as asked for.
  Granted,
  /// Another claim stands.
  Held,
  /// The platform could not be asked, or its answer was lost. Whether the claim
  /// was recorded is not known.
  Unavailable,
};

/// The answer to a claim_request.
struct claim_result {
  call_id Call = 0;
  claim_status Status = claim_status::Unavailable;
  /// The claim that stands; rises with each claim on a key.
  std::uint64_t Claim = 0;
  /// The gate that the standing claim names.
  node_identity Gate;

  bool operator==(const claim_result &) const = default;
};

/// Records claims in the platform by compare-and-swap.
class claim_port {
public:
  virtual ~claim_port() = default;

  /// A claim_result follows as an event.
  virtual void requestClaim(claim_request Request) = 0;
};

/// What became of one request at the node it entered by.
struct entry_report {
  request_id Request;
  std::string Caller;
  std::string Service;
  std::string Operation;
  hop_trace Trace;
  importance Importance = importance::Normal;
  std::uint8_t Depth = 0;
  /// In the bundle's units; 0 for a request that the bundle does not know.
  double Cost = 0;
  run_outcome Outcome = run_outcome::Unknown;
  refusal Reason = refusal::None;
  std::uint16_t Status = 0;
  /// How many attempts were sent to nodes.
  unsigned Attempts = 0;
  duration Taken{0};

  bool operator==(const entry_report &) const = default;
};

/// Hears how each request ended, for spans, metrics and caller usage.
class entry_observer {
public:
  virtual ~entry_observer() = default;

  virtual void callEnded(const entry_report &Report) = 0;
};

} // namespace clementine

#endif
