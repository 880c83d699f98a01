#ifndef CLEMENTINE_CORE_TIME_CLOCK_H
#define CLEMENTINE_CORE_TIME_CLOCK_H

#include <chrono>

namespace clementine {

/// A time interval in nanoseconds.
using duration = std::chrono::nanoseconds;

/// A point in monotonic time. It is not comparable between processes.
using instant = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// A clock. Decision code receives the time through the constructor or as an
/// argument, so that tests can run in virtual time.
class clock {
public:
  virtual ~clock() = default;

  /// @returns the current monotonic time.
  virtual instant now() const = 0;
};

/// The system's monotonic clock.
class monotonic_clock final : public clock {
public:
  instant now() const override { return std::chrono::steady_clock::now(); }
};

} // namespace clementine

#endif
