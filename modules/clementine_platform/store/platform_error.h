#ifndef CLEMENTINE_PLATFORM_STORE_PLATFORM_ERROR_H
#define CLEMENTINE_PLATFORM_STORE_PLATFORM_ERROR_H

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace clementine {

/// Why a call to the platform gave no usable answer.
enum class platform_cause : std::uint8_t {
  /// No connection could be made.
  Unreachable,
  /// The platform answered that it does not carry out this call.
  Refused,
  /// The lease is unknown to the platform: it lapsed or was revoked.
  LeaseNotFound,
  /// The revision asked for is no longer kept.
  Compacted,
  /// The connection ended before the whole answer had come.
  Interrupted,
  /// The time allowed ran out.
  TimedOut,
  /// The platform reported a fault of its own (HTTP 5xx).
  Faulty,
  /// The answer is not what the interface defines.
  MalformedAnswer,
  /// The answer is larger than the cap.
  AnswerTooLarge,
  /// The call itself is larger than the cap; it was not sent.
  RequestTooLarge,
};

/// What a failed call may have done to the stored data.
enum class platform_effect : std::uint8_t {
  /// Nothing was changed: the call may be made again without a check.
  NotApplied,
  /// The change may or may not stand: read back before deciding.
  Unknown,
};

/// A failed call to the platform.
struct platform_error {
  platform_cause Cause = platform_cause::Unreachable;
  platform_effect Effect = platform_effect::NotApplied;
  /// The HTTP status, or 0 if none came.
  long HttpStatus = 0;
  /// What the library or the platform said, for logs; bounded in length.
  std::string Detail;

  auto operator<=>(const platform_error &) const = default;

  /// @returns a one-line form for logs.
  std::string text() const;
};

/// @returns the lower-case name of @p Cause, such as `timed-out`.
std::string_view platformCauseName(platform_cause Cause);

} // namespace clementine

#endif
