#ifndef CLEMENTINE_PROXY_NODE_DECISION_TIMER_H
#define CLEMENTINE_PROXY_NODE_DECISION_TIMER_H

#include "clementine_proxy/entry/forwarder.h"
#include "clementine_proxy/gate/instance_gate.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <optional>

namespace clementine::proxy {

/// Runs the time-dependent decisions of the forwarder and the gate when they
/// fall due. Runs on the event loop's thread.
class decision_timer {
public:
  /// All have to outlive the timer.
  decision_timer(boost::asio::io_context &Loop, forwarder &Forwarder,
                 instance_gate &Gate)
      : Forwarder(Forwarder), Gate(Gate), Timer(Loop) {}

  decision_timer(const decision_timer &) = delete;
  decision_timer &operator=(const decision_timer &) = delete;

  /// Sets the timer to the next due decision; to be called after any event.
  void schedule();
  /// Runs the decisions that are due at @p Now. Also called periodically, since
  /// timers do not advance while the VM is suspended.
  void runDue(instant Now);
  void stop() { Timer.cancel(); }

private:
  forwarder &Forwarder;
  instance_gate &Gate;
  boost::asio::steady_timer Timer;
  std::optional<instant> WakeAt;
};

} // namespace clementine::proxy

#endif
