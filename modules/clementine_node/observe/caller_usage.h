#ifndef CLEMENTINE_NODE_OBSERVE_CALLER_USAGE_H
#define CLEMENTINE_NODE_OBSERVE_CALLER_USAGE_H

#include "clementine_core/clementine_core.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace clementine {

/// Current usage of this node by one caller.
struct caller_statistics {
  double CallsPerSecond = 0;
  double CostPerSecond = 0;
  /// Estimated by Little's law: call rate times mean call time.
  std::uint64_t InFlight = 0;
  /// Requests refused since the start of the node.
  std::uint64_t Refused = 0;

  bool operator==(const caller_statistics &) const = default;
};

/// Measures each caller's usage of this node, for operators. Thread-safe.
class caller_usage {
public:
  /// Maximum number of callers that are counted; further ones are ignored.
  static constexpr std::size_t MaxCallers = 20000;

  explicit caller_usage(const clock &Clock) : Clock(Clock) {}

  caller_usage(const caller_usage &) = delete;
  caller_usage &operator=(const caller_usage &) = delete;

  /// Counts a request that has ended.
  void add(const std::string &Caller, double Cost, duration Taken,
           bool IsRefused);

  caller_statistics statisticsOf(const std::string &Caller) const;

private:
  /// Exponentially decaying sums; Refused does not decay.
  struct decayed_sums {
    double Calls = 0;
    double Cost = 0;
    double Seconds = 0;
    std::uint64_t Refused = 0;
    instant At{};
  };

  static decayed_sums decayedTo(decayed_sums Sums, instant Now);

  const clock &Clock;
  mutable std::mutex Mutex;
  std::map<std::string, decayed_sums, std::less<>> Callers;
};

} // namespace clementine

#endif
