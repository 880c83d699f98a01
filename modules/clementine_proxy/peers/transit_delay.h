#ifndef CLEMENTINE_PROXY_PEERS_TRANSIT_DELAY_H
#define CLEMENTINE_PROXY_PEERS_TRANSIT_DELAY_H

#include "clementine_core/clementine_core.h"

#include <chrono>
#include <cstdint>

namespace clementine::proxy {

/// Estimates how much longer a message took to arrive than the fastest recent
/// one of the same link, from the times at which it was sent and received.
///
/// The two clocks need not agree, only run at the same speed: the difference of
/// the fastest message stands for their offset. What remains is time spent in
/// buffers, in a cut or slow network, or because the receiving process was
/// paused. The one-way delay of a calm network is not included.
class transit_delay {
public:
  /// How long a fastest message counts; bounds the effect of clock drift.
  static constexpr std::chrono::seconds Window{30};

  /// Records a message.
  /// @param SentAt by the sender's clock, which must not stop while the sender
  /// is suspended.
  /// @param Now by the receiver's clock, likewise.
  /// @returns how long the message was delayed; never negative.
  duration measure(std::chrono::microseconds SentAt, instant Now);

private:
  static constexpr duration None = duration::max();

  instant WindowStart;
  duration Fastest = None;
  duration FastestOfLastWindow = None;
};

} // namespace clementine::proxy

#endif
