#ifndef CLEMENTINE_MEMBERSHIP_SPREAD_BYTE_BUDGET_H
#define CLEMENTINE_MEMBERSHIP_SPREAD_BYTE_BUDGET_H

#include "clementine_core/time/clock.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace clementine {

/// A token bucket that limits the bytes sent by gossip. Messages of lower
/// priority leave a reserve for those of higher priority.
class byte_budget {
public:
  /// @param Rate the refill rate in bytes per second.
  /// @param Burst the maximum number of bytes that accumulate.
  byte_budget(double Rate, double Burst)
      : Rate(Rate), Burst(Burst), Tokens(Burst) {}

  /// Takes @p Bytes unless less than @p ReserveShare of the burst would be
  /// left.
  /// @returns whether the bytes may be sent.
  bool take(std::size_t Bytes, double ReserveShare, instant Now) {
    if (!has(Bytes, ReserveShare, Now))
      return false;
    Tokens -= static_cast<double>(Bytes);
    return true;
  }

  /// @returns whether take() would succeed.
  bool has(std::size_t Bytes, double ReserveShare, instant Now) {
    refill(Now);
    return Tokens - static_cast<double>(Bytes) >= Burst * ReserveShare;
  }

private:
  void refill(instant Now) {
    if (Now <= LastRefill)
      return;
    const std::chrono::duration<double> Passed = Now - LastRefill;
    Tokens = std::min(Burst, Tokens + Rate * Passed.count());
    LastRefill = Now;
  }

  double Rate;
  double Burst;
  double Tokens;
  instant LastRefill{};
};

} // namespace clementine

#endif
