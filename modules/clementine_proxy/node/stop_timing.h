#ifndef CLEMENTINE_PROXY_NODE_STOP_TIMING_H
#define CLEMENTINE_PROXY_NODE_STOP_TIMING_H

#include <chrono>

namespace clementine::proxy {

/// How long callers take to stop using a node that is not ready: two failed
/// readiness probes and a margin.
constexpr std::chrono::milliseconds ReadinessPropagationTime{2600};
/// How long after the start of a stop requests are accepted. What is accepted
/// later, on a connection that is still being read, could not finish within the
/// stop grace and is refused.
constexpr std::chrono::milliseconds RequestAcceptanceTime{2900};
/// How much of the stop grace is reserved for closing sockets and tasks.
constexpr std::chrono::milliseconds StopMargin{800};
/// Calls to the store are interrupted this long before the end of the stop
/// grace, while requests still finish, since a call ends up to a second after
/// its interruption.
constexpr std::chrono::milliseconds StoreInterruptMargin{2200};
constexpr std::chrono::milliseconds StopPollInterval{20};
/// How long the links of a stopped node may take to close.
constexpr std::chrono::milliseconds LinkCloseTime{300};
/// How long the final responses of a stop may take to be written.
constexpr std::chrono::milliseconds ResponseWriteTime{200};

} // namespace clementine::proxy

#endif
