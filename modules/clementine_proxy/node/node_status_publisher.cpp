#include "clementine_proxy/node/node_status_publisher.h"

#include <utility>

namespace clementine::proxy {

node_record node_status_publisher::record() const {
  const instance_report *Instance = Parts.Book.ready();
  const bool Shows = Instance != nullptr && !IsLeaving;
  return {Parts.Settings.Name,         Incarnation,
          Parts.Settings.Zone,         Parts.Settings.peerAddress(),
          Parts.Settings.Service,      Shows ? Instance->Instance : "",
          Shows ? Instance->Slots : 0, Parts.Book.lastDeparture()};
}

gate_status node_status_publisher::status(instant Now) const {
  gate_status Status = Parts.Gate.status(Now);
  if (IsLeaving)
    Status.Instance.clear();
  return Status;
}

/// The store holds a record only while there is something to tell of.
void node_status_publisher::publish() {
  node_record Record = record();
  PublishedDeparture = Record.Departed;
  Parts.Directory.record(Record);
  if (Record.Instance.empty() && !Record.Departed)
    Parts.Store.publish(std::nullopt);
  else
    Parts.Store.publish(std::move(Record));
}

void node_status_publisher::instanceChanged(instant Now) {
  const gate_status Status = status(Now);
  const bool IsOther = Status.Instance != AnnouncedInstance;
  if (IsOther) {
    AnnouncedInstance = Status.Instance;
    Parts.Peers.announceStatus();
  }
  if (IsOther || Parts.Book.lastDeparture() != PublishedDeparture)
    publish();
  Parts.Directory.status(Parts.Settings.Name, Parts.Gate.status(Now));
}

void node_status_publisher::leave() {
  IsLeaving = true;
  publish();
  Parts.Peers.announceStatus();
}

} // namespace clementine::proxy
