#ifndef CLEMENTINE_PROXY_NODE_INSTANCE_REPORT_HANDLER_H
#define CLEMENTINE_PROXY_NODE_INSTANCE_REPORT_HANDLER_H

#include "clementine_proxy/gate/instance_registration.h"
#include "clementine_proxy/node/deployment_adapter.h"
#include "clementine_telemetry/clementine_telemetry.h"

#include <functional>

namespace clementine::proxy {

/// Records the reports and the deregistration of the local instance in its
/// instance_registration.
class instance_report_handler {
public:
  /// Called when what is recorded about the instance has changed.
  /// @param IsNewRun whether another instance or another run of the same one is
  /// now the current one.
  using listener = std::function<void(bool IsNewRun)>;

  /// @param Registration has to outlive the handler.
  instance_report_handler(instance_registration &Registration, listener Changed)
      : Registration(Registration), Changed(std::move(Changed)) {}

  instance_report_handler(const instance_report_handler &) = delete;
  instance_report_handler &operator=(const instance_report_handler &) = delete;

  /// Records the departure that the previous process of this node confirmed,
  /// then lets instances accept work. Does nothing when called again.
  void startAccepting(const std::optional<instance_run> &Departed);

  /// Records a departure that another node remembers from a previous process of
  /// this node.
  void handleRememberedDeparture(const instance_run &Departed);

  /// Handles a call of the instance; its effect is complete when this returns.
  /// @param Content a report or a departure.
  instance_call_verdict handle(const instance_call_content &Content);

private:
  instance_call_verdict handleReport(const instance_report &Report);
  instance_call_verdict handleDeparture(const instance_departure &Departure);

  instance_registration &Registration;
  const listener Changed;
  const logger Log{"node"};
};

} // namespace clementine::proxy

#endif
