#ifndef CLEMENTINE_EXPLORER_EXPLORER_H
#define CLEMENTINE_EXPLORER_EXPLORER_H

#include "clementine_explorer/explored_mesh.h"

namespace clementine::explorer {

/// The result of an exploration.
struct exploration {
  /// The number of different states that were reached.
  std::size_t States = 0;
  std::size_t Transitions = 0;
  /// The broken promise and the steps that lead to it, in the fewest steps; if
  /// any.
  std::string Violation;
  std::vector<step> Way;
};

/// Goes through all orders of steps within the bounds, the shorter ones first,
/// up to the first broken promise.
exploration explore(const exploration_settings &Settings);

/// @returns the steps as text, one a line.
std::string describe(const std::vector<step> &Way);

} // namespace clementine::explorer

#endif
