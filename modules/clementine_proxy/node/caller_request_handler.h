#ifndef CLEMENTINE_PROXY_NODE_CALLER_REQUEST_HANDLER_H
#define CLEMENTINE_PROXY_NODE_CALLER_REQUEST_HANDLER_H

#include "clementine_proxy/entry/forwarder.h"
#include "clementine_proxy/http/http_session.h"
#include "clementine_proxy/node/fault_guard.h"
#include "clementine_telemetry/clementine_telemetry.h"

#include <functional>
#include <unordered_map>

namespace clementine::proxy {

/// Passes requests of callers to the forwarder and returns its responses to
/// them. Records their latency and counts the responses by status.
class caller_request_handler final : public http_handler {
public:
  /// @param Forwarder, @p Metrics and @p Faults have to outlive the handler.
  /// @param Changed called when the forwarder's next wake time may have
  /// changed.
  caller_request_handler(forwarder &Forwarder, metrics_registry &Metrics,
                         fault_guard &Faults, std::function<void()> Changed);

  caller_request_handler(const caller_request_handler &) = delete;
  caller_request_handler &operator=(const caller_request_handler &) = delete;

  /// Sends the forwarder's response to the caller. Does nothing if the caller
  /// has disconnected.
  void answer(call_number Call, response Response);

  /// Passes on a request. If that fails, its caller is told that it may have
  /// run.

  void handle(request Request, responder Respond,
              disconnect_callback &OnDisconnect) override;
  caller_limits limits() const override;

private:
  struct pending_call {
    responder Respond;
    instant ReceivedAt;
  };

  forwarder &Forwarder;
  metrics_registry &Metrics;
  fault_guard &Faults;
  const std::function<void()> Changed;
  latency_histogram &Latency;
  std::unordered_map<call_number, pending_call> PendingCalls;
  call_number LastCall = 0;
};

} // namespace clementine::proxy

#endif
