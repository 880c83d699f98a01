#ifndef CLEMENTINE_BUNDLE_ACCEPT_BUNDLE_PUBLISHER_H
#define CLEMENTINE_BUNDLE_ACCEPT_BUNDLE_PUBLISHER_H

#include "clementine_bundle/accept/bundle_reader.h"
#include "clementine_platform/store/platform_store.h"

#include <functional>
#include <optional>

namespace clementine {

/// A bundle that has been accepted in the platform.
struct published_bundle {
  bundle_head Head;
  /// Whether the bundle was found to be accepted already, by an earlier call or
  /// by an attempt whose answer was lost.
  bool AlreadyAccepted = false;
  /// The newest version; higher than Head's if later ones have been accepted.
  std::uint64_t NewestVersion = NoVersion;

  bool operator==(const published_bundle &) const = default;
};

/// Why a bundle was not accepted.
struct publish_error {
  enum class fault : std::uint8_t {
    /// Another bundle was accepted under this version; see Winner.
    Conflict,
    /// Signed for a version later than the next one; see NewestVersion.
    VersionNotNext,
    UnknownOwner,
    BadSignature,
    /// The content does not have the digest in the signed head.
    DigestMismatch,
    /// The bundle data in the platform is damaged.
    DamagedStore,
    /// The platform failed before the write; the bundle was not accepted.
    PlatformFailed,
    /// The platform failed after the write was sent, and the outcome could not
    /// be read: the bundle may have been accepted. The same call can safely be
    /// repeated to find out.
    OutcomeUnknown,
  };

  fault Fault = fault::PlatformFailed;
  std::optional<bundle_head> Winner;
  std::uint64_t NewestVersion = NoVersion;
  std::optional<platform_error> Cause;

  bool operator==(const publish_error &) const = default;

  /// @returns a human-readable description.
  std::string text() const;
};

/// How often a publisher retries, and how it waits between attempts.
struct publish_retry_policy {
  /// The maximum number of attempts of each kind of call.
  unsigned MaxAttempts = 5;
  /// Called before each further attempt with its number, from 1.
  std::function<void(unsigned Attempt)> Backoff;
};

/// Publishes a signed bundle to the platform at most once, even if answers are
/// lost.
///
/// The head is changed by compare-and-swap on its revision, in the same
/// transaction that writes the contents and the history. If two operators
/// publish the same version concurrently, one succeeds, and the other gets the
/// accepted head in the error. A write whose answer was lost is recognised by
/// its write id in the history entry of its version.
class bundle_publisher {
public:
  /// @param Store has to outlive the publisher.
  /// @param Owners the owners whose signatures are accepted; the nodes' list.
  bundle_publisher(platform_store &Store, trusted_owners Owners,
                   publish_retry_policy RetryPolicy);

  bundle_publisher(const bundle_publisher &) = delete;
  bundle_publisher &operator=(const bundle_publisher &) = delete;

  /// Publishes @p Signed, or detects that it has already been accepted.
  result<published_bundle, publish_error> publish(const signed_bundle &Signed);

private:
  using publish_result = result<published_bundle, publish_error>;
  using record_result = result<std::optional<read_record>, publish_error>;

  std::optional<publish_error::fault>
  validate(const signed_bundle &Signed) const;
  publish_result publishWithRecord(const signed_bundle &Signed,
                                   const std::optional<read_record> &Current);
  publish_result commitNext(const signed_bundle &Signed,
                            const std::optional<read_record> &Current);
  publish_result resolveFromHistory(const signed_bundle &Signed,
                                    std::uint64_t NewestVersion,
                                    bool MayHaveWritten);
  result<std::optional<bundle>, publish_error>
  contentOf(const std::optional<read_record> &Current);
  record_result confirmRecord(const std::optional<read_record> &Current);
  template <class Value>
  result<Value, bundle_read_error>
  withRetries(const std::function<result<Value, bundle_read_error>()> &Call);
  void backOffBefore(unsigned Attempt) const;

  platform_store &Store;
  bundle_reader Reader;
  const trusted_owners Owners;
  const publish_retry_policy RetryPolicy;
};

} // namespace clementine

#endif
