#ifndef CLEMENTINE_SETTINGS_INI_INI_DOCUMENT_H
#define CLEMENTINE_SETTINGS_INI_INI_DOCUMENT_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace clementine {

/// The maximum size of an INI text, in bytes.
constexpr std::size_t MaxIniTextBytes = std::size_t{256} * 1024;

/// The maximum length of a line of an INI text, in bytes.
constexpr std::size_t MaxIniLineBytes = std::size_t{16} * 1024;

/// One `key = value` line with the section that it belongs to.
struct ini_entry {
  /// The line number, counted from 1.
  std::uint32_t Line = 0;
  std::string Section;
  std::string Key;
  std::string Value;

  bool operator==(const ini_entry &) const = default;
};

/// One `[section]` line.
struct ini_section {
  /// The line number, counted from 1.
  std::uint32_t Line = 0;
  std::string Name;

  bool operator==(const ini_section &) const = default;
};

/// A syntax error of an INI text.
enum class ini_fault : std::uint8_t {
  /// The text has more than MaxIniTextBytes bytes; none of it was parsed.
  TextTooLarge,
  /// The line has more than MaxIniLineBytes bytes.
  LineTooLong,
  /// The line is not blank, a comment, `[section]` or `key = value`.
  MalformedLine,
  /// The line contains a control character or a non-ASCII byte.
  ForbiddenCharacter,
  /// A key precedes the first section.
  KeyOutsideSection,
  /// A section occurs more than once.
  DuplicateSection,
  /// A key occurs more than once in its section.
  DuplicateKey,
};

/// A syntax error and its position.
struct ini_error {
  ini_fault Fault = ini_fault::MalformedLine;
  /// Counted from 1; 0 if the error concerns the whole text.
  std::uint32_t Line = 0;
  std::string Section;
  std::string Key;
  std::string Value;

  bool operator==(const ini_error &) const = default;
};

/// A parsed INI text.
///
/// Lines are blank, comments that begin with `;` or `#`, `[section]`, or
/// `key = value`. Spaces and tabs around names and values are ignored. A
/// comment cannot follow a value, and a value cannot continue on the next line.
struct ini_document {
  std::vector<ini_section> Sections;
  std::vector<ini_entry> Entries;
  /// Every error, in line order. Lines with errors produce no entry.
  std::vector<ini_error> Errors;

  bool operator==(const ini_document &) const = default;
};

/// Parses an INI text. Accepts any bytes; errors are returned in the document.
ini_document parseIni(std::string_view Text);

} // namespace clementine

#endif
