#ifndef CLEMENTINE_PROXY_NODE_REPEATING_TIMER_H
#define CLEMENTINE_PROXY_NODE_REPEATING_TIMER_H

#include "clementine_core/clementine_core.h"
#include "clementine_proxy/node/fault_guard.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string>

namespace clementine::proxy {

/// Runs a piece of work at once and then at each interval, on the event loop's
/// thread. An exception ends that one run: it is logged and counted, and the
/// next run follows after the interval.
class repeating_timer {
public:
  /// @param Loop and @p Faults have to outlive the timer.
  /// @param Name for logs and metrics.
  repeating_timer(boost::asio::io_context &Loop, fault_guard &Faults,
                  std::string Name, duration Interval,
                  std::function<void()> Work);

  repeating_timer(const repeating_timer &) = delete;
  repeating_timer &operator=(const repeating_timer &) = delete;

  void start() { run(); }
  void stop() { Timer.cancel(); }

private:
  void run();
  void arm();

  const std::string Name;
  const duration Interval;
  const std::function<void()> Work;
  fault_guard &Faults;
  boost::asio::steady_timer Timer;
};

} // namespace clementine::proxy

#endif
