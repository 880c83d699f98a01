#ifndef CLEMENTINE_REQUEST_TRACING_HOP_TRACE_H
#define CLEMENTINE_REQUEST_TRACING_HOP_TRACE_H

#include "clementine_core/random/random_source.h"
#include "clementine_telemetry/spans/trace_context.h"
#include "clementine_telemetry/spans/trace_sampler.h"

#include <optional>
#include <string>

namespace clementine {

/// The trace context of one hop and its parent span.
struct hop_trace {
  /// The trace and the span of this hop.
  trace_context Own;
  /// The parent span; empty for the first hop of a trace.
  std::optional<span_id> Parent;

  bool operator==(const hop_trace &) const = default;
};

/// Creates the span of a hop.
/// @param TraceParent the traceparent header of the previous hop; if missing or
/// invalid, a new trace is started and @p Sampler decides whether it is
/// sampled.
hop_trace traceHop(const std::string &TraceParent, const trace_sampler &Sampler,
                   random_source &Random);

} // namespace clementine

#endif
