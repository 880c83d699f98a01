#ifndef CLEMENTINE_CORE_HTTP_RESPONSE_LINE_CHECK_H
#define CLEMENTINE_CORE_HTTP_RESPONSE_LINE_CHECK_H

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace clementine {

/// What a line in the heads or the trailer of a response is.
enum class response_line : std::uint8_t {
  /// The status line that begins a head.
  Status,
  Field,
  /// The empty line that ends a head or the trailer.
  End,
  /// A line that no response has. The response has to be discarded.
  Invalid,
};

/// Checks the lines of one response with the interim responses before it, as
/// libcurl passes them to a header function, which is less strict than
/// RFC 9110 and RFC 9112.
class response_line_check {
public:
  /// The most bytes that all the lines of a response may have together.
  static constexpr std::size_t MaxBytes = std::size_t{256} << 10U;

  /// Checks the next line.
  /// @param Line the line; its line end is removed.
  /// @param Status the status in the last status line, this one included.
  response_line next(std::string_view &Line, unsigned Status);

private:
  std::size_t Bytes = 0;
  bool ExpectsStatus = true;
};

} // namespace clementine

#endif
