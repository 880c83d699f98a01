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

/// The length of a tag in bytes: HMAC-SHA256 cut to 128 bits (RFC 4868).
constexpr std::size_t PeerTagBytes = 16;

/// A key that all nodes share.
struct peer_key {
  /// Names the key in settings, logs and on the wire.
  std::string Id;
  std::array<std::byte, PeerKeyBytes> Bytes{};

  auto operator<=>(const peer_key &) const = default;
};

/// Proves that a message comes from a holder of a shared key.
struct peer_tag {
  /// Which key made the tag: the low half of stableHash() over its id.
  std::uint32_t KeyHint = 0;
  std::array<std::byte, PeerTagBytes> Bytes{};

  auto operator<=>(const peer_tag &) const = default;
};

/// What is wrong with a key ring.
enum class key_ring_fault : std::uint8_t {
  /// There is no key at all.
  Empty,
  /// There are more keys than peer_key_ring::MostKeys.
  TooManyKeys,
  /// An entry has no colon between id and key.
  MissingColon,
  /// An id is empty, longer than peer_key_ring::LongestId, or holds a
  /// character other than letters, digits, '-', '_' and '.'.
  BadId,
  /// Two ids are the same, or too alike for their hints to differ.
  DuplicateId,
  /// A key is not the base64 form of 32 bytes.
  BadKey,
};

/// Why a key ring could not be made. The key's bytes are never repeated here.
struct key_ring_failure {
  key_ring_fault Fault = key_ring_fault::Empty;
  /// The position of the faulty entry, from 0.
  std::size_t Entry = 0;

  auto operator<=>(const key_ring_failure &) const = default;

  /// @returns a sentence for an operator.
  std::string text() const;
};

/// Several shared keys, of which the first signs and all verify.
///
/// Rotation without a stop takes three roll-outs: add the new key behind the
/// old one everywhere, put the new key first, remove the old key.
///
/// The contexts of the MAC are reused from call to call, so one ring serves one
/// thread; every further thread takes a copy.
class peer_key_ring {
public:
  /// The most keys in a ring.
  static constexpr std::size_t MostKeys = 8;
  /// The longest id in characters.
  static constexpr std::size_t LongestId = 32;

  /// Makes a ring of @p Keys; the first one signs.
  static result<peer_key_ring, key_ring_failure>
  make(const std::vector<peer_key> &Keys);

  /// Reads a settings value `id:base64,id:base64,...`; the first key signs.
  /// Blanks around entries are ignored.
  static result<peer_key_ring, key_ring_failure> parse(std::string_view Text);

  peer_key_ring(const peer_key_ring &Other);
  peer_key_ring &operator=(const peer_key_ring &Other);
  peer_key_ring(peer_key_ring &&) noexcept = default;
  peer_key_ring &operator=(peer_key_ring &&) noexcept = default;
  ~peer_key_ring() = default;

  /// @returns the tag of @p Message under the signing key.
  peer_tag sign(std::span<const std::byte> Message);

  /// Compares in constant time.
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
    /// An EVP_MAC_CTX; hidden here so that users need no OpenSSL header.
    std::unique_ptr<void, context_deleter> Context;
  };

  peer_key_ring() = default;

  static peer_tag tagOf(keyed_context &Key, std::span<const std::byte> Message);

  std::vector<keyed_context> Keys;
};

} // namespace clementine

#endif
