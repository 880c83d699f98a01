#include "clementine_proxy/peers/transit_delay.h"

#include <algorithm>

namespace clementine::proxy {

duration transit_delay::measure(std::chrono::microseconds SentAt, instant Now) {
  const duration Difference = Now.time_since_epoch() - SentAt;
  if (Fastest == None || Now - WindowStart > Window) {
    FastestOfLastWindow = Fastest;
    Fastest = Difference;
    WindowStart = Now;
  }
  Fastest = std::min(Fastest, Difference);
  return Difference - std::min(Fastest, FastestOfLastWindow);
}

} // namespace clementine::proxy
