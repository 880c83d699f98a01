#ifndef CLEMENTINE_MEMBERSHIP_MESSAGES_DATAGRAM_CODEC_H
#define CLEMENTINE_MEMBERSHIP_MESSAGES_DATAGRAM_CODEC_H

#include "clementine_core/errors/result.h"
#include "clementine_membership/messages/gossip_message.h"
#include "clementine_security/keys/peer_key_ring.h"

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace clementine {

/// The maximum size of a datagram, chosen so that datagrams are not fragmented
/// on any path.
constexpr std::size_t MaxDatagramBytes = 1200;
/// The size of the IPv4 and UDP headers, which count against the byte budget.
constexpr std::size_t DatagramOverheadBytes = 28;

/// Why a datagram was refused.
enum class datagram_fault : std::uint8_t {
  /// Longer than MaxDatagramBytes.
  TooLong,
  /// Too short to contain a tag.
  TooShort,
  /// The tag does not verify under any key of the ring.
  BadTag,
  /// The protocol version differs.
  WrongVersion,
  /// A field is missing, out of range or too long, or bytes follow the last
  /// field.
  Malformed,
};

/// @returns a short description for logs.
std::string_view datagramFaultText(datagram_fault Fault);

/// Encodes messages as authenticated datagrams and decodes them.
///
/// The body is in cereal's portable binary format, followed by the key hint and
/// the tag over the body.
class datagram_codec {
public:
  explicit datagram_codec(peer_key_ring Keys) : Keys(std::move(Keys)) {}

  /// Replaces the keys for signing and verifying, for key rotation.
  void replaceKeys(peer_key_ring NewKeys) { Keys = std::move(NewKeys); }

  /// Encodes and signs @p Message.
  /// @returns the datagram, which may be longer than MaxDatagramBytes.
  std::vector<std::byte> seal(const gossip_message &Message);

  /// Verifies the tag, then decodes the body.
  result<gossip_message, datagram_fault> open(std::span<const std::byte> Bytes);

  /// @returns the size in bytes of the sealed datagram for @p Message.
  static std::size_t sealedSize(const gossip_message &Message);
  /// @returns the number of bytes that @p Claim adds to a datagram.
  static std::size_t sizeOf(const member_claim &Claim);
  /// The number of bytes that a state update from the owner adds; accusations
  /// add fewer.
  static constexpr std::size_t MaxUpdateBytes = 25;
  /// The number of bytes that a sync_entry adds.
  static constexpr std::size_t SyncEntryBytes = 12;
  /// The number of bytes that a requested key adds.
  static constexpr std::size_t RequestedKeyBytes = 8;

private:
  peer_key_ring Keys;
};

} // namespace clementine

#endif
