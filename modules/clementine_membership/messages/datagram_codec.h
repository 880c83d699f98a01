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

/// The most bytes in a datagram, so that it passes every path unfragmented.
constexpr std::size_t MostDatagramBytes = 1200;
/// The bytes of the IPv4 and UDP headers, which count against the byte budget.
constexpr std::size_t DatagramOverheadBytes = 28;

/// Why a datagram was refused.
enum class datagram_fault : std::uint8_t {
  /// It is longer than MostDatagramBytes.
  TooLong,
  /// It is too short to hold a tag.
  TooShort,
  /// No key of the ring made its tag.
  BadTag,
  /// It is of another version of the protocol.
  WrongVersion,
  /// A field is missing, out of its range or over its cap, or bytes are left.
  Malformed,
};

/// @returns a few words for logs.
std::string_view datagramFaultText(datagram_fault Fault);

/// Turns messages into sealed datagrams and back.
///
/// The body is cereal's portable binary form, followed by the key's hint and
/// the tag over the body.
class datagram_codec {
public:
  explicit datagram_codec(peer_key_ring Keys) : Keys(std::move(Keys)) {}

  /// Signs with another ring from now on, for the rotation of keys.
  void replaceKeys(peer_key_ring NewKeys) { Keys = std::move(NewKeys); }

  /// @returns the sealed datagram, which may be longer than the cap.
  std::vector<std::byte> seal(const gossip_message &Message);

  /// Checks the tag before it looks at the body.
  result<gossip_message, datagram_fault> open(std::span<const std::byte> Bytes);

  /// @returns the bytes of a datagram of @p Message once sealed.
  static std::size_t sealedSize(const gossip_message &Message);
  /// @returns the bytes that @p Claim adds to a datagram.
  static std::size_t sizeOf(const member_claim &Claim);
  /// The bytes that an owner's word adds; accusations add less.
  static constexpr std::size_t MostUpdateBytes = 25;
  /// The bytes that a sync_entry adds.
  static constexpr std::size_t SyncEntryBytes = 12;
  /// The bytes that a wanted key adds.
  static constexpr std::size_t WantedBytes = 8;

private:
  peer_key_ring Keys;
};

} // namespace clementine

#endif
