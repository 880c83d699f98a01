#ifndef CLEMENTINE_LOAD_DESCRIPTION_DESCRIPTION_ERROR_H
#define CLEMENTINE_LOAD_DESCRIPTION_DESCRIPTION_ERROR_H

#include <cstdint>
#include <string>

namespace clementine::load {

/// A fault in a deployment's or scenario's file.
struct description_error {
  enum class fault : std::uint8_t {
    Malformed,
    UnknownSection,
    UnknownKey,
    BadValue,
    MissingKey,
    Inconsistent,
  };

  fault Fault = fault::Malformed;
  /// Counted from 1; 0 if no line is at fault.
  std::uint32_t Line = 0;
  std::string Section;
  std::string Key;
  std::string Value;

  /// @returns a one-line form.
  std::string text() const;
};

} // namespace clementine::load

#endif
