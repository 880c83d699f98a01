#ifndef CLEMENTINE_PLATFORM_STORE_PLATFORM_ERROR_H
#define CLEMENTINE_PLATFORM_STORE_PLATFORM_ERROR_H

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace clementine {

/// Why a call to the platform returned no usable answer.
enum class platform_cause : std::uint8_t {
  /// No connection could be made.
  Unreachable,
  /// The platform rejected the call.
  Refused,
  /// The lease is unknown to the platform: it expired or was revoked.
  LeaseNotFound,
  /// The requested revision is no longer stored.
  Compacted,
  /// The connection closed before the complete answer was received.
  Interrupted,
  /// The timeout of the call expired.
  TimedOut,
  /// The platform reported an internal error (HTTP 5xx) or HTTP 408.
  Faulty,
  /// The answer does not conform to the interface.
  MalformedAnswer,
  /// The answer exceeds the size limit.
  AnswerTooLarge,
  /// The request exceeds the size limit; it was not sent.
  RequestTooLarge,
};

/// Whether a failed call may have changed the stored data.
enum class platform_effect : std::uint8_t {
  /// Nothing was changed: the call may be retried without a check.
  NotApplied,
  /// The change may have been applied: read the data before retrying.
  Unknown,
};

/// A failed call to the platform.
struct platform_error {
  platform_cause Cause = platform_cause::Unreachable;
  platform_effect Effect = platform_effect::NotApplied;
  /// The HTTP status, or 0 if none was received.
  long HttpStatus = 0;
  /// The error text of libcurl or the platform, for logs; bounded in length.
  std::string Detail;

  auto operator<=>(const platform_error &) const = default;

  /// @returns a one-line description for logs.
  std::string text() const;
};

/// @returns the lower-case name of @p Cause, such as `timed-out`.
std::string_view platformCauseName(platform_cause Cause);

} // namespace clementine

#endif
