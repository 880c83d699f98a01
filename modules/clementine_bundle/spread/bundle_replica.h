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
  /// The replica holds this version or a later one already.
  NotNewer,
  /// The replica holds the same version with another content. Only one of the
  /// two can be the accepted one, so operators have to hear of it.
  SameVersionOtherContent,
  UnknownOwner,
  BadSignature,
  /// The delta applies to a version that the replica doesn't hold. Ask again
  /// with the version held.
  WrongBase,
  /// The text that comes out is no bundle.
  BadContent,
  /// The text that comes out is not the signed one.
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
  /// This replica holds nothing itself.
  NoBundleHeld,
  /// The peer holds this version or a later one already.
  PeerUpToDate,
};

/// What one node holds of the bundle, and what it tells its peers. Free of
/// I/O; for one thread.
///
/// It adopts only a higher version whose signature is that of a trusted owner
/// and whose content has the signed digest, whoever sent it. So it never goes
/// back, and needs to trust no peer. A node that holds nothing refuses every
/// call as not run, since it could not tell which of them may be repeated.
class bundle_replica {
public:
  /// @param Owners whose signatures count.
  explicit bundle_replica(trusted_owners Owners);

  bundle_replica(const bundle_replica &) = delete;
  bundle_replica &operator=(const bundle_replica &) = delete;

  /// Looks at an update of any origin.
  /// @returns what is held now, or why nothing changed.
  result<std::shared_ptr<const signed_bundle>, update_refusal>
  applyUpdate(const bundle_update &Update);

  /// @returns what is held, to be shared with other threads; null for nothing.
  std::shared_ptr<const signed_bundle> held() const { return Held; }

  /// @returns what to tell peers.
  bundle_summary summary() const;

  /// Makes an update for a peer: the changes since its version if they are
  /// remembered and smaller than the whole, else the whole.
  result<bundle_update, answer_fault> answer(std::uint64_t HaveVersion) const;

  /// Replaces the trusted owners, for a change of keys without a stop. What is
  /// held stays.
  void setTrustedOwners(trusted_owners Owners);

private:
  /// The parts that one adopted update touched.
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
  /// Without gaps: each change begins at the version where the last ended.
  std::deque<change> Changes;
  std::size_t RecordedNames = 0;
};

} // namespace clementine

#endif
