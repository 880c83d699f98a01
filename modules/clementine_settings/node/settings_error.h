#ifndef CLEMENTINE_SETTINGS_NODE_SETTINGS_ERROR_H
#define CLEMENTINE_SETTINGS_NODE_SETTINGS_ERROR_H

#include <cstdint>
#include <string>
#include <vector>

namespace clementine {

/// What is wrong with a setting.
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
  /// The value does not have the form of the setting's type.
  MalformedValue,
  /// The value has the right form, but is outside its range.
  OutOfRange,
  /// The value is fine by itself, but not together with another setting.
  Conflict,
};

/// One fault in the settings, with all that an operator needs to mend it.
struct settings_error {
  settings_fault Fault = settings_fault::MalformedLine;
  std::string File;
  /// Counted from 1; 0 if no single line is meant.
  std::uint32_t Line = 0;
  std::string Section;
  std::string Key;
  /// As written; hidden for secrets, cut when very long.
  std::string Value;
  /// What may stand there instead.
  std::string Allowed;

  bool operator==(const settings_error &) const = default;

  /// @returns one line for an operator.
  std::string text() const;
};

/// All faults of one settings file, in the order of its lines. Never empty.
struct settings_errors {
  std::vector<settings_error> Errors;

  bool operator==(const settings_errors &) const = default;
};

} // namespace clementine

#endif
