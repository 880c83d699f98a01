#ifndef CLEMENTINE_PROXY_NODE_NODE_STATUS_PUBLISHER_H
#define CLEMENTINE_PROXY_NODE_NODE_STATUS_PUBLISHER_H

#include "clementine_proxy/entry/instance_directory.h"
#include "clementine_proxy/gate/instance_gate.h"
#include "clementine_proxy/node/store_synchronizer.h"
#include "clementine_proxy/peers/peer_hub.h"
#include "clementine_proxy/settings/proxy_settings.h"

#include <cstdint>
#include <optional>
#include <string>

namespace clementine::proxy {

/// Publishes the state of this node to other nodes: its record through the
/// store and the status of its gate over the links. Runs on the event loop's
/// thread.
class node_status_publisher {
public:
  /// The components that it reads and updates; all have to outlive it.
  struct dependencies {
    const proxy_settings &Settings;
    const instance_registration &Registration;
    const instance_gate &Gate;
    instance_directory &Directory;
    peer_hub &Peers;
    store_synchronizer &Store;
  };

  /// @param Incarnation higher for each later process of this node.
  node_status_publisher(dependencies Dependencies, std::uint64_t Incarnation)
      : Dependencies(Dependencies), Incarnation(Incarnation) {}

  node_status_publisher(const node_status_publisher &) = delete;
  node_status_publisher &operator=(const node_status_publisher &) = delete;

  std::uint64_t incarnation() const { return Incarnation; }
  node_record record() const;
  /// @returns the gate's status, without an instance while the node is leaving.
  gate_status status(instant Now) const;

  /// Updates the record in the directory and in the store.
  void publish();
  /// Publishes changes of the instance or of its status.
  void instanceChanged(instant Now);
  /// From now on the node is published without an instance.
  void leave();
  bool isLeaving() const { return IsLeaving; }

private:
  const dependencies Dependencies;
  const std::uint64_t Incarnation;
  std::string AnnouncedInstance;
  std::optional<instance_run> PublishedDeparture;
  bool IsLeaving = false;
};

} // namespace clementine::proxy

#endif
