#ifndef CLEMENTINE_BUNDLE_SPREAD_BUNDLE_HEAD_H
#define CLEMENTINE_BUNDLE_SPREAD_BUNDLE_HEAD_H

#include "clementine_bundle/model/sha256.h"
#include "clementine_bundle/signing/ed25519.h"
#include "clementine_bundle/signing/trusted_owners.h"
#include "clementine_wire/codec/bounded_field.h"

#include <cereal/cereal.hpp>

#include <array>
#include <cstdint>
#include <string>

namespace clementine {

/// The longest name of an owner in a head, in bytes.
constexpr std::uint32_t MaxOwnerBytes = 64;
/// The longest reason in a head, in bytes.
constexpr std::uint32_t MaxReasonBytes = 200;

/// A random name of one signing, by which its author recognises the write.
struct write_id {
  std::array<std::uint8_t, 16> Bytes{};

  bool operator==(const write_id &) const = default;

  /// Makes a new random name.
  static write_id generate();

  /// @returns 32 hexadecimal digits.
  std::string text() const;

  /// Reads 32 hexadecimal digits.
  /// @returns false, leaving @p Id as it was, for any other text.
  static bool parse(std::string_view Text, write_id &Id);
};

/// What an owner signs: which content is which version.
struct bundle_head {
  /// The first version is 1; each accepted one is one higher than the last.
  std::uint64_t Version = 0;
  /// bundle::digest() of the content.
  sha256_digest Digest;
  /// Who signed.
  std::string Owner;
  write_id WriteId;
  /// When it was signed, in seconds since 1970-01-01 UTC. Shown to people;
  /// decides nothing.
  std::int64_t SignedAt = 0;
  /// Why, in the owner's words; printable ASCII.
  std::string Reason;
  ed25519_signature Signature;

  bool operator==(const bundle_head &) const = default;

  /// @returns the bytes that the signature covers: every field but itself.
  std::string signedText() const;

  /// Signs the head as it is now.
  void sign(const signing_key &Key);

  /// Encodes every field with its cap, for cereal.
  template <class Archive> void serialize(Archive &Fields) {
    Fields(Version, cereal::binary_data(Digest.Bytes.data(), 32),
           bounded_string{Owner, MaxOwnerBytes},
           cereal::binary_data(WriteId.Bytes.data(), 16), SignedAt,
           bounded_string{Reason, MaxReasonBytes},
           cereal::binary_data(Signature.Bytes.data(), SignatureBytes));
  }
};

/// Whether a head's signature is good.
enum class signature_check : std::uint8_t { Good, UnknownOwner, BadSignature };

/// Checks the signature of @p Head against its owner's key.
signature_check checkSignature(const bundle_head &Head,
                               const trusted_owners &Owners);

/// @returns whether every character of @p Reason is printable ASCII and it is
/// not too long.
bool isValidReason(std::string_view Reason);

} // namespace clementine

#endif
