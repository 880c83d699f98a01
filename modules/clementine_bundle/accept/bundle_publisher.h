#ifndef CLEMENTINE_BUNDLE_ACCEPT_BUNDLE_PUBLISHER_H
#define CLEMENTINE_BUNDLE_ACCEPT_BUNDLE_PUBLISHER_H

#include "clementine_bundle/accept/bundle_reader.h"
#include "clementine_platform/store/platform_store.h"

#include <functional>
#include <optional>

namespace clementine {

/// A bundle that the platform holds as accepted.
struct published_bundle {
  bundle_head Head;
  /// The write had taken effect before this call, which only found it.
  bool AlreadyAccepted = false;
  /// The newest version, higher than Head's if others were accepted on top.
  std::uint64_t NewestVersion = NoVersion;

  bool operator==(const published_bundle &) const = default;
};

/// Why a bundle was not accepted.
struct publish_error {
  enum class fault : std::uint8_t {
    /// Another bundle is accepted under this version; see Winner.
    Conflict,
    /// Signed for a later version than the next; see NewestVersion.
    VersionNotNext,
    UnknownOwner,
    BadSignature,
    /// The content is not the one that the head signs.
    DigestMismatch,
    /// What the platform holds can't be read; see ReadFault.
    DamagedStore,
    /// The platform failed before the write: certainly not accepted.
    PlatformFailed,
    /// The platform failed after the write was sent, and could not be asked:
    /// perhaps accepted. The same call again tells, and is safe.
    OutcomeUnknown,
  };

  fault Fault = fault::PlatformFailed;
  std::optional<bundle_head> Winner;
  std::uint64_t NewestVersion = NoVersion;
  std::optional<platform_error> Cause;

  bool operator==(const publish_error &) const = default;

  /// @returns a short sentence for people.
  std::string text() const;
};

/// How often a publisher tries, and how it waits.
struct publish_retry_policy {
  /// The most attempts of each kind of call.
  unsigned MaxAttempts = 5;
  /// Called before each further attempt with its number, from 1.
  std::function<void(unsigned Attempt)> Backoff;
};

/// Has a signed bundle accepted by the platform, at most once, whatever becomes
/// of the answers.
///
/// The head is changed by compare-and-swap on its revision, in the one
/// transaction that also writes contents and history. Of two operators who race
/// one wins, and the other learns the winner. A write whose answer was lost is
/// found by its write id in the history of its version.
class bundle_publisher {
public:
  /// @param Store has to outlive the publisher.
  /// @param Owners whose signatures count; the nodes' list.
  bundle_publisher(platform_store &Store, trusted_owners Owners,
                   publish_retry_policy RetryPolicy);

  bundle_publisher(const bundle_publisher &) = delete;
  bundle_publisher &operator=(const bundle_publisher &) = delete;

  /// Publishes @p Signed, or finds that it was published before.
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
