#ifndef CLEMENTINE_REQUEST_GATE_UPSTREAM_PORT_H
#define CLEMENTINE_REQUEST_GATE_UPSTREAM_PORT_H

#include "clementine_core/clementine_core.h"
#include "clementine_wire/messages/messages.h"

#include <string>

namespace clementine {

/// A request that a node sends to its upstream.
struct upstream_call {
  /// Identifies the call; the upstream includes it in its sub-calls.
  request_id Token;
  std::string Operation;
  request_context Context;
  http_payload Payload;
  /// The time after which the call is aborted.
  duration Timeout{0};

  bool operator==(const upstream_call &) const = default;
};

/// The outcome of an upstream call.
enum class upstream_outcome : std::uint8_t {
  /// A complete answer was received.
  Answered,
  /// The upstream reported that it did not run the request.
  Refused,
  /// No byte of the request was sent.
  NotSent,
  /// The request was sent, but no complete answer was received.
  Broken,
};

/// The result of an upstream call.
struct upstream_result {
  request_id Token;
  upstream_outcome End = upstream_outcome::Broken;
  /// Valid only for Answered.
  http_answer Answer;

  bool operator==(const upstream_result &) const = default;
};

/// Calls the upstream on the same VM as this node. Results are delivered later
/// as events.
class upstream_port {
public:
  virtual ~upstream_port() = default;

  virtual void callUpstream(upstream_call Call) = 0;

  /// Asks the upstream to stop working on a call, and aborts the call.
  virtual void cancelUpstream(const request_id &Token) = 0;
};

} // namespace clementine

#endif
