#ifndef CLEMENTINE_PROXY_NODE_LOOP_CALLS_H
#define CLEMENTINE_PROXY_NODE_LOOP_CALLS_H

#include "clementine_proxy/model/abandon_on_fault.h"
#include "clementine_proxy/model/boot_clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <future>
#include <thread>

namespace clementine::proxy {

/// How often awaitOnLoop() checks its condition.
constexpr std::chrono::milliseconds LoopPollInterval{20};

/// Calls @p Action on the thread that runs @p Loop and waits for its end, also
/// if it ends by an exception, which goes to the runner of the loop.
template <class Callback>
void runOnLoop(boost::asio::io_context &Loop, const Callback &Action) {
  std::promise<void> Done;
  boost::asio::post(Loop, [&] {
    abandonOnFault(Action, [&] { Done.set_value(); });
    Done.set_value();
  });
  Done.get_future().wait();
}

/// Checks @p Condition on the thread that runs @p Loop until it is true or
/// @p Span has passed.
template <class Predicate>
void awaitOnLoop(boost::asio::io_context &Loop, const Predicate &Condition,
                 duration Span) {
  const boot_clock Clock;
  const instant End = Clock.now() + Span;
  for (bool IsMet = false; !IsMet && Clock.now() < End;) {
    std::this_thread::sleep_for(LoopPollInterval);
    runOnLoop(Loop, [&] { IsMet = Condition(); });
  }
}

} // namespace clementine::proxy

#endif
