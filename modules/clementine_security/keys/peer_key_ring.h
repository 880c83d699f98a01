#ifndef CLEMENTINE_SECURITY_KEYS_PEER_KEY_RING_H
#define CLEMENTINE_SECURITY_KEYS_PEER_KEY_RING_H

#include "clementine_core/errors/result.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace clementine {

/// The length of a shared key in bytes (256 bits).
constexpr std::size_t PeerKeyBytes = 32;

/// The length of a tag in bytes: HMAC-SHA256 truncated to 128 bits (RFC 4868).
constexpr std::size_t PeerTagBytes = 16;

/// A key shared by all nodes.
struct peer_key {
  /// Identifies the key in settings, logs and on the wire.
  std::string Id;
  std::array<std::byte, PeerKeyBytes> Bytes{};

  auto operator<=>(const peer_key &) const = default;
};

/// Authenticates a message as sent by a holder of a shared key.
struct peer_tag {
  /// Identifies the signing key: the low 32 bits of stableHash() over its id.
  std::uint32_t KeyHint = 0;
  std::array<std::byte, PeerTagBytes> Bytes{};

  auto operator<=>(const peer_tag &) const = default;
};

/// Why a list of keys is invalid.
enum class key_ring_fault : std::uint8_t {
  /// The list is empty.
  Empty,
  /// There are more keys than peer_key_ring::MaxKeys.
  TooManyKeys,
  /// An entry has no colon between id and key.
  MissingColon,
  /// An id is empty, longer than peer_key_ring::MaxIdLength, or holds a
  /// character other than letters, digits, '-', '_' and '.'.
  BadId,
  /// Two ids are equal or have the same key hint.
  DuplicateId,
  /// A key is not the base64 encoding of 32 bytes.
  BadKey,
};

/// Why a key ring could not be created. Never contains key bytes.
struct key_ring_failure {
  key_ring_fault Fault = key_ring_fault::Empty;
  /// The zero-based index of the invalid entry.
  std::size_t Entry = 0;

  auto operator<=>(const key_ring_failure &) const = default;

  /// @returns an error message for the operator; it counts entries from 1.
  std::string text() const;
};

/// A list of shared keys; the first one signs, all verify.
///
/// Key rotation without downtime takes three roll-outs: add the new key after
/// the old one on all nodes, move the new key to the front, remove the old key.
///
/// The MAC contexts are reused between calls, so a ring is not thread-safe;
/// each thread needs its own copy.
class peer_key_ring {
public:
  /// The maximum number of keys in a ring.
  static constexpr std::size_t MaxKeys = 8;
  /// The maximum length of an id, in characters.
  static constexpr std::size_t MaxIdLength = 32;

  /// Creates a ring from @p Keys; the first one signs.
  static result<peer_key_ring, key_ring_failure>
  make(const std::vector<peer_key> &Keys);

  /// Parses a settings value `id:base64,id:base64,...`; the first key signs.
  /// Spaces and tabs around entries are ignored.
  static result<peer_key_ring, key_ring_failure> parse(std::string_view Text);

  peer_key_ring(const peer_key_ring &Other);
  peer_key_ring &operator=(const peer_key_ring &Other);
  peer_key_ring(peer_key_ring &&) noexcept = default;
  peer_key_ring &operator=(peer_key_ring &&) noexcept = default;
  ~peer_key_ring() = default;

  /// @returns the tag of @p Message under the signing key.
  peer_tag sign(std::span<const std::byte> Message);

  /// Compares the tag in constant time.
  /// @returns whether @p Tag was made over @p Message by a key of this ring.
  bool verify(std::span<const std::byte> Message, const peer_tag &Tag);

  /// @returns the ids in order; the first one signs.
  std::vector<std::string> ids() const;

private:
  struct context_deleter {
    void operator()(void *Context) const;
  };
  struct keyed_context {
    std::string Id;
    std::uint32_t Hint = 0;
    /// An EVP_MAC_CTX; untyped so that users need no OpenSSL header.
    std::unique_ptr<void, context_deleter> Context;
  };

  peer_key_ring() = default;

  static peer_tag tagOf(keyed_context &Key, std::span<const std::byte> Message);

  std::vector<keyed_context> Keys;
};

} // namespace clementine

#endif
