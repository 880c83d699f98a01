#ifndef CLEMENTINE_ADMISSION_LIMITS_STATIC_LIMITER_H
#define CLEMENTINE_ADMISSION_LIMITS_STATIC_LIMITER_H

#include "clementine_admission/limits/concurrency_limiter.h"

#include <algorithm>

namespace clementine {

/// A fixed limit.
class static_limiter final : public concurrency_limiter {
public:
  /// @param Limit values below 1 count as 1.
  explicit static_limiter(std::size_t Limit)
      : Limit(std::max<std::size_t>(Limit, 1)) {}

  std::size_t limit() const override { return Limit; }
  void addSample(const load_sample &, instant) override {}

private:
  const std::size_t Limit;
};

} // namespace clementine

#endif
