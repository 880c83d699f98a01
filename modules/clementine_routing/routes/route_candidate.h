#ifndef CLEMENTINE_ROUTING_ROUTES_ROUTE_CANDIDATE_H
#define CLEMENTINE_ROUTING_ROUTES_ROUTE_CANDIDATE_H

#include "clementine_core/identity/identity.h"

#include <compare>
#include <string>

namespace clementine {

/// One instance of a service according to membership.
struct route_candidate {
  node_identity Node;
  std::string DataCentre;
  /// Relative capacity; must be positive.
  double Weight = 1.0;
  /// It started cold and should receive less load at first.
  bool Warming = false;
  /// It is leaving and accepts no new work.
  bool Leaving = false;

  auto operator<=>(const route_candidate &) const = default;
};

} // namespace clementine

#endif
