#include "clementine_admission/gate/service_time.h"

#include <algorithm>

namespace clementine {

namespace {

/// The weight of an attempt falls to the inverse of this.
constexpr unsigned AttemptsInMean = 16;

} // namespace

void service_time::learn(duration Taken) {
  Learned = std::min(Learned + 1, AttemptsInMean);
  Mean += (Taken - Mean) / static_cast<duration::rep>(Learned);
}

} // namespace clementine
