#ifndef CLEMENTINE_CORE_TIME_CLOCK_H
#define CLEMENTINE_CORE_TIME_CLOCK_H

#include <chrono>

namespace clementine {

/// A span of time; nanoseconds unless a name says otherwise.
using duration = std::chrono::nanoseconds;

/// A point of monotonic time. It has no meaning outside the process.
using instant = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// Tells the time. Decisions get it through the constructor or as an argument,
/// so that tests can run in virtual time.
class clock {
public:
  virtual ~clock() = default;

  /// @returns the current monotonic time.
  virtual instant now() const = 0;
};

/// The machine's monotonic clock.
class monotonic_clock final : public clock {
public:
  instant now() const override { return std::chrono::steady_clock::now(); }
};

} // namespace clementine

#endif
