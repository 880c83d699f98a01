#ifndef CLEMENTINE_ADMISSION_LIMITS_START_RATE_H
#define CLEMENTINE_ADMISSION_LIMITS_START_RATE_H

#include "clementine_core/time/clock.h"

#include <cstddef>
#include <optional>

namespace clementine {

/// Spaces out the starts of attempts on one upstream while it asks for no more
/// than a number of them per second. Unused starts of BurstTime may be made up
/// for at once; without a limit every start is allowed.
class start_rate {
public:
  /// A lower limit counts as this one: without any start, no answer would show
  /// that the limit has ended.
  static constexpr double LowestPerSecond = 0.5;
  static constexpr duration BurstTime = std::chrono::milliseconds(200);

  /// Sets the limit in starts per second; std::nullopt removes it. A limit that
  /// is new begins without unused starts.
  void limit(std::optional<double> PerSecond, instant Now);
  std::optional<double> limit() const { return PerSecond; }

  bool mayStart(instant Now) const { return Now >= nextStart(); }
  void recordStart(instant Now);

  /// @returns when the next start is allowed; it may be in the past.
  instant nextStart() const;
  /// @returns how long an attempt waits behind @p Before others.
  duration waitBehind(std::size_t Before, instant Now) const;

private:
  std::optional<double> PerSecond;
  duration Interval{0};
  /// When the next start would take place if all were evenly spaced.
  instant NextEven;
};

} // namespace clementine

#endif
