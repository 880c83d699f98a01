#include "clementine_proxy/entry/instance_directory.h"

#include <algorithm>

namespace clementine::proxy {

namespace {

/// The weight of the newest run in the moving average of a gate's failures.
constexpr double FailureWeight = 0.05;
/// The cost, in units of load, of a gate at which every run fails.
constexpr double FailureCost = 2.0;
/// From this load on a gate is close to queueing and its cost rises faster.
constexpr double BusyLoad = 0.85;
constexpr double BusySlope = 3.0;
/// Costs high enough that the gate is chosen only if no other one is left.
constexpr double RefusedCost = 20.0;
constexpr double DownCost = 100.0;
/// The maximum random cost, which distributes requests over equal gates.
constexpr double Jitter = 0.05;

} // namespace

bool known_gate::acceptsRequests() const {
  return Status ? !Status->Instance.empty() : !Record.Instance.empty();
}

double known_gate::load() const {
  const std::uint32_t Limit =
      std::max<std::uint32_t>(1, Status ? Status->Limit : Record.Slots);
  std::uint32_t Busy = InFlight;
  if (Status) {
    Busy = Status->Running + Status->Queued;
    if (InFlight > InFlightAtStatus)
      Busy += InFlight - InFlightAtStatus;
  }
  return static_cast<double>(Busy) / static_cast<double>(Limit);
}

void instance_directory::record(const node_record &Record) {
  known_gate &Gate = Gates[Record.Node];
  departed(Record.Node, Record.Departed);
  // After the former record was removed, a lower incarnation does not mean an
  // older process: the VM's wall clock was set back.
  if (Record.Incarnation < Gate.Record.Incarnation && !Gate.RecordRemovedAt)
    return;
  if (Record.Incarnation != Gate.Record.Incarnation) {
    Gate.Status.reset();
    Gate.DownUntil = instant();
    Gate.FailureShare = 0;
  }
  Gate.Record = Record;
  Gate.RecordRemovedAt.reset();
}

void instance_directory::markRecordRemoved(const std::string &Node,
                                           instant Now) {
  const auto Found = Gates.find(Node);
  if (Found != Gates.end() && !Found->second.RecordRemovedAt)
    Found->second.RecordRemovedAt = Now;
}

void instance_directory::relayedRecord(const node_record &Record,
                                       bool IsNewer) {
  if (IsNewer && Record.Node != Settings.OwnNode)
    record(Record);
}

std::vector<std::string>
instance_directory::nodesOfZone(const std::string &Zone) const {
  std::vector<std::string> Nodes;
  for (const auto &[Node, Gate] : Gates)
    if (Gate.Record.Zone == Zone && !Gate.RecordRemovedAt)
      Nodes.push_back(Node);
  return Nodes;
}

void instance_directory::replaceAll(const std::vector<node_record> &Records,
                                    instant Now) {
  for (auto &[Node, Gate] : Gates) {
    const bool IsListed = std::any_of(
        Records.begin(), Records.end(),
        [&Name = Node](const auto &Each) { return Each.Node == Name; });
    if (!IsListed && !Gate.RecordRemovedAt)
      Gate.RecordRemovedAt = Now;
  }
  for (const node_record &Record : Records)
    record(Record);
}

void instance_directory::markConnected(const std::string &Node,
                                       const peer_hello &Hello) {
  const auto Found = Gates.find(Node);
  if (Found == Gates.end())
    return;
  known_gate &Gate = Found->second;
  if (Hello.Self.Incarnation >= Gate.Record.Incarnation)
    Gate.Record = Hello.Self;
  departed(Node, Hello.Self.Departed);
  Gate.DownUntil = instant();
  status(Node, Hello.Gate);
}

void instance_directory::markDisconnected(const std::string &Node,
                                          instant Now) {
  const auto Found = Gates.find(Node);
  if (Found == Gates.end())
    return;
  Found->second.Status.reset();
  Found->second.DownUntil = Now + Settings.UnreachableAvoidTime;
}

void instance_directory::markUnresponsive(const std::string &Node,
                                          instant Now) {
  const auto Found = Gates.find(Node);
  if (Found != Gates.end())
    Found->second.DownUntil =
        std::max(Found->second.DownUntil, Now + Settings.UnresponsiveAvoidTime);
}

void instance_directory::markLeaving(const std::string &Node) {
  const auto Found = Gates.find(Node);
  if (Found != Gates.end())
    Found->second.DownUntil = instant::max();
}

void instance_directory::status(const std::string &Node,
                                const gate_status &Status) {
  const auto Found = Gates.find(Node);
  if (Found == Gates.end())
    return;
  Found->second.Status = Status;
  Found->second.InFlightAtStatus = Found->second.InFlight;
}

void instance_directory::departed(const std::string &Node,
                                  const std::optional<instance_run> &Run) {
  const auto Found = Gates.find(Node);
  if (Found == Gates.end() || !Run)
    return;
  std::optional<instance_run> &Known = Found->second.Departed;
  if (!Known || Known->StartedAt <= Run->StartedAt)
    Known = Run;
}

std::optional<instance_run>
instance_directory::departureOf(const std::string &Node) const {
  const known_gate *Gate = find(Node);
  return Gate == nullptr ? std::nullopt : Gate->Departed;
}

void instance_directory::attemptSent(const std::string &Node) {
  const auto Found = Gates.find(Node);
  if (Found != Gates.end())
    ++Found->second.InFlight;
}

void instance_directory::recordAttemptEnd(const std::string &Node,
                                          run_outcome Outcome, run_cause Cause,
                                          bool HasFailed, instant Now) {
  const auto Found = Gates.find(Node);
  if (Found == Gates.end())
    return;
  known_gate &Gate = Found->second;
  Gate.InFlight -= std::min<std::uint32_t>(Gate.InFlight, 1);
  if (Outcome == run_outcome::NotRun && Cause != run_cause::Cancelled) {
    Gate.RefusedUntil = Now + Settings.RefusalAvoidTime;
    return;
  }
  Gate.FailureShare +=
      FailureWeight * ((HasFailed ? 1.0 : 0.0) - Gate.FailureShare);
}

double instance_directory::cost(const known_gate &Gate, instant Now) {
  const double Load = Gate.load();
  double Cost = Load + BusySlope * std::max(0.0, Load - BusyLoad);
  if (Gate.Record.Zone != Settings.OwnZone)
    Cost += Settings.ZonePreference;
  Cost += FailureCost * Gate.FailureShare;
  if (Now < Gate.RefusedUntil || (Gate.Status && !Gate.Status->IsReachable))
    Cost += RefusedCost;
  if (Now < Gate.DownUntil)
    Cost += DownCost;
  return Cost + Jitter * Random.unit();
}

const known_gate *
instance_directory::choose(const std::string &Service,
                           const std::vector<std::string> &Excluded,
                           instant Now) {
  const known_gate *Best = nullptr;
  double BestCost = 0;
  for (const auto &[Node, Gate] : Gates) {
    if (Gate.Record.Service != Service || !Gate.acceptsRequests() ||
        std::find(Excluded.begin(), Excluded.end(), Node) != Excluded.end())
      continue;
    const double Cost = cost(Gate, Now);
    if (Best == nullptr || Cost < BestCost) {
      Best = &Gate;
      BestCost = Cost;
    }
  }
  return Best;
}

const known_gate *instance_directory::find(const std::string &Node) const {
  const auto Found = Gates.find(Node);
  return Found == Gates.end() ? nullptr : &Found->second;
}

} // namespace clementine::proxy
