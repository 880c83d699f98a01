#ifndef CLEMENTINE_PROXY_NODE_PROXY_NODE_H
#define CLEMENTINE_PROXY_NODE_PROXY_NODE_H

#include "clementine_proxy/node/deployment_adapter.h"
#include "clementine_proxy/settings/proxy_settings.h"

#include <memory>

namespace clementine::proxy {

/// The node of a deployment in which callers and instances use plain HTTP. It
/// forwards the requests of the callers and the instance on its VM to the gates
/// of the requested services, and runs the gate of that instance.
class proxy_node {
public:
  /// @param Adapter has to outlive the node.
  proxy_node(proxy_settings Settings, deployment_adapter &Adapter);
  ~proxy_node();

  proxy_node(const proxy_node &) = delete;
  proxy_node &operator=(const proxy_node &) = delete;

  /// Binds the sockets and starts all tasks.
  /// @throws boost::system::system_error when an address cannot be bound.
  void start();

  /// Shuts down gracefully: announces that the node is leaving, serves until
  /// callers have stopped using it, finishes the calls in flight, then stops
  /// all tasks.
  /// @returns whether all calls in flight finished.
  bool stop();

private:
  class implementation;
  std::unique_ptr<implementation> Implementation;
};

} // namespace clementine::proxy

#endif
