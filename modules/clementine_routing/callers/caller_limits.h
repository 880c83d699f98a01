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

/// The limits of one caller over the whole fleet. Infinity means no limit.
struct caller_limit {
  /// Requests per second.
  double Rate = std::numeric_limits<double>::infinity();
  /// Concurrent requests.
  double Concurrency = std::numeric_limits<double>::infinity();
  /// Units of cost per second.
  double CostRate = std::numeric_limits<double>::infinity();

  auto operator<=>(const caller_limit &) const = default;
};

/// The limit that a request exceeded.
enum class caller_limit_kind : std::uint8_t {
  /// The caller is not in the bundle.
  UnknownCaller,
  Rate,
  Concurrency,
  Cost,
};

/// The refusal of a request that exceeds its caller's limits. It was not run.
struct caller_refusal {
  caller_limit_kind Kind = caller_limit_kind::UnknownCaller;
  /// The delay after which a new request could succeed.
  duration RetryAfter{0};

  auto operator<=>(const caller_refusal &) const = default;
};

/// Settings of caller_limits.
struct caller_limits_settings {
  std::string OwnName;
  /// The fraction of each limit that is divided equally among the nodes.
  /// @see caller_allocator_settings::LeasedFraction
  double EqualFraction = 0.1;
  /// Unused tokens accumulate for up to this long.
  duration Burst = std::chrono::milliseconds(250);
  /// The time over which demand is averaged, approximately.
  duration DemandAveragingTime = std::chrono::seconds(1);
  /// The interval between reports before the first grant.
  duration FirstReportInterval = std::chrono::milliseconds(100);

  auto operator<=>(const caller_limits_settings &) const = default;
};

/// Limits the requests that enter at this node to the node's fraction of their
/// callers' limits.
///
/// The fraction is the sum of an equal division of a small part of the limit,
/// which needs no messages, and a share leased by demand from the caller's
/// allocator. All fractions add up to the limit, plus at most one concurrent
/// request for each node at which the caller enters, since a limit below one
/// request would never admit any.
class caller_limits {
public:
  explicit caller_limits(caller_limits_settings Settings);

  caller_limits(const caller_limits &) = delete;
  caller_limits &operator=(const caller_limits &) = delete;

  /// Sets or replaces the limit of a caller, from a new bundle.
  void setLimit(const std::string &Caller, caller_limit Limit);

  /// Removes a caller that is no longer in the bundle.
  void removeCaller(const std::string &Caller);

  /// Sets the number of known nodes, those behind a partition included. A count
  /// of 0 is taken as 1.
  void setNodeCount(std::size_t Nodes);

  /// Requests admission for a request. After a success, end() has to follow.
  /// @param Cost of the operation, in the bundle's units.
  result<void, caller_refusal> begin(const std::string &Caller, double Cost,
                                     instant Now);

  /// Records the end of an admitted request.
  void end(const std::string &Caller);

  /// @returns the report to send to the caller's allocator if one is due.
  std::optional<usage_report> takeDueReport(const std::string &Caller,
                                            instant Now);

  /// Accepts the answer to a report.
  /// @param ReportedAt when that report was created.
  void onGrant(const std::string &Caller, const usage_grant &Grant,
               instant ReportedAt);

  /// @returns this node's fraction of the caller's limit, from 0 to 1.
  double limitFraction(const std::string &Caller, instant Now) const;

private:
  struct caller_state {
    caller_limit Limit;
    token_bucket Requests;
    token_bucket Cost;
    std::size_t Running = 0;
    /// Exponentially decaying sums of requests and of their cost, refused ones
    /// included.
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
