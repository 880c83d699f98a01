#ifndef CLEMENTINE_PROXY_NODE_NODE_PORTRAIT_H
#define CLEMENTINE_PROXY_NODE_NODE_PORTRAIT_H

#include "clementine_proxy/entry/instance_directory.h"
#include "clementine_proxy/gate/instance_gate.h"
#include "clementine_proxy/node/store_view.h"
#include "clementine_proxy/peers/peer_hub.h"
#include "clementine_proxy/settings/proxy_settings.h"

#include <cstdint>
#include <optional>
#include <string>

namespace clementine::proxy {

/// What other nodes are told of this one: its record in the store and the state
/// of its gate on the links. Runs on the loop's thread.
class node_portrait {
public:
  /// What it draws from and tells; all have to outlive it.
  struct parts {
    const proxy_settings &Settings;
    const instance_registration &Registration;
    const instance_gate &Gate;
    instance_directory &Directory;
    peer_hub &Peers;
    store_view &Store;
  };

  /// @param Incarnation orders the processes of this node.
  node_portrait(parts Parts, std::uint64_t Incarnation)
      : Parts(Parts), Incarnation(Incarnation) {}

  node_portrait(const node_portrait &) = delete;
  node_portrait &operator=(const node_portrait &) = delete;

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
