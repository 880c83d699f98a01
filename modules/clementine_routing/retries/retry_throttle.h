#ifndef CLEMENTINE_ROUTING_RETRIES_RETRY_THROTTLE_H
#define CLEMENTINE_ROUTING_RETRIES_RETRY_THROTTLE_H

#include <compare>

namespace clementine {

/// Settings of a retry_throttle.
struct retry_throttle_settings {
  /// The number of retries earned by each first attempt.
  double Share = 0.1;
  /// The maximum number of retries that can accumulate.
  double Burst = 10.0;

  auto operator<=>(const retry_throttle_settings &) const = default;
};

/// Limits the retries to one service to a share of its first attempts.
///
/// Each first attempt adds a share of a retry, up to a burst. At any time,
/// retries <= Share * first attempts + Burst.
///
/// @see gRFC A6 (gRPC retry throttling) and Finagle's retry budgets.
class retry_throttle {
public:
  explicit retry_throttle(retry_throttle_settings Settings)
      : Settings(Settings), Tokens(Settings.Burst) {}

  void onFirstAttempt();

  /// @returns whether a retry would be allowed.
  bool allows() const { return Tokens >= 1.0; }

  /// Consumes one retry.
  /// @returns false, changing nothing, if it is not allowed.
  bool spend();

private:
  const retry_throttle_settings Settings;
  double Tokens;
};

} // namespace clementine

#endif
