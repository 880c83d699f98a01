#ifndef CLEMENTINE_PROXY_NODE_CONFIG_EXCHANGE_H
#define CLEMENTINE_PROXY_NODE_CONFIG_EXCHANGE_H

#include "clementine_proxy/entry/forwarder.h"
#include "clementine_proxy/peers/peer_hub.h"
#include "clementine_telemetry/clementine_telemetry.h"

#include <memory>
#include <string>

namespace clementine::proxy {

/// Brings configurations into force, from the store and from other nodes, and
/// hands the present one to nodes that ask.
class config_exchange {
public:
  /// Both have to outlive the exchange.
  config_exchange(forwarder &Forwarder, peer_hub &Peers)
      : Forwarder(Forwarder), Peers(Peers) {}

  config_exchange(const config_exchange &) = delete;
  config_exchange &operator=(const config_exchange &) = delete;

  /// Takes a configuration unless it is older than the present one.
  /// @param Source the store or the node that it came from; for logs.
  /// @param Revision the store's; 0 if it came from a node.
  void use(const std::shared_ptr<const routing_config> &Config,
           std::string_view Source, std::int64_t Revision);

  /// A dialled node has @p Version in force: asks for it if it is newer. One
  /// node is asked at a time, since many tell of a new version at once.
  void heardOf(const std::string &Node, std::uint64_t Version, instant Now);

  /// A node asks for the present configuration.
  void asked(std::uint64_t Link);

private:
  forwarder &Forwarder;
  peer_hub &Peers;
  const logger Log{"node"};
  /// The newest version that was asked for, and when.
  std::uint64_t AskedVersion = 0;
  instant AskedAt;
};

} // namespace clementine::proxy

#endif
