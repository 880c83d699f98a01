#ifndef CLEMENTINE_ADMIN_STATUS_NODE_STATUS_H
#define CLEMENTINE_ADMIN_STATUS_NODE_STATUS_H

#include "clementine_admission/gate/admission_level.h"
#include "clementine_core/identity/identity.h"
#include "clementine_core/time/clock.h"
#include "clementine_membership/members/member_record.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace clementine {

/// The configuration bundle that is active on a node.
struct bundle_status {
  /// The deployment's name.
  std::string Name;
  std::uint64_t Version = 0;
  /// In hexadecimal digits.
  std::string Digest;
  /// The owner, who signed it.
  std::string Owner;
  /// The owner's reason for this version.
  std::string Reason;
  /// How long it has been active on this node.
  duration InForce{};
  /// Time since the platform or a peer last confirmed that there is no higher
  /// version; empty if neither has.
  std::optional<duration> Confirmed;

  bool operator==(const bundle_status &) const = default;
};

/// A member of the system as the node sees it.
struct member_status {
  node_identity Identity;
  std::string DataCentre;
  /// Empty until an upstream has announced itself there.
  std::string Service;
  endpoint Http;
  member_state State = member_state::Alive;
  /// Whether it is the node itself.
  bool IsSelf = false;

  bool operator==(const member_status &) const = default;
};

/// An instance of a service as the node sees it: its own upstream, or one that
/// it sends calls to.
struct upstream_status {
  std::string Service;
  /// The node that runs on the same VM as the upstream.
  std::string Node;
  std::string DataCentre;
  /// Whether it is this node's own upstream.
  bool IsOwn = false;
  bool IsDraining = false;
  /// Requests of this node that are running there.
  std::uint64_t InFlight = 0;
  /// The concurrency limit; empty without one, and for other nodes' upstreams.
  std::optional<std::uint64_t> Limit;
  /// Requests that are queued in this node.
  std::uint64_t Queued = 0;
  /// The admission level of its gate.
  admission_level Level;
  /// The mean duration of a call; empty before the first.
  std::optional<duration> MeanLatency;

  bool operator==(const upstream_status &) const = default;
};

/// A caller: its settings in the bundle and its current usage at this node.
struct caller_status {
  std::string Name;
  std::string Owner;
  importance Importance = importance::Normal;
  /// Limits set by the bundle; empty where it sets none.
  std::optional<double> RateLimit;
  std::optional<std::uint64_t> ConcurrencyLimit;
  std::optional<double> CostLimit;
  /// Calls per second.
  double Rate = 0;
  std::uint64_t InFlight = 0;
  /// Cost units per second.
  double Cost = 0;
  /// Calls refused since the node started.
  std::uint64_t Refused = 0;

  bool operator==(const caller_status &) const = default;
};

/// Everything that a node shows to operators, at one point in time.
struct node_status {
  node_identity Identity;
  std::string DataCentre;
  /// The version of the program.
  std::string Program;
  duration Uptime{};
  /// Whether a planned stop is in progress.
  bool IsStopping = false;
  /// Empty while the node has no bundle.
  std::optional<bundle_status> Bundle;
  std::vector<member_status> Members;
  std::vector<upstream_status> Upstreams;
  std::vector<caller_status> Callers;

  bool operator==(const node_status &) const = default;
};

} // namespace clementine

#endif
