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

/// What other nodes are told of this one: its record in the store and the state
/// of its gate on the links. Runs on the loop's thread.
class node_status_publisher {
public:
  /// What it draws from and tells; all have to outlive it.
  struct parts {
    const proxy_settings &Settings;
    const instance_book &Book;
    const instance_gate &Gate;
    instance_directory &Directory;
    peer_hub &Peers;
    store_synchronizer &Store;
  };

  /// @param Incarnation orders the processes of this node.
  node_status_publisher(parts Parts, std::uint64_t Incarnation)
      : Parts(Parts), Incarnation(Incarnation) {}

  node_status_publisher(const node_status_publisher &) = delete;
  node_status_publisher &operator=(const node_status_publisher &) = delete;

  std::uint64_t incarnation() const { return Incarnation; }
  node_record record() const;
  /// @returns the gate's state; while leaving it shows no instance.
  gate_status status(instant Now) const;

  /// Brings the record in the store up to date.
  void publish();
  /// Tells what has changed about the instance.
  void instanceChanged(instant Now);
  /// From now on no instance is shown.
  void leave();
  bool isLeaving() const { return IsLeaving; }

private:
  const parts Parts;
  const std::uint64_t Incarnation;
  std::string AnnouncedInstance;
  std::optional<instance_run> PublishedDeparture;
  bool IsLeaving = false;
};

} // namespace clementine::proxy

#endif
