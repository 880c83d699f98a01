#ifndef CLEMENTINE_BUNDLE_SPREAD_UPDATE_CHAIN_H
#define CLEMENTINE_BUNDLE_SPREAD_UPDATE_CHAIN_H

#include "clementine_bundle/spread/bundle_update.h"

#include <optional>
#include <span>

namespace clementine {

/// Joins updates that follow each other into one, so that the text that comes
/// out is checked once rather than after each step.
///
/// @param Updates in the order of their versions; others than those of the
/// chain are skipped.
/// @param FromVersion where the chain begins; NoVersion begins with a whole.
/// @param ToVersion where the chain ends at the latest.
/// @returns the update from FromVersion to the last version reached; empty when
/// there is no first step.
std::optional<bundle_update> joinUpdates(std::span<const bundle_update> Updates,
                                         std::uint64_t FromVersion,
                                         std::uint64_t ToVersion);

} // namespace clementine

#endif
