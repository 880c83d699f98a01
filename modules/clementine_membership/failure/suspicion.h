#ifndef CLEMENTINE_MEMBERSHIP_FAILURE_SUSPICION_H
#define CLEMENTINE_MEMBERSHIP_FAILURE_SUSPICION_H

#include "clementine_membership/node/membership_settings.h"

#include <cstddef>

namespace clementine {

/// @returns how long a suspected member has to refute the accusation.
///
/// Lifeguard's dynamic timeout: it starts at six times the shortest and falls
/// with the logarithm of the number of independent confirmations, so that a
/// single accuser, which may itself be slow, has to wait longest.
/// @param Members how many members are neither dead nor left.
/// @param Accusers how many members accuse it, including the first one.
duration suspicionTimeout(const membership_settings &Settings,
                          std::size_t Members, std::size_t Accusers);

} // namespace clementine

#endif
