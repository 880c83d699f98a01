#ifndef CLEMENTINE_REQUEST_ENTRY_SERVICE_DIRECTORY_H
#define CLEMENTINE_REQUEST_ENTRY_SERVICE_DIRECTORY_H

#include "clementine_core/identity/identity.h"
#include "clementine_routing/routes/route_candidate.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace clementine {

/// One instance of a service and the address of its node.
struct service_instance {
  route_candidate Candidate;
  /// The address at which the node accepts links.
  endpoint Peer;

  bool operator==(const service_instance &) const = default;
};

/// The instances of each service and their nodes, as known to one node at one
/// time. An immutable value, rebuilt on each change of membership.
struct service_directory {
  std::map<std::string, std::vector<service_instance>, std::less<>> Services;

  bool operator==(const service_directory &) const = default;

  /// @returns the instances of @p Service, which may be empty.
  const std::vector<service_instance> &
  instancesOf(std::string_view Service) const;

  /// @returns the instance on the same VM as the node named @p Node, or null.
  const service_instance *find(std::string_view Service,
                               std::string_view Node) const;
};

/// Orders the instances of a service for one key by rendezvous hash (Thaler,
/// Ravishankar: Using name-based mappings to increase hit rates, 1998), so that
/// nodes with similar views look for a key on the same nodes.
/// @returns at most @p MaxCount instances, the preferred one first.
std::vector<service_instance>
rendezvousOrder(const std::vector<service_instance> &Instances,
                std::string_view Key, std::size_t MaxCount);

} // namespace clementine

#endif
