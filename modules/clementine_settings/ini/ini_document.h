#ifndef CLEMENTINE_SETTINGS_INI_INI_DOCUMENT_H
#define CLEMENTINE_SETTINGS_INI_INI_DOCUMENT_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace clementine {

/// The most bytes that an INI text may have.
constexpr std::size_t LargestIniText = std::size_t{256} * 1024;

/// The most bytes that a line of an INI text may have.
constexpr std::size_t LongestIniLine = std::size_t{16} * 1024;

/// One `key = value` with the section above it.
struct ini_entry {
  /// Counted from 1.
  std::uint32_t Line = 0;
  std::string Section;
  std::string Key;
  std::string Value;

  bool operator==(const ini_entry &) const = default;
};

/// One `[section]` line.
struct ini_section {
  /// Counted from 1.
  std::uint32_t Line = 0;
  std::string Name;

  bool operator==(const ini_section &) const = default;
};

/// What is wrong with the form of an INI text.
enum class ini_fault : std::uint8_t {
  /// The text has more than LargestIniText bytes; nothing of it was read.
  TextTooLarge,
  /// The line has more than LongestIniLine bytes.
  LineTooLong,
  /// The line is neither blank, comment, `[section]` nor `key = value`.
  MalformedLine,
  /// The line has a control character or is not ASCII.
  ForbiddenCharacter,
  /// A key stands above the first section.
  KeyOutsideSection,
  /// A section stands twice.
  DuplicateSection,
  /// A key stands twice in its section.
  DuplicateKey,
};

/// A fault and where it is.
struct ini_error {
  ini_fault Fault = ini_fault::MalformedLine;
  /// Counted from 1; 0 if the whole text is meant.
  std::uint32_t Line = 0;
  std::string Section;
  std::string Key;
  std::string Value;

  bool operator==(const ini_error &) const = default;
};

/// An INI text, taken apart.
///
/// Lines are blank, comments that begin with `;` or `#`, `[section]`, or
/// `key = value`. Blanks around names and values do not count. A comment cannot
/// follow a value, and a value cannot go on to a next line.
struct ini_document {
  std::vector<ini_section> Sections;
  std::vector<ini_entry> Entries;
  /// Every fault, in the order of the lines. Faulty lines give no entry.
  std::vector<ini_error> Errors;

  bool operator==(const ini_document &) const = default;
};

/// Takes an INI text apart. It accepts any bytes and never fails as a whole.
ini_document parseIni(std::string_view Text);

} // namespace clementine

#endif
