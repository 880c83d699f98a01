#ifndef CLEMENTINE_PROXY_NODE_BATCH_BACKOFF_H
#define CLEMENTINE_PROXY_NODE_BATCH_BACKOFF_H

#include "clementine_core/clementine_core.h"

#include <algorithm>

namespace clementine::proxy {

/// The delays between the batches of a stream of changes.
struct batch_backoff_settings {
  /// The delay after an isolated batch; 0 for no delays at all.
  duration InitialDelay{0};
  /// The delay doubles with each further batch up to this limit.
  duration MaxDelay{0};

  bool operator==(const batch_backoff_settings &) const = default;
};

/// Computes how long to wait after a batch of changes before requesting the
/// next one: briefly after an isolated batch, longer while batches keep
/// arriving, so that a burst of changes is read with few calls.
class batch_backoff {
public:
  explicit batch_backoff(batch_backoff_settings Settings)
      : Settings(Settings), Delay(Settings.InitialDelay) {}

  /// Registers a batch that arrived at @p Now.
  /// @returns the delay before the next batch is requested.
  duration next(instant Now) {
    const bool IsContinuing = HasBatch && Now - DelayEnd < Settings.MaxDelay;
    Delay = IsContinuing ? std::min(Delay * 2, Settings.MaxDelay)
                         : Settings.InitialDelay;
    HasBatch = true;
    DelayEnd = Now + Delay;
    return Delay;
  }

private:
  const batch_backoff_settings Settings;
  duration Delay;
  bool HasBatch = false;
  instant DelayEnd;
};

} // namespace clementine::proxy

#endif
