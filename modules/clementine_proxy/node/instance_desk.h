#ifndef CLEMENTINE_PROXY_NODE_INSTANCE_DESK_H
#define CLEMENTINE_PROXY_NODE_INSTANCE_DESK_H

#include "clementine_proxy/gate/instance_registration.h"
#include "clementine_proxy/node/deployment_adapter.h"
#include "clementine_telemetry/clementine_telemetry.h"

#include <functional>

namespace clementine::proxy {

/// Takes what the instance beside this node says, into its book.
class instance_desk {
public:
  /// Hears that the book has changed.
  /// @param IsNewRun whether another run of an instance is the present one.
  using listener = std::function<void(bool IsNewRun)>;

  /// @param Book has to outlive the desk.
  instance_desk(instance_registration &Registration, listener Changed)
      : Registration(Registration), Changed(std::move(Changed)) {}

  instance_desk(const instance_desk &) = delete;
  instance_desk &operator=(const instance_desk &) = delete;

  /// Takes what the former process of this node confirmed, and opens the book;
  /// does nothing a second time.
  void begin(const std::optional<instance_run> &Departed);

  /// @returns whether the content concerns this node; what it changes binds
  /// before the call returns.
  bool take(const instance_call_content &Content);

private:
  bool report(const instance_report &Report);
  bool leave(const instance_departure &Departure);

  instance_registration &Registration;
  const listener Changed;
  const logger Log{"node"};
};

} // namespace clementine::proxy

#endif
