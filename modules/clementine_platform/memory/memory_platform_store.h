#ifndef CLEMENTINE_PLATFORM_MEMORY_MEMORY_PLATFORM_STORE_H
#define CLEMENTINE_PLATFORM_MEMORY_MEMORY_PLATFORM_STORE_H

#include "clementine_platform/memory/keyspace.h"
#include "clementine_platform/store/platform_store.h"

#include <condition_variable>
#include <mutex>

namespace clementine {

/// A platform_store in memory, for tests and stand-ins. The data is lost when
/// the process ends.
class memory_platform_store : public platform_store {
public:
  /// @param Time the clock that leases expire by; has to outlive the store.
  explicit memory_platform_store(const clock &Time);

  memory_platform_store(const memory_platform_store &) = delete;
  memory_platform_store &operator=(const memory_platform_store &) = delete;

  result<std::optional<platform_entry>, platform_error>
  get(const std::string &Key) override;
  result<platform_range, platform_error>
  list(const std::string &Prefix) override;
  result<platform_commit, platform_error>
  commit(const platform_transaction &Transaction) override;
  result<platform_lease, platform_error>
  grantLease(std::chrono::seconds TimeToLive) override;
  result<platform_lease, platform_error> renewLease(lease_id Lease) override;
  result<void, platform_error> revokeLease(lease_id Lease) override;
  result<void, platform_error>
  watch(const std::string &Prefix, platform_revision FromRevision,
        const watch_listener &Listener,
        const std::atomic<bool> &Stopping) override;

  /// Revokes every lease immediately, as if all holders had been paused.
  void expireAllLeases();

  /// @returns a copy of all keys, leases and revisions.
  keyspace copy();

  /// Goes back to @p Copy: later keys, leases and revisions are lost. The
  /// leases of the copy are renewed.
  void restore(const keyspace &Copy);

  /// @returns the revision of the last change.
  platform_revision revision();

  /// Waits up to @p Timeout for a change at or after @p FromRevision.
  /// @returns the events under @p Prefix, possibly none; an empty optional if
  /// some of them have been compacted.
  std::optional<platform_watch_batch>
  awaitEvents(const std::string &Prefix, platform_revision FromRevision,
              duration Timeout);

private:
  const clock &Time;
  std::mutex Mutex;
  std::condition_variable Changed;
  keyspace Keys;
};

} // namespace clementine

#endif
