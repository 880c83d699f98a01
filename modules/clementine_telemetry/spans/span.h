#ifndef CLEMENTINE_TELEMETRY_SPANS_SPAN_H
#define CLEMENTINE_TELEMETRY_SPANS_SPAN_H

#include "clementine_core/time/clock.h"
#include "clementine_telemetry/spans/trace_context.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace clementine {

/// A key and a value attached to a span.
struct span_attribute {
  std::string Key;
  std::variant<std::string, std::int64_t, bool> Value;

  bool operator==(const span_attribute &) const = default;
};

/// The role of a span in its call.
enum class span_kind : std::uint8_t { Internal, Server, Client };

/// The outcome of the operation of a span.
enum class span_status : std::uint8_t { Unset, Ok, Error };

/// One finished operation of a traced request, such as a hop.
struct span {
  trace_id Trace;
  span_id Id;
  /// Empty for the root span of a trace.
  std::optional<span_id> Parent;
  std::string Name;
  span_kind Kind = span_kind::Internal;
  /// Nanoseconds since the Unix epoch.
  std::uint64_t StartUnixNanoseconds = 0;
  duration Duration{};
  std::vector<span_attribute> Attributes;
  span_status Status = span_status::Unset;

  bool operator==(const span &) const = default;
};

} // namespace clementine

#endif
