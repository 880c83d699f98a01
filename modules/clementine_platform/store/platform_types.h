#ifndef CLEMENTINE_PLATFORM_STORE_PLATFORM_TYPES_H
#define CLEMENTINE_PLATFORM_STORE_PLATFORM_TYPES_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace clementine {

/// Number of changes of the whole store; increases with each transaction that
/// changes a key.
using platform_revision = std::int64_t;

/// Identifies a lease; 0 means none.
using lease_id = std::int64_t;

/// Identifies the history that the revisions and leases of an answer belong to;
/// empty if the store does not say. It rises when the store has been restored
/// from an older copy: later keys and leases are lost, and their revisions and
/// ids are given out again.
using store_era = std::optional<std::uint64_t>;

/// @returns whether two answers are known to be of different histories.
inline bool isOtherHistory(store_era First, store_era Second) {
  return First && Second && *First != *Second;
}

/// A point in the changes of the store; a later history is greater.
struct store_position {
  store_era Era;
  platform_revision Revision = 0;

  bool operator==(const store_position &) const = default;

  bool operator<(const store_position &Other) const {
    return std::tie(Era, Revision) < std::tie(Other.Era, Other.Revision);
  }
};

/// A stored key with its value and history.
struct platform_entry {
  std::string Key;
  std::string Value;
  /// The revision at which the key was last created.
  platform_revision CreateRevision = 0;
  /// The revision of the last change.
  platform_revision ModRevision = 0;
  /// The number of changes since the key was created; 1 after the creation.
  std::int64_t Version = 0;
  /// The lease whose expiry removes the key, or 0.
  lease_id Lease = 0;

  bool operator==(const platform_entry &) const = default;
};

/// The entries found, in the order of their keys, and the store's revision at
/// the time of the read.
struct platform_range {
  platform_revision Revision = 0;
  std::vector<platform_entry> Entries;
  store_era Era;

  bool operator==(const platform_range &) const = default;
};

/// A condition on one key. A key that does not exist has 0 in every field.
struct platform_compare {
  enum class field : std::uint8_t { ModRevision, Version, CreateRevision };
  enum class relation : std::uint8_t { Equal, Greater, Less, NotEqual };

  std::string Key;
  field Field = field::ModRevision;
  relation Relation = relation::Equal;
  std::int64_t Number = 0;

  bool operator==(const platform_compare &) const = default;
};

/// Sets a key's value.
struct platform_put {
  std::string Key;
  std::string Value;
  /// The lease whose expiry removes the key, or 0.
  lease_id Lease = 0;

  bool operator==(const platform_put &) const = default;
};

/// Changes that are applied atomically if all compares hold, and not at all
/// otherwise.
///
/// A key may occur only once among puts and deletes.
struct platform_transaction {
  std::vector<platform_compare> Compares;
  std::vector<platform_put> Puts;
  std::vector<std::string> Deletes;
  /// Keys that are read atomically if a compare does not hold, so that the
  /// loser of a race gets the winner's value without a second call.
  std::vector<std::string> ReadsOnFailure;

  bool operator==(const platform_transaction &) const = default;
};

/// The outcome of a transaction.
struct platform_commit {
  /// Whether all compares held and the changes were applied.
  bool Succeeded = false;
  platform_revision Revision = 0;
  /// The entries read after a failed compare; missing keys are left out.
  std::vector<platform_entry> Entries;
  store_era Era;

  bool operator==(const platform_commit &) const = default;
};

/// A lease as the platform granted or renewed it.
struct platform_lease {
  lease_id Id = 0;
  /// The platform removes the lease's keys this long after the last renewal.
  std::chrono::seconds TimeToLive{0};
  store_era Era;

  bool operator==(const platform_lease &) const = default;
};

/// One change of one key.
struct platform_event {
  enum class kind : std::uint8_t { Put, Delete };

  kind Kind = kind::Put;
  /// After a delete only Key and ModRevision are set.
  platform_entry Entry;

  bool operator==(const platform_event &) const = default;
};

/// Changes of one or more revisions, in order. A batch without events only
/// reports that the watch is active and complete up to Revision.
struct platform_watch_batch {
  platform_revision Revision = 0;
  std::vector<platform_event> Events;
  store_era Era;

  bool operator==(const platform_watch_batch &) const = default;
};

} // namespace clementine

#endif
