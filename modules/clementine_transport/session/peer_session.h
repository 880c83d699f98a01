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

/// The version of the protocol between nodes.
constexpr std::uint16_t PeerProtocolVersion = 1;

/// Times and caps of a peer connection.
struct peer_session_settings {
  /// How often a heartbeat is sent on a connection.
  duration HeartbeatInterval = std::chrono::milliseconds(250);
  /// The longest silence after which a connection counts as lost.
  duration SilenceLimit = std::chrono::milliseconds(900);
  /// The most bytes that wait to be written, in bytes.
  std::size_t MostWaitingBytes = 8U << 20U;

  bool operator==(const peer_session_settings &) const = default;
};

/// Why a peer connection has to be closed.
enum class session_error : std::uint8_t {
  /// A frame claims more than the largest message.
  FrameTooLarge,
  /// A frame's tag does not verify: forged, replayed, or another key.
  BadTag,
  /// A frame's bytes are no message.
  BadMessage,
  /// A message came before the peer's hello, or a second hello came.
  OutOfTurn,
  /// The peer speaks another version of the protocol.
  OtherVersion,
  /// Nothing was heard for longer than the limit.
  Silent,
};

/// @returns a short name of @p Error for logs.
std::string_view sessionErrorName(session_error Error);

/// One side of one connection between two nodes, free of I/O.
///
/// Bytes from the socket go in, messages come out, and the other way round.
/// Each frame is a length (4 bytes, big-endian), a key hint (4 bytes), a tag
/// (16 bytes) and an encoded message. The tag covers both sides' random nonces,
/// the direction and the frame's number, so that a frame of another connection,
/// a repeated or a reordered one never verifies. Messages wait until the peer's
/// hello has come.
class peer_session {
public:
  /// Which side opened the connection.
  enum class side : std::uint8_t { Dialler = 0, Acceptor = 1 };

  /// @param Keys is copied, since a ring serves one thread.
  peer_session(side Side, node_identity Self, const peer_key_ring &Keys,
               random_source &Random, peer_session_settings Settings,
               instant Now);

  peer_session(const peer_session &) = delete;
  peer_session &operator=(const peer_session &) = delete;

  /// Takes bytes from the socket.
  /// @returns the messages they complete, without hellos and heartbeats, or why
  /// the connection has to be closed.
  result<std::vector<peer_message>, session_error>
  receive(std::string_view Bytes, instant Now);

  /// Hands over a message to be sent.
  /// @returns false, sending nothing, when too many bytes wait already or the
  /// message cannot be encoded.
  bool send(const peer_message &Message);

  /// Sends heartbeats when they are due.
  /// @returns Silent when the connection has to be closed.
  result<void, session_error> tick(instant Now);

  /// @returns the bytes that wait to be written.
  std::string_view output() const {
    return std::string_view(Output).substr(Written);
  }

  /// Forgets the first @p Count bytes of output().
  void consumeOutput(std::size_t Count);

  /// @returns who the peer is, once its hello has come.
  const std::optional<node_identity> &peer() const { return Peer; }

private:
  result<void, session_error> takeFrame(std::string_view Frame,
                                        std::vector<peer_message> &Messages);
  result<void, session_error> takeHello(const peer_message &Message);
  void writeFrame(const std::string &Encoded);
  std::string sealedText(side Sender, std::uint64_t Number,
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
  std::vector<std::string> BeforeHello;
  std::size_t WaitingBeforeHello = 0;
  std::uint64_t NextToSend = 0;
  std::uint64_t NextToReceive = 0;
  std::uint64_t HeartbeatNumber = 0;
  instant LastHeard;
  instant NextHeartbeat;
};

} // namespace clementine

#endif
