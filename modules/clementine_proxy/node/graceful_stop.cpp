#include "clementine_proxy/node/graceful_stop.h"

#include "clementine_proxy/entry/forwarder.h"
#include "clementine_proxy/gate/instance_gate.h"
#include "clementine_proxy/http/http_listener.h"
#include "clementine_proxy/node/loop_calls.h"
#include "clementine_proxy/peers/peer_hub.h"
#include "clementine_telemetry/clementine_telemetry.h"

#include <thread>
#include <utility>

namespace clementine::proxy {

namespace {

constexpr std::chrono::milliseconds StopPollInterval{20};
/// How long other gates may take to report the attempts that a stop cancels.
constexpr std::chrono::milliseconds CancelReportTime{100};
/// How long the final responses of a stop may take to be written.
constexpr std::chrono::milliseconds ResponseWriteTime{200};
/// How long the links of a stopped node may take to close.
constexpr std::chrono::milliseconds LinkCloseTime{300};

instant now() { return boot_clock().now(); }

} // namespace

graceful_stop::graceful_stop(duration Grace,
                             graceful_stop_dependencies Dependencies)
    : Timing(Grace), Dependencies(std::move(Dependencies)) {}

void graceful_stop::begin(instant Now) {
  Begun = Now;
  Dependencies.Forwarder.refuseFrom(Now + Timing.RequestsEnd);
  Dependencies.Gate.refuseFrom(Now + Timing.RequestsEnd);
}

void graceful_stop::passTime(instant Now) {
  if (!Begun || HasStoppedAccepting || Now - *Begun <= Timing.ConnectionsEnd)
    return;
  HasStoppedAccepting = true;
  Dependencies.Outbound.stop();
  logger("node").info("no longer accepting caller connections",
                      {{"active", Dependencies.Forwarder.active()}});
}

bool graceful_stop::awaitEnd() {
  const bool IsFinished = awaitIdle();
  if (!IsFinished)
    endRemainingWork();
  closeLinks();
  return IsFinished;
}

bool graceful_stop::awaitIdle() {
  const instant Start = *Begun;
  bool IsFinished = false;
  while (!IsFinished && now() < Start + Timing.WorkEnd) {
    std::this_thread::sleep_for(StopPollInterval);
    runOnLoop(Dependencies.Loop, [&] { IsFinished = isIdle(); });
    if (IsFinished || now() >= Start + Timing.StoreEnd)
      Dependencies.InterruptStore();
  }
  return IsFinished;
}

bool graceful_stop::isIdle() const {
  return HasStoppedAccepting && Dependencies.Forwarder.active() == 0 &&
         Dependencies.Gate.active() == 0 && !Dependencies.Outbound.isInUse();
}

/// Ends the runs of the instance first: what this node has taken for others, or
/// for itself, and not passed on yet is thereby proven not to have run.
void graceful_stop::endRemainingWork() {
  runOnLoop(Dependencies.Loop, [this] {
    Dependencies.Gate.endAll(now());
    Dependencies.Forwarder.refuseFrom(now());
    Dependencies.Forwarder.cancelAll(now());
    Dependencies.Changed();
  });
  awaitOnLoop(
      Dependencies.Loop,
      [this] { return Dependencies.Forwarder.active() == 0; },
      CancelReportTime);
  runOnLoop(Dependencies.Loop,
            [this] { Dependencies.Forwarder.answerAll(now()); });
  awaitOnLoop(
      Dependencies.Loop, [this] { return !Dependencies.Outbound.isBusy(); },
      ResponseWriteTime);
}

/// Lets the last reports and responses reach those that wait for them. No
/// request or report of the instance is accepted meanwhile.
void graceful_stop::closeLinks() {
  runOnLoop(Dependencies.Loop, [this] {
    Dependencies.Forwarder.refuseFrom(now());
    Dependencies.Control.stop();
    Dependencies.Peers.beginClosing();
  });
  awaitOnLoop(
      Dependencies.Loop,
      [this] {
        return !Dependencies.Peers.hasLinks() &&
               !Dependencies.Outbound.isInUse();
      },
      LinkCloseTime);
}

} // namespace clementine::proxy
