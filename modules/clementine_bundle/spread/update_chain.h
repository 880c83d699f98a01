#ifndef CLEMENTINE_BUNDLE_SPREAD_UPDATE_CHAIN_H
#define CLEMENTINE_BUNDLE_SPREAD_UPDATE_CHAIN_H

#include "clementine_bundle/spread/bundle_update.h"

#include <optional>
#include <span>

namespace clementine {

/// Joins consecutive updates into one, so that the resulting text is validated
/// once rather than after each update.
///
/// @param Updates in the order of their versions; updates that do not continue
/// the chain are skipped.
/// @param FromVersion the version before the chain; NoVersion to begin with a
/// full update.
/// @param ToVersion the last version that the chain may reach.
/// @returns the update from FromVersion to the last version reached; empty if
/// no update begins at FromVersion.
std::optional<bundle_update> joinUpdates(std::span<const bundle_update> Updates,
                                         std::uint64_t FromVersion,
                                         std::uint64_t ToVersion);

} // namespace clementine

#endif
