#ifndef CLEMENTINE_WIRE_MESSAGES_MESSAGES_H
#define CLEMENTINE_WIRE_MESSAGES_MESSAGES_H

#include "clementine_core/identity/identity.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace clementine {

/// Whether a request is the first send of its idempotency key or a re-send.
enum class send_number : std::uint8_t {
  /// The caller has not stated it; only a claim can determine it.
  Unnumbered = 0,
  /// No earlier send of this key can have run.
  First = 1,
  /// An earlier send of this key may have run.
  Again = 2,
};

/// The context of a request that is passed from hop to hop.
struct request_context {
  /// Identifies the end-to-end request; the same at every hop.
  request_id Request;
  /// The name of the caller as defined in the bundle.
  std::string Caller;
  /// The idempotency key of this hop; below the root it is derived from the
  /// parent's key.
  std::string Key;
  /// Determined at the entry node and inherited by all later hops.
  importance Importance = importance::Normal;
  send_number Send = send_number::Unnumbered;
  /// The number of hops above this one.
  std::uint8_t Depth = 0;
  /// The number of hops completed so far for the end-to-end request.
  std::uint32_t WorkDone = 0;
  /// The time left for this hop, in microseconds.
  std::uint64_t RemainingMicroseconds = 0;
  /// The number of retries allotted to this hop and all hops below it.
  std::uint32_t RetryBudget = 0;
  /// The W3C traceparent of the hop that sent this.
  std::string TraceParent;

  bool operator==(const request_context &) const = default;
};

/// An HTTP header field that is forwarded from caller to upstream or back.
struct header_field {
  std::string Name;
  std::string Value;

  bool operator==(const header_field &) const = default;
};

/// An HTTP request without its target address.
struct http_payload {
  std::string Method;
  std::vector<header_field> Headers;
  std::string Body;

  bool operator==(const http_payload &) const = default;
};

/// A complete HTTP answer from an upstream.
struct http_answer {
  std::uint16_t Status = 0;
  std::vector<header_field> Headers;
  std::string Body;

  bool operator==(const http_answer &) const = default;
};

/// Asks a node to run a request on its upstream.
struct run_request {
  /// Identifies this attempt; a node runs an identifier at most once.
  request_id Run;
  request_context Context;
  std::string Service;
  std::string Operation;
  bool Repeatable = false;
  /// The claim under which a request that must not be repeated is run; zero
  /// for a numbered send.
  std::uint64_t Claim = 0;
  http_payload Payload;

  bool operator==(const run_request &) const = default;
};

/// Why a request was not run, or why its outcome is unknown.
enum class refusal : std::uint8_t {
  None = 0,
  /// The upstream's gate is shedding load.
  Overloaded,
  /// A more important request took its place in the queue.
  Displaced,
  /// The node or its upstream is leaving.
  Leaving,
  /// The remaining time was too short.
  DeadlinePassed,
  /// The table of requests that must not be repeated is full.
  LedgerFull,
  /// No connection to the upstream could be opened.
  UpstreamUnreachable,
  /// The upstream reported that it did not run the request.
  UpstreamRefused,
  /// The node has no upstream for the service and knows of no node that has.
  NoUpstream,
  /// A re-send has fenced this send, so that it never runs.
  Fenced,
  /// The caller exceeds a limit set in the bundle.
  CallerLimit,
  /// The node has no bundle yet.
  NoBundle,
  UnknownCaller,
  UnknownOperation,
  /// A request that must not be repeated has no idempotency key.
  KeyRequired,
  /// The platform could not record the claim.
  ClaimUnavailable,
  /// The request violates the protocol.
  Malformed,
  /// A queue or table of the node is full.
  NodeBusy,
  /// No node of the service could be reached.
  NodeUnreachable,
  /// The connection was lost after the request was sent.
  ConnectionLost,
  /// The node that held the request was replaced.
  NodeReplaced,
  /// No node holds a record of an earlier send.
  NoRecord,
  /// The caller cancelled the request.
  Cancelled,
};

/// The number of refusal values.
constexpr std::uint8_t RefusalCount =
    static_cast<std::uint8_t>(refusal::Cancelled) + 1;

/// @returns a short lower-case name of @p Reason, such as `overloaded`.
std::string_view refusalName(refusal Reason);

/// The possible outcomes that are reported to a caller.
enum class run_outcome : std::uint8_t {
  /// The complete answer of the upstream is included.
  Completed = 0,
  /// The request was not run and will not be run.
  NotRun = 1,
  /// The request may or may not have run.
  Unknown = 2,
};

/// Reports the outcome of an attempt.
struct run_answer {
  request_id Run;
  run_outcome Outcome = run_outcome::Unknown;
  refusal Reason = refusal::None;
  http_answer Answer;
  /// The unused part of the allotted retry budget.
  std::uint32_t ReturnedBudget = 0;
  /// The admission level of the answering gate, as an index.
  std::uint32_t AdmissionLevel = 0;
  /// The strictest admission level of this gate and of all gates called by the
  /// run.
  std::uint32_t PathLevel = 0;
  /// Whether the answering node is leaving.
  bool Leaving = false;

  bool operator==(const run_answer &) const = default;
};

/// Queries the outcome of a request that was sent earlier.
///
/// A query by run identifier is for an attempt whose connection was lost. A
/// query by key is sent for a re-send and never starts a run: the node replies
/// with the answer of the run once it ends, or that it holds no record.
struct run_query {
  request_id Run;
  /// Empty for a query by run identifier.
  std::string Key;
  /// If not zero and the node holds no record of Key, the node records that
  /// this claim must never run, and answers NotRun with the reason Fenced.
  std::uint64_t Claim = 0;

  bool operator==(const run_query &) const = default;
};

/// The reply to a query for a run of which the node holds no record.
struct run_not_found {
  request_id Run;

  bool operator==(const run_not_found &) const = default;
};

/// Cancels an attempt.
struct run_cancel {
  request_id Run;

  bool operator==(const run_cancel &) const = default;
};

/// Checks that a connection is still alive.
struct heartbeat {
  std::uint64_t Number = 0;
  bool IsReply = false;

  bool operator==(const heartbeat &) const = default;
};

/// The first message on a connection, in both directions.
struct hello {
  node_identity Node;
  std::uint16_t ProtocolVersion = 0;
  /// Random bytes that make the frame tags of this connection unique.
  std::string Nonce;

  bool operator==(const hello &) const = default;
};

/// Requests the changes to the bundle since a version.
struct bundle_fetch {
  std::uint64_t HaveVersion = 0;

  bool operator==(const bundle_fetch &) const = default;
};

/// Carries an encoded update of the bundle module.
struct bundle_transfer {
  std::string Update;

  bool operator==(const bundle_transfer &) const = default;
};

/// Any message that nodes exchange over TCP.
using peer_message =
    std::variant<hello, heartbeat, run_request, run_answer, run_query,
                 run_not_found, run_cancel, bundle_fetch, bundle_transfer>;

} // namespace clementine

#endif
