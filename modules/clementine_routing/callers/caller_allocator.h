#ifndef CLEMENTINE_ROUTING_CALLERS_CALLER_ALLOCATOR_H
#define CLEMENTINE_ROUTING_CALLERS_CALLER_ALLOCATOR_H

#include "clementine_core/time/clock.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace clementine {

/// A node's report on its use of one caller's limit. Shares and demand are
/// fractions of the caller's limit, so that one number covers rate, concurrency
/// and cost.
struct usage_report {
  std::string Node;
  /// The recent demand at this node, refused requests included.
  double Demand = 0;
  /// The sequence number of the grant that the node holds; 0 for none.
  std::uint64_t HeldSequence = 0;
  double HeldShare = 0;
  /// The remaining validity of the held grant.
  duration HeldValidFor{0};

  auto operator<=>(const usage_report &) const = default;
};

/// A lease of a share of one caller's limit to a node.
struct usage_grant {
  /// A node accepts a grant only if its number is above that of the held grant.
  std::uint64_t Sequence = 0;
  double Share = 0;
  /// Counted from the time at which the node sent the report.
  duration ValidFor{0};
  /// When the node should report again.
  duration ReportAfter{0};

  auto operator<=>(const usage_grant &) const = default;
};

/// Settings of a caller_allocator.
struct caller_allocator_settings {
  /// The fraction of the limit that is leased by demand; the rest is divided
  /// equally among the nodes.
  double LeasedFraction = 0.9;
  /// The duration of a grant while few nodes report.
  duration MinimumGrantDuration = std::chrono::seconds(3);
  /// The maximum rate of reports aimed at; with more nodes, grants last longer.
  double TargetReportsPerSecond = 20.0;

  auto operator<=>(const caller_allocator_settings &) const = default;
};

/// Leases shares of one caller's limit to the nodes at which the caller's
/// requests enter.
///
/// Every node finds the allocator of a caller by rendezvous hash over its live
/// view. Two allocators may overlap briefly after a change of view without
/// harm: a report carries the grant that the node holds, and a new allocator
/// grants no additional share until the grants of the previous one have
/// expired.
///
/// The sum of the shares that nodes may use never exceeds the leased fraction
/// times the reachable fraction of the fleet, whatever messages are lost,
/// delayed or duplicated.
class caller_allocator {
public:
  /// @param ResponsibleSince when this node became the allocator according to
  /// its view.
  caller_allocator(caller_allocator_settings Settings,
                   instant ResponsibleSince);

  caller_allocator(const caller_allocator &) = delete;
  caller_allocator &operator=(const caller_allocator &) = delete;

  /// Processes a report and grants a share.
  /// @param ReachableFraction the nodes that can be reached as a fraction of
  /// all known nodes, those behind a network partition included. It keeps the
  /// sum over all sides of a partition within the limit.
  usage_grant report(const usage_report &Report, double ReachableFraction,
                     instant Now);

  /// @returns the sum of the shares that nodes may currently use.
  double reservedShares(instant Now) const;

private:
  struct issued_grant {
    std::uint64_t Sequence = 0;
    double Share = 0;
    instant Until;
  };
  struct holder {
    double Demand = 0;
    instant LastReportAt;
    std::uint64_t LastSequence = 0;
    /// The grants that the node may be using.
    std::vector<issued_grant> Issued;

    double reserved(instant Now) const;
  };

  void removeInactiveHolders(instant Now);
  static void recordHeldGrant(holder &Holder, const usage_report &Report,
                              instant Now);
  double fairShare(const holder &Holder, double AvailableFraction) const;
  duration grantDuration() const;

  const caller_allocator_settings Settings;
  const instant ResponsibleSince;
  std::unordered_map<std::string, holder> Holders;
};

} // namespace clementine

#endif
