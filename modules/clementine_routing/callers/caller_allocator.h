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

/// What one node asks of one caller's limit. Shares and demand are parts of
/// the caller's limit, so that rate, concurrency and cost need one number.
struct usage_report {
  std::string Node;
  /// The recent demand at this node, refused requests included.
  double Demand = 0;
  /// The sequence number of the grant that the node acts on; 0 for none.
  std::uint64_t HeldSequence = 0;
  double HeldShare = 0;
  /// How long the held grant still lasts.
  duration HeldValidFor{0};

  auto operator<=>(const usage_report &) const = default;
};

/// A lease of a share of one caller's limit.
struct usage_grant {
  /// A node takes in a grant only if its number is above the held one.
  std::uint64_t Sequence = 0;
  double Share = 0;
  /// Counted from the moment at which the node sent the report.
  duration ValidFor{0};
  /// When the node should report again.
  duration ReportAfter{0};

  auto operator<=>(const usage_grant &) const = default;
};

/// How a caller_allocator grants.
struct caller_allocator_settings {
  /// The part of the limit that is granted by demand; the rest belongs to the
  /// nodes in equal parts.
  double LeasedFraction = 0.9;
  /// How long a grant lasts while few nodes report.
  duration MinimumGrantDuration = std::chrono::seconds(3);
  /// The most reports that are wanted in a second; with more nodes grants last
  /// longer.
  double TargetReportsPerSecond = 20.0;

  auto operator<=>(const caller_allocator_settings &) const = default;
};

/// Leases the shares of one caller's limit to the nodes at which it enters.
///
/// Every node finds the allocator of a caller by rendezvous hash over its live
/// view. Two allocators at once, after a change of view, are harmless for
/// longer than a moment: a report carries what the node holds, and a new
/// allocator grants nothing more until the grants of the one before are over.
///
/// The shares that nodes may act on never add up to more than the granted part
/// times the reachable part of the fleet, whatever messages are lost, late or
/// doubled.
class caller_allocator {
public:
  /// @param ResponsibleSince when this node became the allocator by its view.
  caller_allocator(caller_allocator_settings Settings,
                   instant ResponsibleSince);

  caller_allocator(const caller_allocator &) = delete;
  caller_allocator &operator=(const caller_allocator &) = delete;

  /// Takes in a report and grants a share.
  /// @param ReachableFraction the nodes that can be reached as a part of all
  /// that are known, those behind a network partition included; it holds the
  /// sum over all sides of a partition within the limit.
  usage_grant report(const usage_report &Report, double ReachableFraction,
                     instant Now);

  /// @returns the sum of the shares that nodes may be acting on.
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
    /// The grants that the node may be acting on.
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
