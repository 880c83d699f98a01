#include "clementine_request/tracing/hop_trace.h"

namespace clementine {

hop_trace traceHop(const std::string &TraceParent, const trace_sampler &Sampler,
                   random_source &Random) {
  hop_trace Hop;
  if (const auto Before = parseTraceparent(TraceParent)) {
    Hop.Own = *Before;
    Hop.Parent = Before->Span;
  } else {
    Hop.Own.Trace = newTraceId(Random);
    Hop.Own.Sampled = Sampler.isSampled(Hop.Own.Trace);
  }
  Hop.Own.Span = newSpanId(Random);
  return Hop;
}

} // namespace clementine
