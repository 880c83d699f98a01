#ifndef CLEMENTINE_BUNDLE_SPREAD_BUNDLE_REPLICA_H
#define CLEMENTINE_BUNDLE_SPREAD_BUNDLE_REPLICA_H

#include "clementine_bundle/spread/bundle_update.h"
#include "clementine_bundle/spread/signed_bundle.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>

namespace clementine {

/// Why a replica did not adopt an update.
enum class update_fault : std::uint8_t {
  /// The replica already holds this version or a later one.
  NotNewer,
  /// The replica holds the same version with different content. Only one of
  /// the two can be the accepted one, so operators have to be notified.
  SameVersionOtherContent,
  UnknownOwner,
  BadSignature,
  /// The delta is based on a version that the replica does not hold. Request
  /// the update again with the version held.
  WrongBase,
  /// The resulting text is not a valid bundle.
  BadContent,
  /// The resulting content does not have the signed digest.
  DigestMismatch,
};

/// A refused update.
struct update_refusal {
  update_fault Fault = update_fault::NotNewer;
  std::uint64_t OfferedVersion = NoVersion;
  std::uint64_t HeldVersion = NoVersion;

  auto operator<=>(const update_refusal &) const = default;
};

/// @returns a short phrase for @p Fault, such as `bad signature`.
std::string_view updateFaultName(update_fault Fault);

/// Why a replica has no update for a peer.
enum class answer_fault : std::uint8_t {
  /// This replica does not hold a bundle yet.
  NoBundleHeld,
  /// The peer already holds this version or a later one.
  PeerUpToDate,
};

/// One node's replica of the bundle, and the updates that it sends to peers.
/// Does no I/O; not thread-safe.
///
/// It adopts only a higher version that is signed by a trusted owner and whose
/// content has the signed digest, regardless of the sender. Its version
/// therefore never decreases, and peers need not be trusted. A node without a
/// bundle refuses every call as not run, since it does not know which
/// operations are idempotent.
class bundle_replica {
public:
  /// @param Owners the owners whose signatures are accepted.
  explicit bundle_replica(trusted_owners Owners);

  bundle_replica(const bundle_replica &) = delete;
  bundle_replica &operator=(const bundle_replica &) = delete;

  /// Validates and applies an update from any sender.
  /// @returns the bundle now held, or why the update was refused.
  result<std::shared_ptr<const signed_bundle>, update_refusal>
  applyUpdate(const bundle_update &Update);

  /// @returns the bundle held, which other threads may share; null if there is
  /// none.
  std::shared_ptr<const signed_bundle> held() const { return Held; }

  /// @returns the version and digest held, for gossip.
  bundle_summary summary() const;

  /// Builds an update for a peer: a delta from its version if the changes since
  /// then are recorded and smaller than the full bundle, else the full bundle.
  result<bundle_update, answer_fault> answer(std::uint64_t HaveVersion) const;

  /// Replaces the trusted owners, so that keys can be changed without a
  /// restart. The bundle held is kept.
  void setTrustedOwners(trusted_owners Owners);

private:
  /// The parts that one applied update changed.
  struct change {
    std::uint64_t FromVersion = NoVersion;
    std::uint64_t ToVersion = NoVersion;
    std::vector<part_name> Names;
  };

  std::optional<update_fault> validateHead(const bundle_update &Update) const;
  void recordChange(const signed_bundle &Previous);
  std::optional<bundle_delta> changesSince(std::uint64_t HaveVersion) const;

  trusted_owners Owners;
  std::shared_ptr<const signed_bundle> Held;
  /// Contiguous: each change begins at the version where the previous one
  /// ended.
  std::deque<change> Changes;
  std::size_t RecordedNames = 0;
};

} // namespace clementine

#endif
