#ifndef CLEMENTINE_MEMBERSHIP_FAILURE_SUSPICION_H
#define CLEMENTINE_MEMBERSHIP_FAILURE_SUSPICION_H

#include "clementine_membership/node/membership_settings.h"

#include <cstddef>

namespace clementine {

/// How long a suspected member has for refuting.
///
/// Lifeguard's dynamic timeout: it starts at six times the shortest and falls
/// with the logarithm of the number of independent confirmations, so that one
/// slow accuser alone waits long.
/// @param Members how many members are not gone.
/// @param Accusers how many members accuse, the first one included.
duration suspicionTimeout(const membership_settings &Settings,
                          std::size_t Members, std::size_t Accusers);

} // namespace clementine

#endif
