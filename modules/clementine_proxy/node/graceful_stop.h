#ifndef CLEMENTINE_PROXY_NODE_GRACEFUL_STOP_H
#define CLEMENTINE_PROXY_NODE_GRACEFUL_STOP_H

#include "clementine_proxy/node/stop_timing.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <optional>

namespace clementine::proxy {

class forwarder;
class http_listener;
class instance_gate;
class peer_hub;

/// What a graceful_stop ends. All of it has to outlive the stop.
struct graceful_stop_dependencies {
  boost::asio::io_context &Loop;
  forwarder &Forwarder;
  instance_gate &Gate;
  /// Accepts requests of callers.
  http_listener &Outbound;
  /// Accepts reports of the instance.
  http_listener &Control;
  peer_hub &Peers;
  /// Ends the calls to the store that are in progress.
  std::function<void()> InterruptStore;
  /// Called when the next wake time of the forwarder or the gate may have
  /// changed.
  std::function<void()> Changed;
};

/// The phases of a stop between its announcement and the end of all tasks:
/// serves until callers and other nodes have stopped using this one, finishes
/// what was accepted, then ends connections and links.
///
/// What was accepted gets a response or a report before the node ends; what
/// comes too late to finish is refused as not run. See docs/design/closing.md.
class graceful_stop {
public:
  /// @param Grace after which the process is killed.
  graceful_stop(duration Grace, graceful_stop_dependencies Dependencies);

  graceful_stop(const graceful_stop &) = delete;
  graceful_stop &operator=(const graceful_stop &) = delete;

  /// Begins the stop. Runs on the thread of the event loop, like passTime().
  void begin(instant Now);
  /// Closes the connections of callers once they had time to leave; called
  /// regularly, also before the stop has begun.
  void passTime(instant Now);

  /// Waits until all calls and connections have ended, at most until the end of
  /// the grace, then answers and reports what is left and ends the links.
  /// @returns whether all calls in flight finished.
  bool awaitEnd();

private:
  bool awaitIdle();
  bool isIdle() const;
  void endRemainingWork();
  void closeLinks();

  const stop_timing Timing;
  const graceful_stop_dependencies Dependencies;
  std::optional<instant> Begun;
  bool HasStoppedAccepting = false;
};

} // namespace clementine::proxy

#endif
