#ifndef CLEMENTINE_ROUTING_RETRIES_RETRY_THROTTLE_H
#define CLEMENTINE_ROUTING_RETRIES_RETRY_THROTTLE_H

#include <compare>

namespace clementine {

/// How many retries a service gets.
struct retry_throttle_settings {
  /// The most retries for each first attempt.
  double Share = 0.1;
  /// The most retries that can be saved up.
  double Burst = 10.0;

  auto operator<=>(const retry_throttle_settings &) const = default;
};

/// Caps the retries to one service at a share of its first attempts.
///
/// Each first attempt earns a share of a retry, up to a burst. At any time,
/// retries <= Share * first attempts + Burst.
///
/// @see gRFC A6 (gRPC retry throttling) and Finagle's retry budgets.
class retry_throttle {
public:
  explicit retry_throttle(retry_throttle_settings Settings)
      : Settings(Settings), Tokens(Settings.Burst) {}

  /// Counts a first attempt.
  void onFirstAttempt();

  /// @returns whether a retry would be allowed.
  bool allows() const { return Tokens >= 1.0; }

  /// Takes a retry out.
  /// @returns false, changing nothing, if it is not allowed.
  bool spend();

private:
  const retry_throttle_settings Settings;
  double Tokens;
};

} // namespace clementine

#endif
