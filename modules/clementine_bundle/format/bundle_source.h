#ifndef CLEMENTINE_BUNDLE_FORMAT_BUNDLE_SOURCE_H
#define CLEMENTINE_BUNDLE_FORMAT_BUNDLE_SOURCE_H

#include "clementine_bundle/format/bundle_error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace clementine {

/// One `key = value` line.
struct source_entry {
  std::uint32_t Line = 0;
  std::string_view Key;
  std::string_view Value;
};

/// One `[section]` with its entries in the order of the text.
struct source_section {
  std::uint32_t Line = 0;
  /// The header's words: its kind, then the names.
  std::vector<std::string_view> Words;
  std::vector<source_entry> Entries;

  /// @returns the header without brackets, its words joined by one space.
  std::string name() const;

  /// @returns header and entries, the keys in alphabetical order, a blank line
  /// last.
  std::string canonicalText() const;
};

/// INI text split into sections, with the line number of each element.
///
/// Lines that begin with `;` or `#` are comments. Boost's INI reader is not
/// used, since it keeps no line numbers and stops at the first error. The views
/// point into the text, which has to outlive this object.
struct bundle_source {
  std::vector<source_section> Sections;
  /// The errors found while splitting: malformed lines and keys outside any
  /// section.
  bundle_errors Errors;

  /// Splits @p Text. Never fails; see Errors.
  static bundle_source split(std::string_view Text);
};

/// The maximum length of a value quoted in an error, in bytes.
constexpr std::size_t MaxQuotedValueBytes = 80;

/// @returns @p Value truncated to MaxQuotedValueBytes, with control characters
/// replaced by `?`.
std::string quotedValue(std::string_view Value);

} // namespace clementine

#endif
