#ifndef CLEMENTINE_WIRE_CODEC_MESSAGE_CODEC_H
#define CLEMENTINE_WIRE_CODEC_MESSAGE_CODEC_H

#include "clementine_core/errors/result.h"
#include "clementine_wire/messages/messages.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace clementine {

/// Why bytes cannot be decoded or a message cannot be encoded.
enum class codec_error : std::uint8_t {
  /// The message is truncated, the input is too large, or a field exceeds its
  /// limit.
  Malformed,
  /// The first byte is not a known message kind.
  UnknownKind,
  /// The message is followed by further bytes.
  TrailingBytes,
  /// An enumeration field holds an undefined value.
  BadEnumerator,
};

/// The maximum size of the body of a request or an answer, in bytes.
constexpr std::uint32_t MaxBodyBytes = 1U << 20U;
/// The maximum size of a message to be decoded, in bytes.
constexpr std::uint32_t MaxMessageBytes = MaxBodyBytes + (1U << 17U);

/// Encodes a message as one byte for its kind, followed by its fields in the
/// portable binary format of cereal.
/// @returns Malformed if a field exceeds its limit or an enumeration field
/// holds an undefined value.
result<std::string, codec_error> encodeMessage(const peer_message &Message);

/// Decodes the output of encodeMessage(). Never allocates more for a field than
/// its limit allows, whatever length the bytes claim.
result<peer_message, codec_error> decodeMessage(std::string_view Bytes);

} // namespace clementine

#endif
