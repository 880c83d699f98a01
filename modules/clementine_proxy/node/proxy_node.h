#ifndef CLEMENTINE_PROXY_NODE_PROXY_NODE_H
#define CLEMENTINE_PROXY_NODE_PROXY_NODE_H

#include "clementine_proxy/node/deployment_adapter.h"
#include "clementine_proxy/settings/proxy_settings.h"

#include <memory>

namespace clementine::proxy {

/// The node of a deployment that speaks plain HTTP on every side: it takes the
/// requests of the callers and the instance on its machine to the gates of
/// their services, and is itself the gate of that instance.
class proxy_node {
public:
  /// @param Adapter has to outlive the node.
  proxy_node(proxy_settings Settings, deployment_adapter &Adapter);
  ~proxy_node();

  proxy_node(const proxy_node &) = delete;
  proxy_node &operator=(const proxy_node &) = delete;

  /// Binds the sockets and starts every duty.
  /// @throws boost::system::system_error when an address cannot be bound.
  void start();

  /// Leaves gracefully: says so, goes on serving until callers have turned
  /// away, finishes what is in flight, then stops every duty.
  /// @returns whether everything in flight was finished.
  bool stop();

private:
  class implementation;
  std::unique_ptr<implementation> Implementation;
};

} // namespace clementine::proxy

#endif
