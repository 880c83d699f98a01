#ifndef CLEMENTINE_BUNDLE_SIGNING_ED25519_H
#define CLEMENTINE_BUNDLE_SIGNING_ED25519_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace clementine {

/// Bytes of an Ed25519 private seed (RFC 8032).
constexpr std::size_t PrivateKeyBytes = 32;
/// Bytes of an Ed25519 public key.
constexpr std::size_t PublicKeyBytes = 32;
/// Bytes of an Ed25519 signature.
constexpr std::size_t SignatureBytes = 64;

/// An Ed25519 signature.
struct ed25519_signature {
  std::array<std::uint8_t, SignatureBytes> Bytes{};

  bool operator==(const ed25519_signature &) const = default;

  /// @returns the bytes as characters, for encoding.
  std::string_view bytes() const {
    return {reinterpret_cast<const char *>(Bytes.data()), Bytes.size()};
  }
};

/// The public half of an owner's key.
struct verification_key {
  std::array<std::uint8_t, PublicKeyBytes> Bytes{};

  bool operator==(const verification_key &) const = default;

  /// @returns 64 hexadecimal digits.
  std::string text() const;

  /// Reads 64 hexadecimal digits.
  /// @returns false, leaving @p Key as it was, for any other text.
  static bool parse(std::string_view Text, verification_key &Key);

  /// @returns whether @p Signature was made over @p Message by this key's
  /// private half.
  bool verifies(std::string_view Message,
                const ed25519_signature &Signature) const;
};

/// The private half of an owner's key. It is not copyable, and its memory is
/// cleared at the end.
class signing_key {
public:
  /// Makes a new random key.
  static signing_key generate();

  /// Reads 64 hexadecimal digits into @p Key.
  /// @returns false, leaving @p Key as it was, for any other text.
  static bool parse(std::string_view Text, signing_key &Key);

  signing_key() = default;
  ~signing_key();
  signing_key(const signing_key &) = delete;
  signing_key &operator=(const signing_key &) = delete;
  signing_key(signing_key &&Other) noexcept;
  signing_key &operator=(signing_key &&Other) noexcept;

  /// @returns the private half as 64 hexadecimal digits, for its owner's file.
  std::string privateText() const;

  /// @returns the public half.
  verification_key publicKey() const;

  /// @returns the signature over @p Message.
  ed25519_signature sign(std::string_view Message) const;

private:
  std::array<std::uint8_t, PrivateKeyBytes> Seed{};
};

} // namespace clementine

#endif
