#ifndef CLEMENTINE_PLATFORM_STORE_PLATFORM_STORE_H
#define CLEMENTINE_PLATFORM_STORE_PLATFORM_STORE_H

#include "clementine_core/errors/result.h"
#include "clementine_platform/store/platform_error.h"
#include "clementine_platform/store/platform_types.h"

#include <atomic>
#include <functional>
#include <optional>
#include <string>

namespace clementine {

/// The platform's key-value service.
///
/// Each call blocks until the platform has answered or the timeout expires, and
/// may be made from any thread. The error of a failed change says whether the
/// change is known not to have been applied.
///
/// @see platform_error::Effect
class platform_store {
public:
  /// Receives changes on the thread that called watch().
  using watch_listener = std::function<void(const platform_watch_batch &)>;

  virtual ~platform_store() = default;

  /// Reads one key.
  /// @returns the entry, or an empty optional if the key does not exist.
  virtual result<std::optional<platform_entry>, platform_error>
  get(const std::string &Key) = 0;

  /// Reads all keys that begin with @p Prefix, which must not be empty.
  /// @returns the keys; platform_cause::Compacted if the store was restored
  /// from a copy meanwhile.
  virtual result<platform_range, platform_error>
  list(const std::string &Prefix) = 0;

  /// Applies the changes of @p Transaction if all its compares hold.
  /// @returns the outcome; a failed compare is an outcome, not an error.
  virtual result<platform_commit, platform_error>
  commit(const platform_transaction &Transaction) = 0;

  /// Grants a new lease.
  /// @param TimeToLive at least one second.
  virtual result<platform_lease, platform_error>
  grantLease(std::chrono::seconds TimeToLive) = 0;

  /// Renews a lease.
  /// @returns the renewed lease, or platform_cause::LeaseNotFound once it has
  /// expired.
  virtual result<platform_lease, platform_error> renewLease(lease_id Lease) = 0;

  /// Revokes a lease immediately and removes its keys.
  virtual result<void, platform_error> revokeLease(lease_id Lease) = 0;

  /// Passes every change under @p Prefix from @p FromRevision on to
  /// @p Listener, in order, until @p Stopping becomes true or the watch fails.
  ///
  /// A caller that resumes after an error starts one above the last revision
  /// that it received. A store that was restored from a copy may have reached
  /// @p FromRevision again: the listener has to compare the era of each batch
  /// with that of the listing.
  ///
  /// @param FromRevision the first revision to report; 0 for the next one.
  /// @returns success after a stop; platform_cause::Compacted if changes are
  /// permanently lost, so that the caller has to list again; or the failure.
  virtual result<void, platform_error>
  watch(const std::string &Prefix, platform_revision FromRevision,
        const watch_listener &Listener, const std::atomic<bool> &Stopping) = 0;

  /// Makes the calls in progress fail soon and later ones at once, so that a
  /// program can exit while the platform does not answer. The default does
  /// nothing.
  virtual void interrupt() {}
};

} // namespace clementine

#endif
