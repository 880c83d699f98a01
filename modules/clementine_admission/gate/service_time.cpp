#include "clementine_admission/gate/service_time.h"

#include <algorithm>

namespace clementine {

namespace {

/// The weight of an attempt falls to the inverse of this.
constexpr unsigned MeanWindowSamples = 16;

} // namespace

void service_time::addSample(duration Taken) {
  SampleCount = std::min(SampleCount + 1, MeanWindowSamples);
  Mean += (Taken - Mean) / static_cast<duration::rep>(SampleCount);
}

} // namespace clementine
