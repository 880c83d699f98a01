#include "clementine_proxy/node/node_portrait.h"

#include <utility>

namespace clementine::proxy {

node_record node_portrait::record() const {
  const instance_report *Instance = Parts.Registration.ready();
  const bool Shows = Instance != nullptr && !IsLeaving;
  return {Parts.Settings.Name,         Incarnation,
          Parts.Settings.Zone,         Parts.Settings.peerAddress(),
          Parts.Settings.Service,      Shows ? Instance->Instance : "",
          Shows ? Instance->Slots : 0, Parts.Registration.lastDeparture()};
}

gate_status node_portrait::status(instant Now) const {
  gate_status Status = Parts.Gate.status(Now);
  if (IsLeaving)
    Status.Instance.clear();
  return Status;
}

/// The store holds a record only while there is something to tell of.
void node_portrait::publish() {
  node_record Record = record();
  PublishedDeparture = Record.Departed;
  Parts.Directory.record(Record);
  if (Record.Instance.empty() && !Record.Departed)
    Parts.Store.publish(std::nullopt);
  else
    Parts.Store.publish(std::move(Record));
}

void node_portrait::instanceChanged(instant Now) {
  const gate_status Status = status(Now);
  const bool IsOther = Status.Instance != AnnouncedInstance;
  if (IsOther) {
    AnnouncedInstance = Status.Instance;
    Parts.Peers.broadcastStatus();
  }
  if (IsOther || Parts.Registration.lastDeparture() != PublishedDeparture)
    publish();
  Parts.Directory.status(Parts.Settings.Name, Parts.Gate.status(Now));
}

void node_portrait::leave() {
  IsLeaving = true;
  publish();
  Parts.Peers.broadcastStatus();
}

} // namespace clementine::proxy
