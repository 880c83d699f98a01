#include "clementine_admission/limits/start_rate.h"

#include <algorithm>

namespace clementine {

void start_rate::limit(std::optional<double> Named, instant Now) {
  if (Named == PerSecond)
    return;
  const bool IsNew = !PerSecond;
  PerSecond = Named;
  if (!PerSecond)
    return;
  const std::chrono::duration<double> Seconds(
      1.0 / std::max(*PerSecond, LowestPerSecond));
  Interval = std::chrono::duration_cast<duration>(Seconds);
  const instant WithoutUnused = Now + BurstTime;
  NextEven =
      IsNew ? WithoutUnused : std::min(NextEven, WithoutUnused + Interval);
}

void start_rate::recordStart(instant Now) {
  if (PerSecond)
    NextEven = std::max(NextEven, Now) + Interval;
}

instant start_rate::nextStart() const {
  return PerSecond ? NextEven - BurstTime : instant::min();
}

duration start_rate::waitBehind(std::size_t Before, instant Now) const {
  if (!PerSecond)
    return duration(0);
  const duration UntilNext = std::max(duration(0), nextStart() - Now);
  return UntilNext + Interval * static_cast<duration::rep>(Before);
}

} // namespace clementine
