#include "clementine_membership/failure/suspicion.h"

#include <algorithm>
#include <cmath>

namespace clementine {

namespace {

/// The longest timeout as a multiple of the shortest.
constexpr double MaxTimeoutFactor = 6.0;
/// The number of confirmations at which the timeout is shortest.
constexpr std::size_t RequiredConfirmations = 3;

} // namespace

duration suspicionTimeout(const membership_settings &Settings,
                          std::size_t Members, std::size_t Accusers) {
  const double Decades = std::max(
      1.0, std::log10(static_cast<double>(std::max<std::size_t>(Members, 1))));
  const std::chrono::duration<double> Interval = Settings.ProbeInterval;
  const double Shortest =
      Settings.SuspicionMultiplier * Decades * Interval.count();
  // Neither the local node nor the suspected one can confirm.
  const std::size_t Possible = Members > 2 ? Members - 2 : 0;
  const std::size_t Required = std::min(RequiredConfirmations, Possible);
  const std::size_t Confirmations = Accusers > 0 ? Accusers - 1 : 0;
  double Factor = 1.0;
  if (Confirmations < Required)
    Factor = MaxTimeoutFactor -
             (MaxTimeoutFactor - 1.0) *
                 std::log(static_cast<double>(Confirmations) + 1.0) /
                 std::log(static_cast<double>(Required) + 1.0);
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(Shortest * Factor));
}

} // namespace clementine
