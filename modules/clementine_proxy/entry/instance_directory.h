#ifndef CLEMENTINE_PROXY_ENTRY_INSTANCE_DIRECTORY_H
#define CLEMENTINE_PROXY_ENTRY_INSTANCE_DIRECTORY_H

#include "clementine_proxy/model/instance_record.h"
#include "clementine_proxy/peers/peer_messages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace clementine::proxy {

/// How an instance is chosen.
struct directory_settings {
  std::string OwnNode;
  std::string OwnZone;
  /// How much more load a gate in the own zone may have than one elsewhere, as
  /// a share of its limit, before the work goes elsewhere.
  double ZonePreference = 0.4;
  /// A gate that could not be reached is avoided for so long.
  duration DownPause = std::chrono::milliseconds(1000);
  /// A gate whose link falls silent is avoided for so long.
  duration SilencePause = std::chrono::milliseconds(300);
  /// A gate that refused is avoided for so long.
  duration RefusalPause = std::chrono::milliseconds(150);
  /// How long a record that vanished from the store is still believed while
  /// the link to its node is up.
  duration LapseGrace = std::chrono::milliseconds(2500);

  bool operator==(const directory_settings &) const = default;
};

/// A gate as the entry of a node sees it.
struct known_gate {
  node_record Record;
  /// What the gate last said itself; beats the record.
  std::optional<gate_status> Status;
  /// How many runs of this node are under way there.
  std::uint32_t InFlight = 0;
  /// The same when Status came.
  std::uint32_t InFlightAtStatus = 0;
  instant DownUntil;
  instant RefusedUntil;
  /// When the record vanished from the store, if it has.
  std::optional<instant> LapsedAt;
  /// The share of runs that failed there, recent ones counting most.
  double FailureShare = 0;

  /// @returns whether an instance takes work there, as far as is known.
  bool takesWork() const;
  /// @returns running and waiting work over what may run at once.
  double load() const;
};

/// Knows the gates of all services and chooses among them. Free of I/O.
class instance_directory {
public:
  instance_directory(directory_settings Settings, random_source &Random)
      : Settings(std::move(Settings)), Random(Random) {}

  /// @name What the store says
  /// Takes a record; an older run of the same node changes nothing.
  void record(const node_record &Record);
  /// Takes the news that a node's record has vanished.
  void markRecordRemoved(const std::string &Node, instant Now);
  /// Takes all records of the store: others have vanished.
  void replaceAll(const std::vector<node_record> &Records, instant Now);

  /// @name What the links say
  void markConnected(const std::string &Node, const peer_hello &Hello);
  void down(const std::string &Node, instant Now);
  void markUnresponsive(const std::string &Node, instant Now);
  void status(const std::string &Node, const gate_status &Status);

  /// @name What becomes of runs
  void sent(const std::string &Node);
  void ended(const std::string &Node, run_outcome Outcome, run_cause Cause,
             bool HasFailed, instant Now);

  /// @param Excluded nodes that the request has tried.
  /// @returns the gate of @p Service that should get the next request, or null.
  const known_gate *choose(const std::string &Service,
                           const std::vector<std::string> &Excluded,
                           instant Now);

  /// @returns the gate beside @p Node, or null.
  const known_gate *find(const std::string &Node) const;

  /// Drops what vanished long ago.
  /// @param IsUp whether the link to a node is up.
  /// @returns the nodes that were dropped.
  template <class Predicate>
  std::vector<std::string> prune(const Predicate &IsUp, instant Now) {
    std::vector<std::string> Dropped;
    for (const auto &[Node, Gate] : Gates)
      if (Gate.LapsedAt && Gate.InFlight == 0 &&
          (Now - *Gate.LapsedAt > Settings.LapseGrace || !IsUp(Node)))
        Dropped.push_back(Node);
    for (const std::string &Node : Dropped)
      Gates.erase(Node);
    return Dropped;
  }

  std::size_t size() const { return Gates.size(); }

private:
  double cost(const known_gate &Gate, instant Now);

  const directory_settings Settings;
  random_source &Random;
  std::map<std::string, known_gate> Gates;
};

} // namespace clementine::proxy

#endif
