#ifndef STAND_IN_PLATFORM_SERVER_CALL_COUNTS_H
#define STAND_IN_PLATFORM_SERVER_CALL_COUNTS_H

#include "clementine_core/time/clock.h"

#include <array>
#include <cstdint>
#include <mutex>
#include <string>

namespace clementine::stand_in {

/// The calls that the platform counts.
enum class platform_call : std::uint8_t {
  Range,
  Transaction,
  LeaseGrant,
  LeaseKeepalive,
  LeaseRevoke,
  Watch,
};

/// Counts the platform's calls by kind. A watch counts once, however long it
/// waits.
class call_counts {
public:
  /// Counts one call at @p Now.
  void add(platform_call Call, instant Now);

  /// Notes that a watch begins (1) or ends (-1) to wait.
  void addWaitingWatches(int Difference);

  /// @returns the counts as a JSON object.
  std::string json() const;

private:
  static constexpr std::size_t Kinds = 6;

  mutable std::mutex Mutex;
  std::array<std::uint64_t, Kinds> Calls{};
  std::int64_t WaitingWatches = 0;
  std::chrono::seconds CurrentSecond{0};
  std::uint64_t CallsInSecond = 0;
  std::uint64_t MaxCallsInSecond = 0;
};

} // namespace clementine::stand_in

#endif
