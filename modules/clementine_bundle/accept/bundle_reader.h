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
    /// The platform gave no answer; see Cause.
    PlatformFailed,
    /// The head's value is no record.
    DamagedHead,
    /// The contents do not lead to the head's digest, or are no longer kept.
    DamagedContent,
    /// The head is not signed by a trusted owner.
    NotTrusted,
    /// The version asked for was never accepted, or is no longer kept.
    NoSuchVersion,
  };

  fault Fault = fault::PlatformFailed;
  std::optional<platform_error> Cause;

  bool operator==(const bundle_read_error &) const = default;

  /// @returns a short sentence for people.
  std::string text() const;
};

/// The head's record and the revision for the next compare.
struct read_record {
  accepted_record Record;
  platform_revision ModRevision = 0;

  bool operator==(const read_record &) const = default;
};

/// Decodes the entry under bundle_layout::headKey().
/// @returns empty when it is damaged.
std::optional<read_record> readRecord(const platform_entry &Entry);

/// @returns the compare that holds while the head is @p Current, which is empty
/// before the first version.
platform_compare compareHeadWith(const std::optional<read_record> &Current);

/// Reads what was accepted. Blocks as its store does; for any thread.
///
/// Contents are checked against the head's digest, and against signatures where
/// trusted owners are given.
class bundle_reader {
public:
  /// @param Store has to outlive the reader.
  explicit bundle_reader(platform_store &Store);

  /// @returns the newest head; empty when nothing was ever accepted.
  result<std::optional<read_record>, bundle_read_error> record();

  /// Reads what brings a replica that holds @p HaveVersion to the newest
  /// version. Costs one call when there is nothing newer and two otherwise.
  /// @returns the update to hand to bundle_replica::consider(), which checks
  /// it; empty when there is nothing newer.
  result<std::optional<bundle_update>, bundle_read_error>
  updateAfter(std::uint64_t HaveVersion);

  /// Reads the newest accepted bundle.
  /// @param Owners whose signatures count.
  /// @returns empty when nothing was ever accepted.
  result<std::optional<signed_bundle>, bundle_read_error>
  newest(const trusted_owners &Owners);

  /// Reads the content of the version that @p Record names, unless another is
  /// asked for. The signature is not checked, but the digest is.
  result<signed_bundle, bundle_read_error>
  content(const accepted_record &Record,
          std::optional<std::uint64_t> Version = std::nullopt);

  /// @returns the head of one version; empty when there is none.
  result<std::optional<bundle_head>, bundle_read_error>
  headOf(std::uint64_t Version);

  /// @returns all kept heads in the order of their versions.
  result<std::vector<bundle_head>, bundle_read_error> history();

private:
  platform_store &Store;
};

} // namespace clementine

#endif
