#ifndef CLEMENTINE_BUNDLE_ACCEPT_ACCEPT_TRANSACTION_H
#define CLEMENTINE_BUNDLE_ACCEPT_ACCEPT_TRANSACTION_H

#include "clementine_bundle/accept/bundle_reader.h"

#include <optional>

namespace clementine {

/// Makes the one transaction that accepts a bundle: the head by
/// compare-and-swap, the entry in the history, the delta in the current epoch,
/// and a new epoch with the whole content when the current one is full. Keys
/// that are past their keeping are deleted.
///
/// @param Current the newest record; empty before the first version.
/// @param Before the newest content; empty if there is none or it can't be
/// read, which begins a new epoch.
platform_transaction
acceptTransaction(const signed_bundle &Signed,
                  const std::optional<read_record> &Current,
                  const std::optional<bundle> &Previous);

} // namespace clementine

#endif
