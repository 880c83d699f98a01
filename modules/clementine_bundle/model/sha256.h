#ifndef CLEMENTINE_BUNDLE_MODEL_SHA256_H
#define CLEMENTINE_BUNDLE_MODEL_SHA256_H

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace clementine {

/// A SHA-256 digest (FIPS 180-4).
struct sha256_digest {
  std::array<std::uint8_t, 32> Bytes{};

  bool operator==(const sha256_digest &) const = default;
  auto operator<=>(const sha256_digest &Other) const {
    return bytes() <=> Other.bytes();
  }

  /// @returns 64 lower-case hexadecimal digits.
  std::string text() const;

  /// @returns the bytes as characters, for hashing and encoding.
  std::string_view bytes() const;
};

/// @returns the digest of @p Text.
sha256_digest sha256(std::string_view Text);

/// @returns two lower-case hexadecimal digits for each byte.
std::string hexText(std::string_view Bytes);

/// Parses pairs of hexadecimal digits.
/// @returns false, leaving @p Bytes unchanged, for any other text.
bool parseHex(std::string_view Text, std::string &Bytes);

} // namespace clementine

#endif
