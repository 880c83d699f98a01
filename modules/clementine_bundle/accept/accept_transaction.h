#ifndef CLEMENTINE_BUNDLE_ACCEPT_ACCEPT_TRANSACTION_H
#define CLEMENTINE_BUNDLE_ACCEPT_ACCEPT_TRANSACTION_H

#include "clementine_bundle/accept/bundle_reader.h"

#include <optional>

namespace clementine {

/// Builds the single transaction that accepts a bundle. It updates the head by
/// compare-and-swap, adds the entry in the history and the delta in the current
/// epoch, and begins a new epoch with the full content when the current one
/// has reached its limits. Keys beyond the retention limits are deleted.
///
/// @param Current the newest record; empty before the first version.
/// @param Before the newest content; empty if there is none or it cannot
/// be read, which begins a new epoch.
platform_transaction
acceptTransaction(const signed_bundle &Signed,
                  const std::optional<read_record> &Current,
                  const std::optional<bundle> &Previous);

} // namespace clementine

#endif
