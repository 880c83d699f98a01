#include "clementine_admission/gate/service_time.h"

#include <algorithm>

namespace clementine {

namespace {

/// After this many attempts, the weight of a new one stays at the inverse of
/// this number.
constexpr unsigned MeanWindowSamples = 16;

} // namespace

void service_time::addSample(duration Taken) {
  SampleCount = std::min(SampleCount + 1, MeanWindowSamples);
  Mean += (Taken - Mean) / static_cast<duration::rep>(SampleCount);
}

} // namespace clementine
