#ifndef CLEMENTINE_PLATFORM_MEMORY_KEYSPACE_H
#define CLEMENTINE_PLATFORM_MEMORY_KEYSPACE_H

#include "clementine_core/time/clock.h"
#include "clementine_platform/store/platform_types.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace clementine {

/// Keys with revisions, transactions and leases, without I/O or threads.
///
/// Follows the data model of etcd v3. Callers pass the current
/// time; an expired lease is removed by the next renewLease() or
/// expireLeases().
class keyspace {
public:
  /// @param HistoryLimit the maximum number of events kept for watches;
  /// earlier ones are compacted.
  explicit keyspace(std::size_t HistoryLimit);

  /// @returns the entry of @p Key, if any.
  std::optional<platform_entry> get(const std::string &Key) const;

  /// @returns the entries whose keys begin with @p Prefix.
  platform_range list(const std::string &Prefix) const;

  /// Evaluates a transaction and applies it if all its compares hold.
  /// @returns nothing if a put refers to an unknown lease or a key is changed
  /// twice.
  std::optional<platform_commit>
  commit(const platform_transaction &Transaction);

  /// Grants a lease that expires at @p Now plus @p TimeToLive.
  platform_lease grantLease(std::chrono::seconds TimeToLive, instant Now);

  /// Renews a lease.
  /// @returns nothing if the lease is unknown or has expired.
  std::optional<platform_lease> renewLease(lease_id Lease, instant Now);

  /// Revokes a lease and removes its keys.
  /// @returns whether the lease existed.
  bool revokeLease(lease_id Lease);

  /// Revokes the leases whose time to live has elapsed at @p Now.
  void expireLeases(instant Now);

  /// Revokes every lease immediately.
  void expireAllLeases();

  /// Renews every lease, as a store does that was restored from a copy: it does
  /// not know which ones were renewed since.
  void renewAllLeases(instant Now);

  /// @returns the events under @p Prefix from @p FromRevision on, or nothing
  /// if some of them have been compacted.
  std::optional<platform_watch_batch>
  eventsSince(const std::string &Prefix, platform_revision FromRevision) const;

  /// @returns the revision of the last change.
  platform_revision revision() const { return Revision; }

  /// @returns the oldest revision that a watch can start from.
  platform_revision oldestRevision() const { return Compacted + 1; }

private:
  struct lease_state {
    std::chrono::seconds TimeToLive{0};
    instant End;
    std::set<std::string> Keys;
  };

  bool isValid(const platform_transaction &Transaction) const;
  bool holds(const platform_compare &Compare) const;
  void put(const platform_put &Put);
  bool remove(const std::string &Key);
  void detachFromLease(const platform_entry &Entry);
  void record(platform_event Event);

  std::size_t HistoryLimit;
  std::map<std::string, platform_entry> Entries;
  std::map<lease_id, lease_state> Leases;
  std::deque<platform_event> History;
  platform_revision Revision = 1;
  platform_revision Compacted = 0;
  lease_id NextLease = 1;
};

} // namespace clementine

#endif
