#ifndef CLEMENTINE_PROXY_PEERS_PEER_MESSAGES_H
#define CLEMENTINE_PROXY_PEERS_PEER_MESSAGES_H

#include "clementine_proxy/http/messages.h"
#include "clementine_proxy/model/instance_record.h"
#include "clementine_proxy/model/routing_config.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace clementine::proxy {

/// Names one attempt to run a request, on every node.
using attempt_id = request_id;

/// How busy a gate is and whether it takes work.
struct gate_status {
  /// The instance that takes work; empty while there is none.
  std::string Instance;
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
  /// How many may run at once.
  std::uint32_t Limit = 0;
  /// Whether the last connection to the instance could be made.
  bool IsReachable = true;

  bool operator==(const gate_status &) const = default;
};

/// The first message of both ends of a link.
struct peer_hello {
  node_record Self;
  std::uint64_t ConfigVersion = 0;
  gate_status Gate;

  bool operator==(const peer_hello &) const = default;
};

/// Asks a gate to run a request on its instance.
struct attempt_request {
  attempt_id Attempt;
  /// As the caller named the request; for logs.
  std::string RequestId;
  std::string Service;
  /// 0 is the most important.
  std::uint32_t Priority = 0;
  bool IsIdempotent = false;
  /// Whether no route is less urgent.
  bool HasLowestPriority = false;
  /// Until the entry gives its final answer, in microseconds.
  std::int64_t TimeLeftMicroseconds = 0;
  request Request;

  bool operator==(const attempt_request &) const = default;
};

/// What became of an attempt.
enum class run_outcome : std::uint8_t {
  /// The instance's whole answer follows.
  Completed,
  /// It has not run and never will.
  NotRun,
  /// It was handed to the instance, and its answer was lost or spoilt.
  Unknown,
};

/// Why an attempt was not completed.
enum class run_cause : std::uint8_t {
  None,
  /// The gate's queue was full, or others went before it.
  Overloaded,
  /// The least urgent work is held back, since too much of it fails.
  LoadShed,
  /// The rest of its time would not have been enough.
  TooLate,
  /// No instance takes work at this gate.
  NoInstance,
  /// The instance could not be reached.
  Unreachable,
  /// The instance refused it and certified that it did not run it.
  Rejected,
  /// The caller or the entry took it back.
  Cancelled,
  /// The instance broke off, or its answer was spoilt.
  NoValidResponse,
  /// The link to the gate was lost.
  LinkLost,
  /// The gate does not know it, and refuses it from now on.
  UnknownAttempt,
};

/// @returns the lower-case name for logs.
std::string_view runOutcomeName(run_outcome Outcome);
std::string_view runCauseName(run_cause Cause);

/// The end of an attempt.
struct run_report {
  attempt_id Attempt;
  run_outcome Outcome = run_outcome::NotRun;
  run_cause Cause = run_cause::None;
  /// Whether the instance got it, even if it then refused it.
  bool ReachedInstance = false;
  response Response;
  gate_status Gate;
  /// The configuration in force at the gate's node.
  std::uint64_t ConfigVersion = 0;

  bool operator==(const run_report &) const = default;
};

/// Asks for the end of an attempt whose link was lost. A gate that does not
/// know the attempt never runs it from then on.
struct run_query {
  attempt_id Attempt;

  bool operator==(const run_query &) const = default;
};

/// Takes an attempt back.
struct run_cancel {
  attempt_id Attempt;
  /// Whether to break it off at the instance if it has begun.
  bool AbortsRunning = false;

  bool operator==(const run_cancel &) const = default;
};

/// Shows that the link is alive; answered by a peer_status.
struct peer_probe {
  std::uint64_t ConfigVersion = 0;

  bool operator==(const peer_probe &) const = default;
};

/// Answers a peer_probe, and tells of a change at once.
struct peer_status {
  std::uint64_t ConfigVersion = 0;
  gate_status Gate;

  bool operator==(const peer_status &) const = default;
};

/// Asks for the configuration that the peer holds.
struct config_request {
  bool operator==(const config_request &) const = default;
};

/// Brings a configuration.
struct config_transfer {
  routing_config Config;

  bool operator==(const config_transfer &) const = default;
};

using peer_message =
    std::variant<peer_hello, attempt_request, run_report, run_query, run_cancel,
                 peer_probe, peer_status, config_request, config_transfer>;

/// The most bytes of one message.
constexpr std::size_t MaxPeerMessage = std::size_t{72} << 20U;

/// @returns the message behind its length: 4 bytes, the most significant first.
std::string encodeFrame(const peer_message &Message);

/// How a look for a frame ended.
enum class frame_progress : std::uint8_t { Incomplete, Complete, Malformed };

/// Takes the first frame from the front of @p Buffer.
/// @param Offset where the unread bytes begin; moved behind a whole frame.
frame_progress decodeFrame(const std::string &Buffer, std::size_t &Offset,
                           peer_message &Message);

} // namespace clementine::proxy

#endif
