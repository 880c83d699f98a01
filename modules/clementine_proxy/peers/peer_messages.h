#ifndef CLEMENTINE_PROXY_PEERS_PEER_MESSAGES_H
#define CLEMENTINE_PROXY_PEERS_PEER_MESSAGES_H

#include "clementine_proxy/http/messages.h"
#include "clementine_proxy/model/instance_record.h"
#include "clementine_proxy/model/message_limits.h"
#include "clementine_proxy/model/routing_config.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace clementine::proxy {

/// Identifies one attempt to run a request, across all nodes.
using attempt_id = request_id;

/// The load of a gate, the admission control for the instance of a node, and
/// whether it accepts requests.
struct gate_status {
  /// The instance that accepts requests; empty while there is none.
  std::string Instance;
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
  /// Maximum number of requests that may run concurrently.
  std::uint32_t Limit = 0;
  /// Whether the last attempt to connect to the instance succeeded.
  bool IsReachable = true;

  bool operator==(const gate_status &) const = default;
};

/// The first message that each end of a link sends.
struct peer_hello {
  node_record Self;
  std::uint64_t ConfigVersion = 0;
  gate_status Gate;
  /// The last departure that the receiving node has announced, so that its next
  /// process learns of it even while the store is away.
  std::optional<instance_run> ReceiverDeparture = std::nullopt;

  bool operator==(const peer_hello &) const = default;
};

/// The process that sent an attempt, and the attempt's number among those that
/// it has sent. By the numbers a gate knows of which attempts it still
/// remembers everything.
struct attempt_origin {
  std::string Node;
  /// Orders the processes of the node.
  std::uint64_t Incarnation = 0;
  /// Rises with each attempt that the process sends, from 1; 0 if the sender,
  /// of an earlier version, does not number its attempts.
  std::uint64_t Number = 0;

  bool isNumbered() const { return Number != 0; }
  bool operator==(const attempt_origin &) const = default;
};

/// Asks a gate to run a request on its instance.
struct attempt_request {
  attempt_id Attempt;
  /// The caller's identifier of the request; for logs.
  std::string RequestId;
  std::string Service;
  /// 0 is the most important.
  std::uint32_t Priority = 0;
  bool IsIdempotent = false;
  /// Whether no route has a lower priority.
  bool HasLowestPriority = false;
  /// Time left until the entry node sends its final response, in microseconds.
  std::int64_t TimeLeftMicroseconds = 0;
  request Request;
  attempt_origin Origin = {};

  bool operator==(const attempt_request &) const = default;
};

/// The outcome of an attempt.
enum class run_outcome : std::uint8_t {
  /// The instance sent a complete response, which is part of the report.
  Completed,
  /// The request has not run and never will.
  NotRun,
  /// The request was sent to the instance, but the response was lost or
  /// invalid.
  Unknown,
};

/// Why an attempt was not completed.
enum class run_cause : std::uint8_t {
  None,
  /// The gate's queue was full, or other requests displaced this one.
  Overloaded,
  /// Requests of the lowest priority are shed because too many of them fail.
  LoadShed,
  /// The time left before the deadline would not have been enough.
  TooLate,
  /// No instance accepts requests at this gate.
  NoInstance,
  /// The instance could not be reached.
  Unreachable,
  /// The instance refused the request and certified that it did not run it.
  Rejected,
  /// The caller or the entry node cancelled the attempt.
  Cancelled,
  /// The instance closed the connection early, timed out or sent an invalid
  /// response.
  NoValidResponse,
  /// The link to the gate was lost.
  LinkLost,
  /// The gate has no record of the attempt, and refuses it from now on, or no
  /// longer has its response.
  UnknownAttempt,
};

/// @returns the lower-case name, for logs.
std::string_view runOutcomeName(run_outcome Outcome);
std::string_view runCauseName(run_cause Cause);

/// Reports the outcome of an attempt.
struct run_report {
  attempt_id Attempt;
  run_outcome Outcome = run_outcome::NotRun;
  run_cause Cause = run_cause::None;
  /// Whether the request reached the instance, even if it was then refused.
  bool ReachedInstance = false;
  response Response;
  gate_status Gate;
  /// Version of the configuration in force on the gate's node.
  std::uint64_t ConfigVersion = 0;
  /// Whether the outcome NotRun rests on a record or on the attempt's number. A
  /// gate of an earlier version also says NotRun of runs that it has forgotten.
  bool IsProven = false;

  bool operator==(const run_report &) const = default;
};

/// Asks for the outcome of an attempt whose link was lost. A gate that has no
/// record of the attempt will never run it afterwards. It reports NotRun only
/// if it would have a record of any attempt with that number.
struct run_query {
  attempt_id Attempt;
  attempt_origin Origin = {};

  bool operator==(const run_query &) const = default;
};

/// Cancels an attempt.
struct run_cancel {
  attempt_id Attempt;
  /// Whether to abort the request at the instance if it is already running.
  bool AbortsRunning = false;

  bool operator==(const run_cancel &) const = default;
};

/// Checks that the link is alive; the peer replies with a peer_status.
struct peer_probe {
  std::uint64_t ConfigVersion = 0;

  bool operator==(const peer_probe &) const = default;
};

/// Replies to a peer_probe; also sent when the instance changes or the node is
/// leaving.
struct peer_status {
  std::uint64_t ConfigVersion = 0;
  gate_status Gate;
  /// The last run whose departure the node confirmed.
  std::optional<instance_run> Departed = std::nullopt;

  bool operator==(const peer_status &) const = default;
};

/// Requests the configuration that the peer holds.
struct config_request {
  bool operator==(const config_request &) const = default;
};

/// Transfers a configuration.
struct config_transfer {
  routing_config Config;

  bool operator==(const config_transfer &) const = default;
};

/// Passes on a record that the sender has read from the store. Sent only to
/// nodes whose frames say when they were sent: an earlier version does not know
/// this message.
struct record_update {
  node_record Record;
  /// The store's revision of the record.
  std::int64_t Revision = 0;
  /// The history of the store that the revision belongs to; empty if the store
  /// or the sender does not say.
  std::optional<std::uint64_t> Era = std::nullopt;

  bool operator==(const record_update &) const = default;
};

using peer_message =
    std::variant<peer_hello, attempt_request, run_report, run_query, run_cancel,
                 peer_probe, peer_status, config_request, config_transfer,
                 record_update>;

/// Takes the time that an attempt_request has waited on its way from the time
/// that it has left. Does nothing for other messages.
void reduceTimeLeft(peer_message &Message, duration Delay);

/// @returns the encoded message, prefixed by its length: 4 bytes, big endian.
/// Fields that were added later follow the message: a node of an earlier
/// version ignores them.
/// @param SentAt by the clock of the sending node.
std::string encodeFrame(const peer_message &Message,
                        std::chrono::microseconds SentAt = {});

/// Result of decoding a frame.
enum class frame_progress : std::uint8_t { Incomplete, Complete, Malformed };

/// Decodes the first frame of @p Buffer.
/// @param Offset start of the undecoded bytes; advanced past a complete frame.
/// @param SentAt set if the sender has said when it sent the message.
/// @param MaxBytes the largest message; a larger one is malformed as soon as
/// its length is known.
frame_progress decodeFrame(const std::string &Buffer, std::size_t &Offset,
                           peer_message &Message,
                           std::optional<std::chrono::microseconds> &SentAt,
                           std::size_t MaxBytes = MaxPeerMessageBytes);

/// As above, for callers that do not need the time of sending.
frame_progress decodeFrame(const std::string &Buffer, std::size_t &Offset,
                           peer_message &Message);

} // namespace clementine::proxy

#endif
