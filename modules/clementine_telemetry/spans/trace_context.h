#ifndef CLEMENTINE_TELEMETRY_SPANS_TRACE_CONTEXT_H
#define CLEMENTINE_TELEMETRY_SPANS_TRACE_CONTEXT_H

#include "clementine_core/random/random_source.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace clementine {

/// Identifies a trace: all spans of one request across all hops. Never all
/// zero.
struct trace_id {
  std::uint64_t High = 0;
  std::uint64_t Low = 0;

  auto operator<=>(const trace_id &) const = default;

  /// @returns 32 lower-case hexadecimal digits.
  std::string text() const;
};

/// Identifies a span in its trace. Never zero.
struct span_id {
  std::uint64_t Value = 0;

  auto operator<=>(const span_id &) const = default;

  /// @returns 16 lower-case hexadecimal digits.
  std::string text() const;
};

/// The content of the header `traceparent`, passed from hop to hop.
///
/// @see W3C Trace Context, https://www.w3.org/TR/trace-context/
struct trace_context {
  trace_id Trace;
  /// The span of the hop that sent the header.
  span_id Span;
  bool Sampled = false;

  auto operator<=>(const trace_context &) const = default;
};

/// Parses a `traceparent` header.
///
/// Version 00 must have 55 characters; a later version may have more after a
/// further dash. Digits are lower-case; all-zero ids and version ff are
/// invalid. A request with an invalid header starts a new trace.
std::optional<trace_context> parseTraceparent(std::string_view Header);

/// @returns the header of version 00.
std::string formatTraceparent(const trace_context &Context);

/// @returns a random id that is not all zero.
trace_id newTraceId(random_source &Random);

/// @returns a random id that is not zero.
span_id newSpanId(random_source &Random);

} // namespace clementine

#endif
