#ifndef CLEMENTINE_TELEMETRY_SPANS_TRACE_SAMPLER_H
#define CLEMENTINE_TELEMETRY_SPANS_TRACE_SAMPLER_H

#include "clementine_telemetry/spans/trace_context.h"

namespace clementine {

/// Decides by the trace id alone whether a trace is sampled, so that all nodes
/// with the same share decide alike and traces are complete. A trace that is
/// sampled at one share is sampled at every higher one.
class trace_sampler {
public:
  /// @param Share from 0 (none) to 1 (all).
  explicit trace_sampler(double Share);

  bool isSampled(const trace_id &Trace) const;

private:
  double Share;
};

} // namespace clementine

#endif
