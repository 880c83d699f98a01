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

/// The maximum length of the owner's name in a head, in bytes.
constexpr std::uint32_t MaxOwnerBytes = 64;
/// The maximum length of the reason in a head, in bytes.
constexpr std::uint32_t MaxReasonBytes = 200;

/// A random identifier of one signed head, by which the publisher recognises
/// its own write.
struct write_id {
  std::array<std::uint8_t, 16> Bytes{};

  bool operator==(const write_id &) const = default;

  /// Generates a random identifier.
  static write_id generate();

  /// @returns 32 hexadecimal digits.
  std::string text() const;

  /// Parses 32 hexadecimal digits.
  /// @returns false, leaving @p Id unchanged, for any other text.
  static bool parse(std::string_view Text, write_id &Id);
};

/// The data that an owner signs: which content belongs to which version.
struct bundle_head {
  /// The first version is 1; each accepted version is the previous one plus 1.
  std::uint64_t Version = 0;
  /// bundle::digest() of the content.
  sha256_digest Digest;
  /// The owner who signed the head.
  std::string Owner;
  write_id WriteId;
  /// When it was signed, in seconds since 1970-01-01 UTC. For
  /// display only.
  std::int64_t SignedAt = 0;
  /// The owner's reason for the change; printable ASCII.
  std::string Reason;
  ed25519_signature Signature;

  bool operator==(const bundle_head &) const = default;

  /// @returns the bytes that the signature covers: every field except
  /// Signature.
  std::string signedText() const;

  /// Sets Signature over the current values of the other fields.
  void sign(const signing_key &Key);

  /// Serializes every field with its size limit, for cereal.
  template <class Archive> void serialize(Archive &Fields) {
    Fields(Version, cereal::binary_data(Digest.Bytes.data(), 32),
           bounded_string{Owner, MaxOwnerBytes},
           cereal::binary_data(WriteId.Bytes.data(), 16), SignedAt,
           bounded_string{Reason, MaxReasonBytes},
           cereal::binary_data(Signature.Bytes.data(), SignatureBytes));
  }
};

/// The result of checking a head's signature.
enum class signature_check : std::uint8_t { Good, UnknownOwner, BadSignature };

/// Checks the signature of @p Head against its owner's key.
signature_check checkSignature(const bundle_head &Head,
                               const trusted_owners &Owners);

/// @returns whether @p Reason is printable ASCII of at most MaxReasonBytes.
bool isValidReason(std::string_view Reason);

} // namespace clementine

#endif
