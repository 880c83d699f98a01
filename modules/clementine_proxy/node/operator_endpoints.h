#ifndef CLEMENTINE_PROXY_NODE_OPERATOR_ENDPOINTS_H
#define CLEMENTINE_PROXY_NODE_OPERATOR_ENDPOINTS_H

#include "clementine_proxy/http/http_session.h"
#include "clementine_proxy/node/deployment_adapter.h"
#include "clementine_telemetry/clementine_telemetry.h"

#include <functional>

namespace clementine::proxy {

/// A handler that responds synchronously.
class local_endpoint : public http_handler {
public:
  void handle(request Request, responder Respond,
              disconnect_callback & /*OnDisconnect*/) override {
    Respond(answerTo(Request));
  }
  caller_limits limits() const override { return {}; }

protected:
  virtual response answerTo(const request &Request) = 0;
};

/// Receives the calls of the local instance. Responds with 200 to its reports
/// and deregistrations, 503 to a report that has to be followed by another
/// before it counts, 400 to malformed calls and reports of another service or
/// address, and 404 to unknown calls.
class control_endpoint final : public local_endpoint {
public:
  using listener =
      std::function<instance_call_verdict(const instance_call_content &)>;

  /// @param Adapter has to outlive the handler.
  control_endpoint(const deployment_adapter &Adapter, listener Listener)
      : Adapter(Adapter), Listener(std::move(Listener)) {}

private:
  response answerTo(const request &Request) override;

  const deployment_adapter &Adapter;
  const listener Listener;
  const logger Log{"control"};
};

/// Responds to readiness probes with 200 if the node is ready, otherwise 503.
class readiness_endpoint final : public local_endpoint {
public:
  /// @param Adapter has to outlive the handler.
  readiness_endpoint(const deployment_adapter &Adapter,
                     std::function<bool()> IsReady)
      : Adapter(Adapter), IsReady(std::move(IsReady)) {}

private:
  response answerTo(const request &Request) override;

  const deployment_adapter &Adapter;
  const std::function<bool()> IsReady;
};

/// Serves all metrics in the Prometheus text format.
class metrics_endpoint final : public local_endpoint {
public:
  /// @param Metrics has to outlive the handler.
  explicit metrics_endpoint(metrics_registry &Metrics);

private:
  response answerTo(const request &Request) override;

  metrics_registry &Metrics;
  counter &DroppedRecords;
  std::uint64_t ReportedDrops = 0;
};

} // namespace clementine::proxy

#endif
