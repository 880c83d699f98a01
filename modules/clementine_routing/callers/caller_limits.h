#ifndef CLEMENTINE_ROUTING_CALLERS_CALLER_LIMITS_H
#define CLEMENTINE_ROUTING_CALLERS_CALLER_LIMITS_H

#include "clementine_core/errors/result.h"
#include "clementine_core/time/clock.h"
#include "clementine_routing/callers/caller_allocator.h"
#include "clementine_routing/callers/token_bucket.h"

#include <compare>
#include <cstddef>
#include <limits>
#include <optional>
#include <string>
#include <unordered_map>

namespace clementine {

/// What one caller may use over the whole fleet. Infinity means no limit.
struct caller_limit {
  /// Requests per second.
  double Rate = std::numeric_limits<double>::infinity();
  /// Requests at a time.
  double Concurrency = std::numeric_limits<double>::infinity();
  /// Units of cost per second.
  double CostRate = std::numeric_limits<double>::infinity();

  auto operator<=>(const caller_limit &) const = default;
};

/// Which limit a request ran into.
enum class caller_limit_kind : std::uint8_t {
  /// The bundle does not know the caller.
  UnknownCaller,
  Rate,
  Concurrency,
  Cost,
};

/// A request over its caller's limits. It was not run.
struct caller_refusal {
  caller_limit_kind Kind = caller_limit_kind::UnknownCaller;
  /// When a new request could succeed.
  duration RetryAfter{0};

  auto operator<=>(const caller_refusal &) const = default;
};

/// How caller_limits holds a node's part.
struct caller_limits_settings {
  std::string OwnName;
  /// The part of each limit that belongs to the nodes in equal parts.
  /// @see caller_allocator_settings::LeasedFraction
  double EqualFraction = 0.1;
  /// Tokens are saved for this long.
  duration Burst = std::chrono::milliseconds(250);
  /// Demand is averaged over about this long.
  duration DemandAveragingTime = std::chrono::seconds(1);
  /// The wait between reports before the first grant.
  duration FirstReportInterval = std::chrono::milliseconds(100);

  auto operator<=>(const caller_limits_settings &) const = default;
};

/// Holds the callers that enter at this node to the node's part of their
/// limits.
///
/// A node's part is an equal part of a small share of the limit, which needs no
/// message, and a lease by demand from the caller's allocator. All parts add up
/// to the limit, plus at most one request at a time for each node at which the
/// caller enters, since a part below one request would never let one in.
class caller_limits {
public:
  explicit caller_limits(caller_limits_settings Settings);

  caller_limits(const caller_limits &) = delete;
  caller_limits &operator=(const caller_limits &) = delete;

  /// Sets or replaces the limit of a caller, as a new bundle says.
  void setLimit(const std::string &Caller, caller_limit Limit);

  /// Drops a caller that the bundle no longer has.
  void removeCaller(const std::string &Caller);

  /// Tells how many nodes are known, those behind a partition included.
  void setNodeCount(std::size_t Nodes);

  /// Asks to let a request in. After a success, end() follows.
  /// @param Cost of the operation, in the bundle's units.
  result<void, caller_refusal> begin(const std::string &Caller, double Cost,
                                     instant Now);

  /// Tells that a request has ended.
  void end(const std::string &Caller);

  /// @returns the report to send to the caller's allocator if one is due.
  std::optional<usage_report> takeDueReport(const std::string &Caller,
                                            instant Now);

  /// Takes in the answer to a report.
  /// @param ReportedAt when that report was taken.
  void onGrant(const std::string &Caller, const usage_grant &Grant,
               instant ReportedAt);

  /// @returns this node's part of the caller's limit, from 0 to 1.
  double limitFraction(const std::string &Caller, instant Now) const;

private:
  struct caller_state {
    caller_limit Limit;
    token_bucket Requests;
    token_bucket Cost;
    std::size_t Running = 0;
    /// Decaying sums of what was asked for.
    double RequestDemand = 0;
    double CostDemand = 0;
    instant DecayedAt;
    usage_grant Grant;
    instant GrantUntil;
    instant NextReport;
  };

  void countDemand(caller_state &State, double Cost, instant Now) const;
  void decayDemand(caller_state &State, instant Now) const;
  double demand(const caller_state &State) const;
  double limitFraction(const caller_state &State, instant Now) const;

  const caller_limits_settings Settings;
  std::unordered_map<std::string, caller_state> Callers;
  std::size_t Nodes = 1;
};

} // namespace clementine

#endif
