#ifndef CLEMENTINE_WIRE_CODEC_MESSAGE_CODEC_H
#define CLEMENTINE_WIRE_CODEC_MESSAGE_CODEC_H

#include "clementine_core/errors/result.h"
#include "clementine_wire/messages/messages.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace clementine {

/// Why bytes are not a message, or a message cannot be encoded.
enum class codec_error : std::uint8_t {
  /// The bytes end before the message does, or a field is above its cap.
  Malformed,
  /// The first byte names no message.
  UnknownKind,
  /// Bytes follow the end of the message.
  TrailingBytes,
  /// An enumeration holds a value that is not defined.
  BadEnumerator,
};

/// The largest body of a request or an answer, in bytes.
constexpr std::uint32_t LargestBody = 1U << 20U;
/// The largest encoded message, in bytes.
constexpr std::uint32_t LargestMessage = LargestBody + (1U << 17U);

/// Encodes a message as one byte for its kind and its fields in the portable
/// binary form of cereal.
/// @returns Malformed when a field is above its cap.
result<std::string, codec_error> encodeMessage(const peer_message &Message);

/// Decodes what encodeMessage() made. Never reserves more than the caps allow,
/// whatever the bytes claim.
result<peer_message, codec_error> decodeMessage(std::string_view Bytes);

} // namespace clementine

#endif
