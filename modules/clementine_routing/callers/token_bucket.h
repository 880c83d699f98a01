#ifndef CLEMENTINE_ROUTING_CALLERS_TOKEN_BUCKET_H
#define CLEMENTINE_ROUTING_CALLERS_TOKEN_BUCKET_H

#include "clementine_core/time/clock.h"

namespace clementine {

/// A token bucket: tokens accumulate at a rate, up to a burst. A single take
/// may exceed the burst; it leaves the bucket with a negative balance, which
/// later tokens pay off.
class token_bucket {
public:
  /// Adds the tokens for the time since the last call. The first call fills the
  /// bucket.
  /// @param RatePerSecond tokens for each second since the last call.
  /// @param Burst the maximum number of tokens.
  void refill(double RatePerSecond, double Burst, instant Now);

  /// @returns whether @p Wanted tokens are available, or a full burst if that
  /// is less.
  bool has(double Wanted, double Burst) const;

  /// Removes tokens; the balance may become negative.
  void take(double Count) { Tokens -= Count; }

  /// @returns the time until has() becomes true, at most 60 s.
  duration waitFor(double Wanted, double Burst, double RatePerSecond) const;

private:
  double Tokens = 0;
  instant FilledAt;
  bool Filled = false;
};

} // namespace clementine

#endif
