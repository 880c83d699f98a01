#include "clementine_proxy/node/node_status_publisher.h"

#include <utility>

namespace clementine::proxy {

node_record node_status_publisher::record() const {
  const instance_report *Instance = Dependencies.Registration.ready();
  const bool IsShown = Instance != nullptr && !IsLeaving;
  return {
      Dependencies.Settings.Name,    Incarnation,
      Dependencies.Settings.Zone,    Dependencies.Settings.peerAddress(),
      Dependencies.Settings.Service, IsShown ? Instance->Instance : "",
      IsShown ? Instance->Slots : 0, Dependencies.Registration.lastDeparture()};
}

gate_status node_status_publisher::status(instant Now) const {
  gate_status Status = Dependencies.Gate.status(Now);
  if (IsLeaving)
    Status.Instance.clear();
  return Status;
}

/// The store holds a record only while there is an instance or a departure to
/// publish.
void node_status_publisher::publish() {
  node_record Record = record();
  PublishedDeparture = Record.Departed;
  Dependencies.Directory.record(Record);
  if (Record.Instance.empty() && !Record.Departed)
    Dependencies.Store.publish(std::nullopt);
  else
    Dependencies.Store.publish(std::move(Record));
}

void node_status_publisher::instanceChanged(instant Now) {
  const gate_status Status = status(Now);
  const bool HasChanged = Status.Instance != AnnouncedInstance;
  if (HasChanged) {
    AnnouncedInstance = Status.Instance;
    Dependencies.Peers.broadcastStatus();
  }
  if (HasChanged ||
      Dependencies.Registration.lastDeparture() != PublishedDeparture)
    publish();
  Dependencies.Directory.status(Dependencies.Settings.Name,
                                Dependencies.Gate.status(Now));
}

void node_status_publisher::leave() {
  IsLeaving = true;
  publish();
  Dependencies.Peers.broadcastStatus();
}

} // namespace clementine::proxy
