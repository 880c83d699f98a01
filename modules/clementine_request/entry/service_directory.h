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

/// One instance of a service and the way to its node.
struct service_instance {
  route_candidate Candidate;
  /// Where its node accepts links.
  endpoint Peer;

  bool operator==(const service_instance &) const = default;
};

/// Which nodes stand beside the instances of each service, as one node sees it
/// at one time. An immutable value, made anew from each change of membership.
struct service_directory {
  std::map<std::string, std::vector<service_instance>, std::less<>> Services;

  bool operator==(const service_directory &) const = default;

  /// @returns the instances of @p Service; empty when there are none.
  const std::vector<service_instance> &
  instancesOf(std::string_view Service) const;

  /// @returns the instance beside the node of that name, or null.
  const service_instance *find(std::string_view Service,
                               std::string_view Node) const;
};

/// Orders the instances of a service for one key by rendezvous hash (Thaler,
/// Ravishankar: Using name-based mappings to increase hit rates, 1998), so that
/// nodes with a like view look for a key at the same places.
/// @returns at most @p Most instances, the first choice first.
std::vector<service_instance>
rendezvousOrder(const std::vector<service_instance> &Instances,
                std::string_view Key, std::size_t MaxCount);

} // namespace clementine

#endif
