#ifndef CLEMENTINE_NODE_OBSERVE_CALLER_USAGE_H
#define CLEMENTINE_NODE_OBSERVE_CALLER_USAGE_H

#include "clementine_core/clementine_core.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace clementine {

/// What one caller uses at this node now.
struct caller_statistics {
  double CallsPerSecond = 0;
  double CostPerSecond = 0;
  /// Little's law: the rate times the mean time of a call.
  std::uint64_t InFlight = 0;
  /// Requests that were refused since the start of the node.
  std::uint64_t Refused = 0;

  bool operator==(const caller_statistics &) const = default;
};

/// Counts what callers use at this node, for operators. For any thread.
class caller_usage {
public:
  /// The most callers that are counted; further ones are left out.
  static constexpr std::size_t MostCallers = 20000;

  explicit caller_usage(const clock &Clock) : Clock(Clock) {}

  caller_usage(const caller_usage &) = delete;
  caller_usage &operator=(const caller_usage &) = delete;

  /// Counts a request that has ended.
  void add(const std::string &Caller, double Cost, duration Taken,
           bool IsRefused);

  caller_statistics figuresOf(const std::string &Caller) const;

private:
  /// Sums that lose half their weight in each half-life.
  struct decayed {
    double Calls = 0;
    double Cost = 0;
    double Seconds = 0;
    std::uint64_t Refused = 0;
    instant At{};
  };

  static decayed decayedTo(decayed Sums, instant Now);

  const clock &Clock;
  mutable std::mutex Mutex;
  std::map<std::string, decayed, std::less<>> Callers;
};

} // namespace clementine

#endif
