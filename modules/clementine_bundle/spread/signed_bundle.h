#ifndef CLEMENTINE_BUNDLE_SPREAD_SIGNED_BUNDLE_H
#define CLEMENTINE_BUNDLE_SPREAD_SIGNED_BUNDLE_H

#include "clementine_bundle/model/bundle.h"
#include "clementine_bundle/spread/bundle_head.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace clementine {

/// A signed head and the content whose digest it signs.
struct signed_bundle {
  bundle_head Head;
  bundle Content;

  bool operator==(const signed_bundle &) const = default;
};

/// Why a `.signed` file is invalid.
struct signed_file_error {
  enum class fault : std::uint8_t {
    TooLarge,
    NotJson,
    MissingField,
    BadField,
    BadText,
    DigestMismatch,
    BadSignature,
  };

  fault Fault = fault::NotJson;
  /// The JSON field with the error; empty if it concerns the whole file.
  std::string Field;

  bool operator==(const signed_file_error &) const = default;

  /// @returns a human-readable description.
  std::string text() const;
};

/// The `.signed` file that `clementinectl bundle sign` writes: JSON with the
/// head's fields, the signer's public key and the canonical text.
struct signed_file {
  signed_bundle Bundle;
  verification_key PublicKey;

  /// Parses a file's text. The content has to have the signed digest, and the
  /// signature has to verify with the key in the file. Whether that key is
  /// trusted is not checked.
  static result<signed_file, signed_file_error> parse(std::string_view Text);

  /// @returns the file's text.
  std::string text() const;
};

} // namespace clementine

#endif
