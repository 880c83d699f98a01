#ifndef CLEMENTINE_BUNDLE_SIGNING_TRUSTED_OWNERS_H
#define CLEMENTINE_BUNDLE_SIGNING_TRUSTED_OWNERS_H

#include "clementine_bundle/format/bundle_error.h"
#include "clementine_bundle/signing/ed25519.h"
#include "clementine_core/errors/result.h"

#include <map>
#include <string>
#include <string_view>

namespace clementine {

/// The maximum number of owners in a list of trusted owners.
constexpr std::size_t MaxTrustedOwners = 256;

/// The owners whose signatures a node accepts, and their public keys.
///
/// The text format is INI: `[owner NAME]` with `public_key`, 64 hexadecimal
/// digits. `clementinectl keygen` writes `.pub` files in the same format, so
/// concatenated `.pub` files are a valid list.
class trusted_owners {
public:
  trusted_owners() = default;

  /// Parses a list.
  /// @returns the list, or all errors of the text.
  static result<trusted_owners, bundle_errors> parse(std::string_view Text);

  /// Adds or replaces an owner's key.
  void add(std::string Owner, const verification_key &Key);

  /// @returns the owner's key, or null.
  const verification_key *find(std::string_view Owner) const;

  /// @returns whether no owner is trusted.
  bool isEmpty() const { return Keys.empty(); }

  /// @returns the list's text.
  std::string text() const;

  bool operator==(const trusted_owners &) const = default;

private:
  std::map<std::string, verification_key, std::less<>> Keys;
};

/// A private key and its owner. The text format, used in `.key` files, is
/// `[owner NAME]` with `private_key`, 64 hexadecimal digits.
struct owner_key {
  std::string Owner;
  signing_key Key;

  /// Parses the text of a `.key` file.
  /// @returns the key, or all errors of the text.
  static result<owner_key, bundle_errors> parse(std::string_view Text);

  /// @returns the text of the `.key` file.
  std::string privateText() const;

  /// @returns the text of the `.pub` file.
  std::string publicText() const;
};

} // namespace clementine

#endif
