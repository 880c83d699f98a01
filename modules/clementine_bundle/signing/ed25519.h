#ifndef CLEMENTINE_BUNDLE_SIGNING_ED25519_H
#define CLEMENTINE_BUNDLE_SIGNING_ED25519_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace clementine {

/// The size of an Ed25519 private key seed, in bytes (RFC 8032).
constexpr std::size_t PrivateKeyBytes = 32;
/// The size of an Ed25519 public key, in bytes.
constexpr std::size_t PublicKeyBytes = 32;
/// The size of an Ed25519 signature, in bytes.
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

/// An owner's public key.
struct verification_key {
  std::array<std::uint8_t, PublicKeyBytes> Bytes{};

  bool operator==(const verification_key &) const = default;

  /// @returns 64 hexadecimal digits.
  std::string text() const;

  /// Parses 64 hexadecimal digits.
  /// @returns false, leaving @p Key unchanged, for any other text.
  static bool parse(std::string_view Text, verification_key &Key);

  /// @returns whether @p Signature over @p Message was made with the matching
  /// private key.
  bool verifies(std::string_view Message,
                const ed25519_signature &Signature) const;
};

/// An owner's private key. It is not copyable, and its memory is cleared on
/// destruction.
class signing_key {
public:
  /// Generates a random key.
  static signing_key generate();

  /// Parses 64 hexadecimal digits into @p Key.
  /// @returns false, leaving @p Key unchanged, for any other text.
  static bool parse(std::string_view Text, signing_key &Key);

  signing_key() = default;
  ~signing_key();
  signing_key(const signing_key &) = delete;
  signing_key &operator=(const signing_key &) = delete;
  signing_key(signing_key &&Other) noexcept;
  signing_key &operator=(signing_key &&Other) noexcept;

  /// @returns the private key as 64 hexadecimal digits, for the `.key` file.
  std::string privateText() const;

  verification_key publicKey() const;

  /// @returns the signature over @p Message.
  ed25519_signature sign(std::string_view Message) const;

private:
  std::array<std::uint8_t, PrivateKeyBytes> Seed{};
};

} // namespace clementine

#endif
