#ifndef CLEMENTINE_PROXY_ENTRY_INSTANCE_DIRECTORY_H
#define CLEMENTINE_PROXY_ENTRY_INSTANCE_DIRECTORY_H

#include "clementine_proxy/model/instance_record.h"
#include "clementine_proxy/peers/peer_messages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace clementine::proxy {

/// Parameters for the choice of an instance.
struct directory_settings {
  std::string OwnNode;
  std::string OwnZone;
  /// How much more load a gate in this node's zone may have than one in another
  /// zone, as a share of its limit, before the other one is preferred.
  double ZonePreference = 0.4;
  /// How long a gate is avoided after its link was lost or could not be opened.
  duration UnreachableAvoidTime = std::chrono::milliseconds(1000);
  /// How long a gate is avoided after its link became unresponsive.
  duration UnresponsiveAvoidTime = std::chrono::milliseconds(300);
  /// How long a gate is avoided after it refused a request.
  duration RefusalAvoidTime = std::chrono::milliseconds(150);
  /// How long a record that was removed from the store stays valid while the
  /// link to its node is up.
  duration RemovedRecordGrace = std::chrono::milliseconds(2500);

  bool operator==(const directory_settings &) const = default;
};

/// The state of a gate as known to this node.
struct known_gate {
  node_record Record;
  /// The last status that the gate reported; takes precedence over the record.
  std::optional<gate_status> Status;
  /// The number of attempts that this node has in progress at the gate.
  std::uint32_t InFlight = 0;
  /// The value of InFlight when Status was received.
  std::uint32_t InFlightAtStatus = 0;
  instant DownUntil;
  instant RefusedUntil;
  /// When the record was removed from the store, if it was.
  std::optional<instant> RecordRemovedAt;
  /// The latest departure that the node has announced, by any of its processes.
  std::optional<instance_run> Departed;
  /// The exponential moving average of the share of runs that failed there.
  double FailureShare = 0;

  /// @returns whether the gate has a ready instance, by its last status or
  /// record.
  bool acceptsRequests() const;
  /// @returns the ratio of running and queued runs to the concurrency limit.
  double load() const;
};

/// Keeps the state of the gates of all services and selects among them.
/// Performs no I/O.
class instance_directory {
public:
  instance_directory(directory_settings Settings, random_source &Random)
      : Settings(std::move(Settings)), Random(Random) {}

  /// @name Updates from the store
  /// Adds or updates a record; one of an older process of the node is ignored.
  void record(const node_record &Record);
  /// Marks a node's record as removed from the store.
  void markRecordRemoved(const std::string &Node, instant Now);
  /// Adds or updates a record that another node has read from the store.
  /// @param IsNewer whether the store's revision of it is higher than all that
  /// this node has read from the store itself. It is ignored otherwise: this
  /// node may have seen a later change or the removal.
  void relayedRecord(const node_record &Record, bool IsNewer);
  /// Replaces all records; those not in @p Records are marked as removed.
  void replaceAll(const std::vector<node_record> &Records, instant Now);

  /// @name Updates from links
  void markConnected(const std::string &Node, const peer_hello &Hello);
  void markDisconnected(const std::string &Node, instant Now);
  void markUnresponsive(const std::string &Node, instant Now);
  /// Avoids the gate of a node that ends: it is chosen only if no other one is
  /// left.
  void markLeaving(const std::string &Node);
  void status(const std::string &Node, const gate_status &Status);
  /// Records a departure that a node has announced, unless a later one is
  /// known.
  void departed(const std::string &Node,
                const std::optional<instance_run> &Run);
  /// @returns the latest departure that a node has announced, if any.
  std::optional<instance_run> departureOf(const std::string &Node) const;

  /// @name Starts and ends of attempts
  void attemptSent(const std::string &Node);
  void recordAttemptEnd(const std::string &Node, run_outcome Outcome,
                        run_cause Cause, bool HasFailed, instant Now);

  /// @param Excluded nodes at which the request was already tried.
  /// @returns the gate of @p Service with the lowest cost, or null.
  const known_gate *choose(const std::string &Service,
                           const std::vector<std::string> &Excluded,
                           instant Now);

  /// @returns the gate of @p Node, or null.
  const known_gate *find(const std::string &Node) const;

  /// Erases gates whose record was removed from the store, once no attempt is
  /// in progress there and RemovedRecordGrace has passed or the link is down.
  /// @param IsUp whether the link to a node is up.
  /// @returns the nodes whose gates were erased.
  template <class Predicate>
  std::vector<std::string> prune(const Predicate &IsUp, instant Now) {
    std::vector<std::string> Dropped;
    for (const auto &[Node, Gate] : Gates)
      if (Gate.RecordRemovedAt && Gate.InFlight == 0 &&
          (Now - *Gate.RecordRemovedAt > Settings.RemovedRecordGrace ||
           !IsUp(Node)))
        Dropped.push_back(Node);
    for (const std::string &Node : Dropped)
      Gates.erase(Node);
    return Dropped;
  }

  std::size_t size() const { return Gates.size(); }
  /// @returns the names of the nodes in @p Zone whose record is in the store.
  std::vector<std::string> nodesOfZone(const std::string &Zone) const;

private:
  double cost(const known_gate &Gate, instant Now);

  const directory_settings Settings;
  random_source &Random;
  std::map<std::string, known_gate> Gates;
};

} // namespace clementine::proxy

#endif
