#ifndef CLEMENTINE_TRANSPORT_SESSION_PEER_SESSION_H
#define CLEMENTINE_TRANSPORT_SESSION_PEER_SESSION_H

#include "clementine_core/clementine_core.h"
#include "clementine_security/clementine_security.h"
#include "clementine_wire/clementine_wire.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace clementine {

/// The version of the protocol spoken between nodes.
constexpr std::uint16_t PeerProtocolVersion = 1;

/// Timings and limits of a peer connection.
struct peer_session_settings {
  /// The interval between heartbeats.
  duration HeartbeatInterval = std::chrono::milliseconds(250);
  /// The time without received data after which a connection is considered
  /// lost.
  duration ReceiveTimeout = std::chrono::milliseconds(900);
  /// The maximum size of the unwritten output, in bytes.
  std::size_t MaxPendingBytes = 8U << 20U;

  bool operator==(const peer_session_settings &) const = default;
};

/// Why a peer connection must be closed.
enum class session_error : std::uint8_t {
  /// A frame's length exceeds MaxMessageBytes.
  FrameTooLarge,
  /// A frame's tag does not verify: the frame is forged, replayed, or signed
  /// with an unknown key.
  BadTag,
  /// A frame does not contain a valid message.
  BadMessage,
  /// A message arrived before the peer's hello, the hello's nonce has the wrong
  /// length, or a second hello arrived.
  UnexpectedMessage,
  /// The peer uses a different protocol version.
  VersionMismatch,
  /// Nothing was received within ReceiveTimeout.
  TimedOut,
};

/// @returns a short name of @p Error for logs.
std::string_view sessionErrorName(session_error Error);

/// One side of a connection between two nodes, without any I/O.
///
/// Converts bytes from the socket to messages and messages to bytes. Each frame
/// is a length (4 bytes, big-endian), a key hint (4 bytes), a tag (16 bytes)
/// and an encoded message. The tag covers both sides' random nonces, the
/// direction and the frame's sequence number, so that frames from another
/// connection and replayed or reordered frames fail verification. The first
/// frame of each side is an exception; see macInput(). Messages to be
/// sent are queued until the peer's hello has arrived.
class peer_session {
public:
  /// Which side opened the connection.
  enum class side : std::uint8_t { Dialler = 0, Acceptor = 1 };

  /// @param Keys is copied, since a key ring must not be shared by threads.
  peer_session(side Side, node_identity Self, const peer_key_ring &Keys,
               random_source &Random, peer_session_settings Settings,
               instant Now);

  peer_session(const peer_session &) = delete;
  peer_session &operator=(const peer_session &) = delete;

  /// Processes bytes received from the socket.
  /// @returns the completed messages, except hellos and heartbeats, or the
  /// reason why the connection must be closed.
  result<std::vector<peer_message>, session_error>
  receive(std::string_view Bytes, instant Now);

  /// Adds a message to the output.
  /// @returns false, adding nothing, if the output would exceed MaxPendingBytes
  /// or the message cannot be encoded.
  bool send(const peer_message &Message);

  /// Adds a heartbeat to the output when it is due.
  /// @returns TimedOut if nothing was received within ReceiveTimeout; the
  /// connection must then be closed.
  result<void, session_error> tick(instant Now);

  /// @returns the bytes that have not been written to the socket yet.
  std::string_view output() const {
    return std::string_view(Output).substr(Written);
  }

  /// Removes the first @p Count bytes of output().
  void consumeOutput(std::size_t Count);

  /// @returns the peer's identity once its hello has arrived.
  const std::optional<node_identity> &peer() const { return Peer; }

private:
  result<void, session_error> processFrame(std::string_view Frame,
                                           std::vector<peer_message> &Messages);
  result<void, session_error> processHello(const peer_message &Message);
  void writeFrame(const std::string &Encoded);
  /// @returns the bytes that the tag of frame @p Number from @p Sender covers.
  std::string macInput(side Sender, std::uint64_t Number,
                       std::string_view Encoded) const;

  const side Side;
  const node_identity Self;
  peer_key_ring Keys;
  const peer_session_settings Settings;
  std::string OwnNonce;
  std::string PeerNonce;
  std::optional<node_identity> Peer;
  std::string Input;
  std::string Output;
  std::size_t Written = 0;
  std::vector<std::string> QueuedUntilHello;
  std::size_t QueuedBytes = 0;
  std::uint64_t NextToSend = 0;
  std::uint64_t NextToReceive = 0;
  std::uint64_t HeartbeatNumber = 0;
  instant LastReceived;
  instant NextHeartbeat;
};

} // namespace clementine

#endif
