#include "clementine_proxy/node/decision_timer.h"

#include "clementine_proxy/model/abandon_on_fault.h"
#include "clementine_proxy/model/boot_clock.h"

#include <algorithm>

namespace clementine::proxy {

void decision_timer::schedule() {
  std::optional<instant> Next = Forwarder.nextWake();
  if (const auto GateWake = Gate.nextWake();
      GateWake && (!Next || *GateWake < *Next))
    Next = GateWake;
  if (!Next || (WakeAt && *WakeAt <= *Next))
    return;
  WakeAt = Next;
  Timer.expires_after(
      std::max<duration>(*Next - boot_clock().now(), duration(0)));
  Timer.async_wait([this](const auto &Error) {
    if (Error)
      return;
    WakeAt.reset();
    abandonOnFault([this] { runDue(boot_clock().now()); },
                   [this] { schedule(); });
    schedule();
  });
}

void decision_timer::runDue(instant Now) {
  Gate.passTime(Now);
  Forwarder.passTime(Now);
}

} // namespace clementine::proxy
