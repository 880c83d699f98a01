#include "clementine_telemetry/spans/trace_sampler.h"

#include <cassert>

namespace clementine {

trace_sampler::trace_sampler(double Share) : Share(Share) {
  assert(Share >= 0 && Share <= 1 && "the share must be from 0 to 1");
}

bool trace_sampler::isSampled(const trace_id &Trace) const {
  constexpr double TwoToThe53 = 9007199254740992.0;
  // Callers choose the ids, and some keep parts of them constant, so the bits
  // are mixed.
  const std::uint64_t Mixed = mixBits(Trace.High ^ mixBits(Trace.Low));
  return static_cast<double>(Mixed >> 11U) / TwoToThe53 < Share;
}

} // namespace clementine
