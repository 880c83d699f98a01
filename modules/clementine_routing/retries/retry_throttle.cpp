#include "clementine_routing/retries/retry_throttle.h"

#include <algorithm>

namespace clementine {

void retry_throttle::onFirstAttempt() {
  Saved = std::min(Settings.Burst, Saved + Settings.Share);
}

bool retry_throttle::spend() {
  if (!allows())
    return false;
  Saved -= 1.0;
  return true;
}

} // namespace clementine
