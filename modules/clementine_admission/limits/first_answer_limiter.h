#ifndef CLEMENTINE_ADMISSION_LIMITS_FIRST_ANSWER_LIMITER_H
#define CLEMENTINE_ADMISSION_LIMITS_FIRST_ANSWER_LIMITER_H

#include "clementine_admission/limits/concurrency_limiter.h"

#include <algorithm>

namespace clementine {

/// A fixed limit, and a low one until the upstream has answered for the first
/// time: what it named to a former process of the node is not known any more.
class first_answer_limiter final : public concurrency_limiter {
public:
  static constexpr std::size_t LimitBeforeAnswer = 4;

  /// @param Limit values below 1 count as 1.
  explicit first_answer_limiter(std::size_t Limit)
      : Limit(std::max<std::size_t>(Limit, 1)) {}

  std::size_t limit() const override {
    return HasAnswered ? Limit : std::min(Limit, LimitBeforeAnswer);
  }

  void addSample(const load_sample &Sample, instant) override {
    if (Sample.Outcome == work_outcome::Completed ||
        Sample.Outcome == work_outcome::Shed)
      HasAnswered = true;
  }

private:
  const std::size_t Limit;
  bool HasAnswered = false;
};

} // namespace clementine

#endif
