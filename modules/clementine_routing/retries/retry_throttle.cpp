#include "clementine_routing/retries/retry_throttle.h"

#include <algorithm>

namespace clementine {

void retry_throttle::onFirstAttempt() {
  Tokens = std::min(Settings.Burst, Tokens + Settings.Share);
}

bool retry_throttle::spend() {
  if (!allows())
    return false;
  Tokens -= 1.0;
  return true;
}

} // namespace clementine
