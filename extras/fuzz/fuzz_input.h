#ifndef CLEMENTINE_EXTRAS_FUZZ_FUZZ_INPUT_H
#define CLEMENTINE_EXTRAS_FUZZ_FUZZ_INPUT_H

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

namespace clementine {

/// Aborts if a property does not hold; libFuzzer then reports the input.
inline void require(bool Holds) {
  if (!Holds)
    std::abort();
}

/// @returns libFuzzer's input as text.
inline std::string_view textOf(const std::uint8_t *Data, std::size_t Size) {
  return {reinterpret_cast<const char *>(Data), Size};
}

} // namespace clementine

#endif
