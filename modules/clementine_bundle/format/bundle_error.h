#ifndef CLEMENTINE_BUNDLE_FORMAT_BUNDLE_ERROR_H
#define CLEMENTINE_BUNDLE_FORMAT_BUNDLE_ERROR_H

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace clementine {

/// The kinds of error in a bundle's text.
enum class bundle_fault : std::uint8_t {
  TextTooLarge,
  TooManySections,
  TooManyErrors,
  MalformedLine,
  KeyOutsideSection,
  UnknownSection,
  BadName,
  DuplicateSection,
  MissingSection,
  UnknownKey,
  DuplicateKey,
  MissingKey,
  BadValue,
  UnknownReference,
  EmptyRule,
};

/// One error in a bundle's text, with the details needed to correct it.
struct bundle_error {
  bundle_fault Fault = bundle_fault::MalformedLine;
  /// The line number, counted from 1; 0 if the error concerns the whole text.
  std::uint32_t Line = 0;
  /// The section's header without its brackets; empty outside sections.
  std::string Section;
  /// The key; empty if the error concerns no single key.
  std::string Key;
  /// The value as written, truncated to a readable length.
  std::string Value;
  /// A description of what is allowed here.
  std::string Allowed;

  auto operator<=>(const bundle_error &) const = default;

  /// @returns a human-readable line: `line 12: [caller x] rate = 5x: bad value;
  /// allowed: ...`.
  std::string text() const;
};

/// All errors of one text in the order of their lines; never empty in a
/// failed result.
using bundle_errors = std::vector<bundle_error>;

/// @returns a short phrase for @p Fault, such as `unknown key`.
std::string_view faultName(bundle_fault Fault);

} // namespace clementine

#endif
