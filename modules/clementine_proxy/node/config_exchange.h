#ifndef CLEMENTINE_PROXY_NODE_CONFIG_EXCHANGE_H
#define CLEMENTINE_PROXY_NODE_CONFIG_EXCHANGE_H

#include "clementine_proxy/entry/forwarder.h"
#include "clementine_proxy/peers/peer_hub.h"
#include "clementine_telemetry/clementine_telemetry.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace clementine::proxy {

/// Applies configurations from the store and from other nodes, and sends the
/// current one to nodes that request it.
///
/// The first configuration of a process is held back until some other nodes
/// have said which version they have: the store may have been restored from an
/// older copy since they read it. The wait is bounded.
class config_exchange {
public:
  /// Both have to outlive the exchange.
  config_exchange(forwarder &Forwarder, peer_hub &Peers)
      : Forwarder(Forwarder), Peers(Peers) {}

  config_exchange(const config_exchange &) = delete;
  config_exchange &operator=(const config_exchange &) = delete;

  /// Applies a configuration of the store, after the wait if it is the first.
  void readFromStore(const std::shared_ptr<const routing_config> &Config,
                     std::int64_t Revision, instant Now);

  /// Sets the nodes whose versions the first configuration waits for. This node
  /// has begun to connect to them.
  void awaitVersionsOf(std::set<std::string> Nodes);

  /// Ends the wait for @p Node: the link to it failed.
  void nodeFailed(const std::string &Node);

  /// Applies the configuration that is held back, if the wait is over.
  void applyHeld(instant Now);

  /// Applies a configuration if it is newer than the current one.
  /// @param Source "store" or the name of the sending node; for logs.
  /// @param Revision the revision in the store; 0 if a node sent it.
  void apply(const std::shared_ptr<const routing_config> &Config,
             std::string_view Source, std::int64_t Revision);

  /// Requests the configuration of @p Node, which this node has connected to,
  /// if its @p Version is newer than the current one. Many nodes announce a new
  /// version at once, so it is requested from one node at a time.
  void requestIfNewer(const std::string &Node, std::uint64_t Version,
                      instant Now);

  /// Replies to a node's request with the current configuration, if there is
  /// one.
  void sendCurrent(std::uint64_t Link);

private:
  /// A configuration of the store that is held back.
  struct held_config {
    std::shared_ptr<const routing_config> Config;
    std::int64_t Revision = 0;
  };

  std::uint64_t knownVersion() const;

  forwarder &Forwarder;
  peer_hub &Peers;
  const logger Log{"node"};
  /// The newest version that was requested, and when.
  std::uint64_t RequestedVersion = 0;
  instant RequestedAt;
  std::optional<held_config> Held;
  std::optional<instant> HeldSince;
  /// The nodes whose versions are awaited; empty until they are known.
  std::optional<std::set<std::string>> Awaited;
};

} // namespace clementine::proxy

#endif
