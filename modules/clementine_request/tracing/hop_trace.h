#ifndef CLEMENTINE_REQUEST_TRACING_HOP_TRACE_H
#define CLEMENTINE_REQUEST_TRACING_HOP_TRACE_H

#include "clementine_core/random/random_source.h"
#include "clementine_telemetry/spans/trace_context.h"
#include "clementine_telemetry/spans/trace_sampler.h"

#include <optional>
#include <string>

namespace clementine {

/// The place of one hop in its trace.
struct hop_trace {
  /// The trace and the span of this hop.
  trace_context Own;
  /// The span that this one continues.
  std::optional<span_id> Parent;

  bool operator==(const hop_trace &) const = default;
};

/// Gives a hop its span.
/// @param TraceParent the header of the hop before; one that is missing or
/// invalid starts a new trace, for which @p Sampler decides.
hop_trace traceHop(const std::string &TraceParent, const trace_sampler &Sampler,
                   random_source &Random);

} // namespace clementine

#endif
