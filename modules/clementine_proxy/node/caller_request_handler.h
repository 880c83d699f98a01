#ifndef CLEMENTINE_PROXY_NODE_CALLER_REQUEST_HANDLER_H
#define CLEMENTINE_PROXY_NODE_CALLER_REQUEST_HANDLER_H

#include "clementine_proxy/entry/forwarder.h"
#include "clementine_proxy/http/http_session.h"
#include "clementine_telemetry/clementine_telemetry.h"

#include <functional>
#include <unordered_map>

namespace clementine::proxy {

/// Hands callers' requests to the forwarder and its answers back to them, and
/// counts both.
class caller_request_handler final : public http_handler {
public:
  /// @param Forwarder and @p Metrics have to outlive the desk.
  /// @param Changed called when the forwarder may want to wake at another time.
  caller_request_handler(forwarder &Forwarder, metrics_registry &Metrics,
                         std::function<void()> Changed);

  caller_request_handler(const caller_request_handler &) = delete;
  caller_request_handler &operator=(const caller_request_handler &) = delete;

  /// The forwarder's answer to a call; nothing if the caller has left.
  void answer(call_number Call, response Response);
  /// From now on each answer ends its connection.
  void beginClosing() { ClosesConnections = true; }

  void handle(request Request, responder Respond, departure &WhenGone) override;
  caller_limits limits() const override;
  bool isClosing() const override { return ClosesConnections; }

private:
  struct waiting_caller {
    responder Respond;
    instant Since;
  };

  forwarder &Forwarder;
  metrics_registry &Metrics;
  const std::function<void()> Changed;
  latency_histogram &Latency;
  std::unordered_map<call_number, waiting_caller> Callers;
  call_number LastCall = 0;
  bool ClosesConnections = false;
};

} // namespace clementine::proxy

#endif
