#ifndef CLEMENTINE_ROUTING_CALLERS_TOKEN_BUCKET_H
#define CLEMENTINE_ROUTING_CALLERS_TOKEN_BUCKET_H

#include "clementine_core/time/clock.h"

namespace clementine {

/// Tokens that come at a rate and are saved up to a burst. A take may leave the
/// bucket in debt, so that a single take larger than the burst is possible and
/// paid for afterwards.
class token_bucket {
public:
  /// Lets the time pass at a rate. The first call fills the bucket.
  /// @param RatePerSecond tokens for each second since the last call.
  /// @param Burst the most tokens that are saved.
  void refill(double RatePerSecond, double Burst, instant Now);

  /// @returns whether @p Wanted, or a full burst if that is less, is there.
  bool has(double Wanted, double Burst) const;

  /// Takes tokens out.
  void take(double Count) { Tokens -= Count; }

  /// @returns how long it takes until has() turns true.
  duration waitFor(double Wanted, double Burst, double RatePerSecond) const;

private:
  double Tokens = 0;
  instant FilledAt;
  bool Filled = false;
};

} // namespace clementine

#endif
