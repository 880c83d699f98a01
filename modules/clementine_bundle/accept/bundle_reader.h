#ifndef CLEMENTINE_BUNDLE_ACCEPT_BUNDLE_READER_H
#define CLEMENTINE_BUNDLE_ACCEPT_BUNDLE_READER_H

#include "clementine_bundle/accept/accepted_record.h"
#include "clementine_bundle/spread/signed_bundle.h"
#include "clementine_platform/store/platform_store.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace clementine {

/// Why the accepted bundle could not be read.
struct bundle_read_error {
  enum class fault : std::uint8_t {
    /// The platform call failed; see Cause.
    PlatformFailed,
    /// The value of the head, or of a head in the history, cannot be decoded.
    DamagedHead,
    /// The contents do not give the head's digest, or are no longer kept.
    DamagedContent,
    /// The head is not signed by a trusted owner.
    NotTrusted,
    /// The version asked for was never accepted, or is no longer kept.
    NoSuchVersion,
  };

  fault Fault = fault::PlatformFailed;
  std::optional<platform_error> Cause;

  bool operator==(const bundle_read_error &) const = default;

  /// @returns a human-readable description.
  std::string text() const;
};

/// The record under the head's key, and its revision for compare-and-swap.
struct read_record {
  accepted_record Record;
  platform_revision ModRevision = 0;

  bool operator==(const read_record &) const = default;
};

/// Decodes the entry under bundle_layout::headKey().
/// @returns empty if it is damaged.
std::optional<read_record> readRecord(const platform_entry &Entry);

/// @returns the compare that succeeds while the head is @p Current, which is
/// empty before the first version.
platform_compare compareHeadWith(const std::optional<read_record> &Current);

/// Reads accepted bundles from the platform. Blocks as its store does; usable
/// from any thread.
///
/// Contents are checked against the head's digest, and signatures are checked
/// where trusted owners are given.
class bundle_reader {
public:
  /// @param Store has to outlive the reader.
  explicit bundle_reader(platform_store &Store);

  /// @returns the newest record; empty if no bundle was ever accepted.
  result<std::optional<read_record>, bundle_read_error> record();

  /// Reads the update from @p HaveVersion, or a full one, to the newest
  /// version. Needs one platform call if there is nothing newer and two
  /// otherwise.
  /// @returns the update to pass to bundle_replica::applyUpdate(), which checks
  /// it; empty if there is nothing newer.
  result<std::optional<bundle_update>, bundle_read_error>
  updateAfter(std::uint64_t HaveVersion);

  /// Reads the newest accepted bundle.
  /// @param Owners the owners whose signatures are accepted.
  /// @returns empty if no bundle was ever accepted.
  result<std::optional<signed_bundle>, bundle_read_error>
  newest(const trusted_owners &Owners);

  /// Reads the content of @p Version, or of the newest version in @p Record if
  /// none is given. The digest is checked, the signature is not.
  result<signed_bundle, bundle_read_error>
  content(const accepted_record &Record,
          std::optional<std::uint64_t> Version = std::nullopt);

  /// @returns the head of one version; empty if there is none.
  result<std::optional<bundle_head>, bundle_read_error>
  headOf(std::uint64_t Version);

  /// @returns all kept heads in the order of their versions.
  result<std::vector<bundle_head>, bundle_read_error> history();

private:
  platform_store &Store;
};

} // namespace clementine

#endif
