#ifndef CLEMENTINE_SETTINGS_NODE_SETTINGS_ERROR_H
#define CLEMENTINE_SETTINGS_NODE_SETTINGS_ERROR_H

#include <cstdint>
#include <string>
#include <vector>

namespace clementine {

/// The kind of an error in the settings.
enum class settings_fault : std::uint8_t {
  UnreadableFile,
  TextTooLarge,
  LineTooLong,
  MalformedLine,
  ForbiddenCharacter,
  KeyOutsideSection,
  UnknownSection,
  UnknownKey,
  DuplicateSection,
  DuplicateKey,
  MissingKey,
  /// The value cannot be parsed as the setting's type.
  MalformedValue,
  /// The value can be parsed, but is outside the allowed range.
  OutOfRange,
  /// The value is valid by itself, but conflicts with another setting.
  Conflict,
};

/// One error in the settings, with the details needed to correct it.
struct settings_error {
  settings_fault Fault = settings_fault::MalformedLine;
  std::string File;
  /// Counted from 1; 0 if the error does not concern a single line.
  std::uint32_t Line = 0;
  std::string Section;
  std::string Key;
  /// As written; redacted for secrets, truncated if very long.
  std::string Value;
  /// Describes the allowed values.
  std::string Allowed;

  bool operator==(const settings_error &) const = default;

  /// @returns the error message, on one line.
  std::string text() const;
};

/// All errors of one settings file, in line order. Never empty.
struct settings_errors {
  std::vector<settings_error> Errors;

  bool operator==(const settings_errors &) const = default;
};

} // namespace clementine

#endif
