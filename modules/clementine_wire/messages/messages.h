#ifndef CLEMENTINE_WIRE_MESSAGES_MESSAGES_H
#define CLEMENTINE_WIRE_MESSAGES_MESSAGES_H

#include "clementine_core/identity/identity.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace clementine {

/// Says which send of one idempotency key a request is.
enum class send_number : std::uint8_t {
  /// Nobody has said so; only a claim can tell.
  Unnumbered = 0,
  /// No earlier send of this key can have run.
  First = 1,
  /// An earlier send of this key may have run.
  Again = 2,
};

/// What every hop of one whole request knows about it.
struct request_context {
  /// The whole request, the same at every hop.
  request_id Request;
  /// The caller that the bundle knows.
  std::string Caller;
  /// The idempotency key of this hop; derived from the parent's below the root.
  std::string Key;
  /// Looked up at the entry, inherited below.
  importance Importance = importance::Normal;
  send_number Send = send_number::Unnumbered;
  /// How many hops lie above this one.
  std::uint8_t Depth = 0;
  /// How many hops have been completed for the whole request.
  std::uint32_t WorkDone = 0;
  /// The time left for this hop, in microseconds.
  std::uint64_t RemainingMicroseconds = 0;
  /// The extra attempts lent to this hop and everything below it.
  std::uint32_t RetryBudget = 0;
  /// The W3C traceparent of the hop that sent this.
  std::string TraceParent;

  bool operator==(const request_context &) const = default;
};

/// One HTTP header field that passes from caller to upstream or back.
struct header_field {
  std::string Name;
  std::string Value;

  bool operator==(const header_field &) const = default;
};

/// An HTTP request without its addressing.
struct http_payload {
  std::string Method;
  std::vector<header_field> Headers;
  std::string Body;

  bool operator==(const http_payload &) const = default;
};

/// A whole HTTP answer of an upstream.
struct http_answer {
  std::uint16_t Status = 0;
  std::vector<header_field> Headers;
  std::string Body;

  bool operator==(const http_answer &) const = default;
};

/// Asks a node to run a request on its upstream.
struct run_request {
  /// Names this attempt; a node runs one identifier at most once.
  request_id Run;
  request_context Context;
  std::string Service;
  std::string Operation;
  bool Repeatable = false;
  /// The claim under which a request that may not be repeated is run; zero for
  /// a numbered send.
  std::uint64_t Claim = 0;
  http_payload Payload;

  bool operator==(const run_request &) const = default;
};

/// Why a request was not run, or why what became of it is unknown.
enum class refusal : std::uint8_t {
  None = 0,
  /// The upstream's gate sheds load.
  Overloaded,
  /// A more important request took its place in the queue.
  Displaced,
  /// The node or its upstream is leaving.
  Leaving,
  /// There was not enough time left.
  DeadlinePassed,
  /// The records of requests that may not be repeated are full.
  LedgerFull,
  /// No connection to the upstream could be opened.
  UpstreamUnreachable,
  /// The upstream itself said that it did not run the request.
  UpstreamRefused,
  /// The node has no upstream for the service, or knows no node that has.
  NoUpstream,
  /// A re-send made sure that this send never runs.
  Fenced,
  /// The caller is above a limit of the bundle.
  CallerLimit,
  /// The node has no bundle yet.
  NoBundle,
  UnknownCaller,
  UnknownOperation,
  /// A request that may not be repeated came without an idempotency key.
  KeyRequired,
  /// The platform could not record the claim.
  ClaimUnavailable,
  /// The request breaks the protocol.
  Malformed,
  /// A ring or table of the node is full.
  NodeBusy,
  /// No node of the service could be reached.
  NodeUnreachable,
  /// The connection broke after the request was sent.
  ConnectionLost,
  /// The node that held the request was replaced.
  NodeReplaced,
  /// No node holds a record of an earlier send.
  NoRecord,
  /// The caller withdrew the request.
  Cancelled,
};

/// The number of enumerators of refusal.
constexpr std::uint8_t RefusalCount =
    static_cast<std::uint8_t>(refusal::Cancelled) + 1;

/// @returns a short lower-case name of @p Reason, such as `overloaded`.
std::string_view refusalName(refusal Reason);

/// The three truths that a caller can be told.
enum class run_outcome : std::uint8_t {
  /// The whole answer of the upstream follows.
  Completed = 0,
  /// It was not run and will not be.
  NotRun = 1,
  /// It may or may not have run.
  Unknown = 2,
};

/// Tells how one attempt ended.
struct run_answer {
  request_id Run;
  run_outcome Outcome = run_outcome::Unknown;
  refusal Reason = refusal::None;
  http_answer Answer;
  /// The unused part of the lent retry budget.
  std::uint32_t ReturnedBudget = 0;
  /// The admission level of the answering gate, as an index.
  std::uint32_t AdmissionLevel = 0;
  /// The strictest level of this gate and of all that its run called.
  std::uint32_t PathLevel = 0;
  /// Whether the answering node is leaving.
  bool Leaving = false;

  bool operator==(const run_answer &) const = default;
};

/// Asks what became of a request that was sent before.
///
/// With a run identifier it concerns one attempt whose connection was lost.
/// With a key it is the look-up of a re-send, which never starts a run: the
/// node answers with the run's answer when it ends, or that it holds no record.
struct run_query {
  request_id Run;
  /// Empty for a query by run identifier.
  std::string Key;
  /// When not zero and the node holds no record of Key, it records that this
  /// claim may never run, and answers NotRun for the reason Fenced.
  std::uint64_t Claim = 0;

  bool operator==(const run_query &) const = default;
};

/// Answers a query about a run of which the node holds no record.
struct run_not_found {
  request_id Run;

  bool operator==(const run_not_found &) const = default;
};

/// Withdraws interest in an attempt.
struct run_cancel {
  request_id Run;

  bool operator==(const run_cancel &) const = default;
};

/// Proves that a connection still passes bytes.
struct heartbeat {
  std::uint64_t Number = 0;
  bool IsReply = false;

  bool operator==(const heartbeat &) const = default;
};

/// The first message on a connection, in both directions.
struct hello {
  node_identity Node;
  std::uint16_t ProtocolVersion = 0;
  /// Random bytes that make the session's keys unique.
  std::string Nonce;

  bool operator==(const hello &) const = default;
};

/// Asks a peer for what changed in the bundle since a version.
struct bundle_fetch {
  std::uint64_t HaveVersion = 0;

  bool operator==(const bundle_fetch &) const = default;
};

/// Carries an encoded update of the bundle module.
struct bundle_transfer {
  std::string Update;

  bool operator==(const bundle_transfer &) const = default;
};

/// Everything that one node may say to another over TCP.
using peer_message =
    std::variant<hello, heartbeat, run_request, run_answer, run_query,
                 run_not_found, run_cancel, bundle_fetch, bundle_transfer>;

} // namespace clementine

#endif
