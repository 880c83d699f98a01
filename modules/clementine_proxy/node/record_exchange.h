#ifndef CLEMENTINE_PROXY_NODE_RECORD_EXCHANGE_H
#define CLEMENTINE_PROXY_NODE_RECORD_EXCHANGE_H

#include "clementine_platform/clementine_platform.h"
#include "clementine_proxy/entry/instance_directory.h"
#include "clementine_proxy/node/config_exchange.h"
#include "clementine_proxy/node/instance_report_handler.h"
#include "clementine_proxy/node/store_synchronizer.h"
#include "clementine_proxy/peers/peer_hub.h"

#include <functional>
#include <string>
#include <vector>

namespace clementine::proxy {

/// Keeps the directory up to date with the records of all nodes: from the
/// store, from relays (see isRecordRelay()) and from the hellos of nodes that
/// link to this one. Passes configurations from the store on to the
/// config_exchange. Runs on the event loop's thread.
class record_exchange final : public store_listener {
public:
  /// The components that it updates; all have to outlive it.
  struct dependencies {
    const std::string &OwnNode;
    const std::string &OwnZone;
    instance_directory &Directory;
    config_exchange &Configs;
    instance_report_handler &Reports;
    peer_hub &Peers;
    /// Sets whether this node reads changes of records promptly.
    std::function<void(bool IsPrompt)> ReadPromptly;
  };

  explicit record_exchange(dependencies Dependencies)
      : Dependencies(std::move(Dependencies)) {}

  record_exchange(const record_exchange &) = delete;
  record_exchange &operator=(const record_exchange &) = delete;

  /// @name store_listener
  void configRead(const std::shared_ptr<const routing_config> &Config,
                  platform_revision Revision) override;
  void recordsListed(const std::vector<node_record> &Records,
                     const store_position &Position) override;
  void recordChanged(const node_record &Record,
                     const store_position &Position) override;
  void recordRemoved(const std::string &Node,
                     const store_position &Position) override;

  /// @name Messages of other nodes
  void relayed(const record_update &Update);
  /// Records what another node remembers of a previous process of this node. A
  /// hello is processed before any order on its link, so that no node that
  /// knows of a departure can send work to the departed run.
  void departureRemembered(const peer_hello &Hello);
  /// Updates the record of a node that links to this one, since the store may
  /// be away or report the new process of that node later.
  void greeted(const peer_hello &Hello);

  /// Decides anew whether this node is a relay of its zone; called regularly.
  void updateRelayRole();

private:
  void askOtherNodes(const std::vector<node_record> &Records);
  void notePosition(const store_position &Position);

  const dependencies Dependencies;
  /// The last position of a record that this node has read itself.
  store_position LastRead;
  bool HasListed = false;
  bool IsRelay = true;
  const logger Log{"node"};
};

} // namespace clementine::proxy

#endif
