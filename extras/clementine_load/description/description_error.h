#ifndef CLEMENTINE_LOAD_DESCRIPTION_DESCRIPTION_ERROR_H
#define CLEMENTINE_LOAD_DESCRIPTION_DESCRIPTION_ERROR_H

#include <cstdint>
#include <string>

namespace clementine::load {

/// An error in the file of a deployment or scenario.
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
  /// Counted from 1; 0 if the error is not in a particular line.
  std::uint32_t Line = 0;
  std::string Section;
  std::string Key;
  std::string Value;

  /// @returns a one-line message.
  std::string text() const;
};

} // namespace clementine::load

#endif
