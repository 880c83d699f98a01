#ifndef CLEMENTINE_PROXY_NODE_BATCH_BACKOFF_H
#define CLEMENTINE_PROXY_NODE_BATCH_BACKOFF_H

#include "clementine_core/clementine_core.h"

#include <algorithm>

namespace clementine::proxy {

/// The pauses between the batches of a stream of changes.
struct batch_backoff_settings {
  /// The pause after a change that came alone; 0 for no pauses at all.
  duration FirstPause{0};
  /// The pause doubles with each further batch up to this.
  duration LongestPause{0};

  bool operator==(const batch_backoff_settings &) const = default;
};

/// Says how long to wait after a batch of changes before asking for the next
/// one: short after a single change, longer while they go on, so that a storm
/// of changes costs few calls.
class batch_backoff {
public:
  explicit batch_backoff(batch_backoff_settings Settings)
      : Settings(Settings), Pause(Settings.FirstPause) {}

  /// Takes a batch.
  /// @returns the pause after it.
  duration next(instant Now) {
    const bool GoesOn = HasBatch && Now - PausedUntil < Settings.LongestPause;
    Pause = GoesOn ? std::min(Pause * 2, Settings.LongestPause)
                   : Settings.FirstPause;
    HasBatch = true;
    PausedUntil = Now + Pause;
    return Pause;
  }

private:
  const batch_backoff_settings Settings;
  duration Pause;
  bool HasBatch = false;
  instant PausedUntil;
};

} // namespace clementine::proxy

#endif
