#ifndef CLEMENTINE_PROXY_NODE_STOP_TIMING_H
#define CLEMENTINE_PROXY_NODE_STOP_TIMING_H

#include "clementine_core/clementine_core.h"

#include <algorithm>
#include <chrono>

namespace clementine::proxy {

/// When the phases of a graceful stop end, measured from its start. A short
/// grace shortens all of them in proportion.
struct stop_timing {
  /// @param Grace after which the process is killed.
  explicit stop_timing(duration Grace)
      : ConnectionsEnd(
            std::min<duration>(ReadinessPropagationTime, Grace * 13 / 30)),
        RequestsEnd(std::min<duration>(RequestAcceptanceTime, Grace * 29 / 60)),
        StoreEnd(Grace - std::min<duration>(StoreMargin, Grace * 11 / 30)),
        WorkEnd(Grace - std::min<duration>(WorkMargin, Grace * 4 / 30)) {}

  /// How long callers take to stop using a node that is not ready: two failed
  /// readiness probes and a margin.
  static constexpr std::chrono::milliseconds ReadinessPropagationTime{2600};
  /// Long enough for a request that was sent when new connections were still
  /// accepted.
  static constexpr std::chrono::milliseconds RequestAcceptanceTime{2900};
  /// A call to the store ends up to a second after its interruption.
  static constexpr std::chrono::milliseconds StoreMargin{2200};
  /// The time to write the last responses and to close sockets and tasks.
  static constexpr std::chrono::milliseconds WorkMargin{800};

  /// New connections are accepted until then.
  duration ConnectionsEnd;
  /// Requests of callers and orders of other nodes are accepted until then,
  /// later ones are refused: what was accepted has the rest of the grace to
  /// finish.
  duration RequestsEnd;
  /// Calls to the store are interrupted then.
  duration StoreEnd;
  /// Requests that are still at work are answered then, orders reported.
  duration WorkEnd;

  bool operator==(const stop_timing &) const = default;
};

} // namespace clementine::proxy

#endif
