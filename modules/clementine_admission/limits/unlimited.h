#ifndef CLEMENTINE_ADMISSION_LIMITS_UNLIMITED_H
#define CLEMENTINE_ADMISSION_LIMITS_UNLIMITED_H

#include "clementine_admission/limits/concurrency_limiter.h"

#include <limits>

namespace clementine {

/// No limit: the baseline for comparisons between limiters.
class unlimited final : public concurrency_limiter {
public:
  std::size_t limit() const override {
    return std::numeric_limits<std::size_t>::max();
  }
  void addSample(const load_sample &, instant) override {}
};

} // namespace clementine

#endif
