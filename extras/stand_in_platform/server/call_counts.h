#ifndef STAND_IN_PLATFORM_SERVER_CALL_COUNTS_H
#define STAND_IN_PLATFORM_SERVER_CALL_COUNTS_H

#include "clementine_core/time/clock.h"

#include <array>
#include <cstdint>
#include <mutex>
#include <string>

namespace clementine::stand_in {

/// The kinds of calls that are counted.
enum class platform_call : std::uint8_t {
  Range,
  Transaction,
  LeaseGrant,
  LeaseKeepalive,
  LeaseRevoke,
  Watch,
};

/// Counts the calls to the platform by kind. A watch is counted once, however
/// long it stays open.
class call_counts {
public:
  /// Counts one call at @p Now.
  void add(platform_call Call, instant Now);

  /// Adds to the number of open watches.
  /// @param Difference 1 when a watch is opened, -1 when it is closed.
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
