#include "virtual_mesh.h"

#include <set>
#include <utility>

namespace clementine::proxy::test {

using namespace std::chrono_literals;

namespace {

constexpr std::chrono::microseconds OneWayDelay{1000};
constexpr std::chrono::microseconds InTransitDelay{500};
constexpr std::chrono::milliseconds ConnectTime{2};
constexpr std::chrono::milliseconds ConnectTimeout{50};
constexpr std::chrono::milliseconds RunTime{20};
constexpr std::chrono::milliseconds IntoRunDelay{5};
constexpr std::chrono::milliseconds FillerRunTime{30};
constexpr std::chrono::milliseconds UnresponsiveAfter{60};
constexpr std::chrono::milliseconds LinkTimeout{180};
constexpr std::chrono::milliseconds FrozenTime{250};
constexpr std::chrono::milliseconds Tick{1};
constexpr std::chrono::seconds SimulatedTime{2};
constexpr std::uint64_t EntryLink = 7;
constexpr std::uint64_t FillerLink = 8;
constexpr std::uint64_t FillerHigh = 99;
constexpr std::uint32_t Slots = 2;
constexpr std::size_t Fillers = 2;
constexpr unsigned Ok = 200;

const header_names Names{"X-Id",     "X-Wait", "X-Proof",
                         "X-Expect", "X-Not",  "X-From"};

} // namespace

/// A gate with its instance and the forwarder's link to it.
struct virtual_mesh::gate_node final : gate_port {
  gate_node(virtual_mesh &Mesh, std::string Name)
      : Mesh(Mesh), Name(std::move(Name)) {
    startProcess();
  }

  void startProcess() {
    Gate.reset();
    Registration = std::make_unique<instance_registration>(
        "svc", endpoint{"127.0.0.1", 80});
    Gate = std::make_unique<instance_gate>(instance_gate_settings{},
                                           *Registration, *this);
    Registration->report({"i",
                          "svc",
                          "z",
                          {"127.0.0.1", 80},
                          instance_state::Ready,
                          Slots,
                          {},
                          100,
                          1});
    Gate->instanceChanged(Mesh.Now);
  }

  node_record record() const {
    return {Name, Incarnation, "z", {"127.0.0.1", 1}, "svc", "i", Slots};
  }

  void callInstance(instance_call Call) override { Mesh.startRun(*this, Call); }
  void abortInstance(const attempt_id &Attempt) override {
    ActiveRuns.erase(Attempt);
  }
  void report(std::uint64_t Link, run_report Report) override {
    if (Link != EntryLink)
      return;
    const bool IsAnswer = Report.Outcome == run_outcome::Completed;
    Mesh.deliverToEntry(*this, [this, Report] {
      Mesh.Forwarder->handleReport(Name, Report, Mesh.Now);
    });
    if (IsAnswer)
      Mesh.stepReached(attempt_step::AnswerInTransit, *this, InTransitDelay);
  }

  virtual_mesh &Mesh;
  const std::string Name;
  std::uint64_t Incarnation = 1;
  std::unique_ptr<instance_registration> Registration;
  std::unique_ptr<instance_gate> Gate;
  std::set<attempt_id> ActiveRuns;
  bool IsDeregistered = false;
  bool IsUnreachable = false;
  bool IsUp = false;
  bool IsConnecting = false;
  bool CanConnect = true;
  bool DropsMessages = false;
  instant FrozenUntil;
  /// Incremented when the link is lost, so that its messages in transit are
  /// discarded.
  std::uint64_t Epoch = 0;
};

virtual_mesh::virtual_mesh(bool IsIdempotent, std::vector<planned_fault> Plan)
    : Plan(std::move(Plan)) {
  for (const char *Name : {"a", "b", "c"}) {
    Nodes[Name] = std::make_unique<gate_node>(*this, Name);
    Directory.record(Nodes[Name]->record());
  }
  forward_port &Port = *this;
  Forwarder = std::make_unique<forwarder>(forwarder_settings{"e", "home", {}},
                                          Names, Directory, Port, Random);
  auto Config = std::make_shared<routing_config>();
  Config->Version = 1;
  Config->Routes.push_back({"r",
                            "h",
                            "/",
                            IsIdempotent,
                            Timeout,
                            Timeout,
                            0,
                            MaxAttempts,
                            {{"svc", 1}}});
  Forwarder->setConfig(Config);
}

virtual_mesh::~virtual_mesh() = default;

mesh_outcome virtual_mesh::run() {
  DeadlineAt = Now + Timeout;
  request Request;
  Request.Method = "POST";
  Request.Target = "/x";
  Request.Headers = {{"Host", "h"}, {"X-Id", "id"}};
  Forwarder->begin(1, Request, Now);
  // DeadlinePassed advances Now by Timeout; the simulated time allows for that.
  for (const instant End = Now + SimulatedTime; Now < End; Now += Tick) {
    while (!Events.empty() && Events.begin()->first <= Now) {
      const task Work = std::move(Events.begin()->second);
      Events.erase(Events.begin());
      Work();
    }
    passTime();
  }
  Outcome.Unfinished = Forwarder->active();
  for (const auto &[Name, Node] : Nodes)
    Outcome.Unfinished += Node->Gate->active();
  return Outcome;
}

void virtual_mesh::passTime() {
  Forwarder->passTime(Now);
  for (const auto &[Name, Node] : Nodes)
    if (Now >= Node->FrozenUntil)
      Node->Gate->passTime(Now);
}

void virtual_mesh::after(duration Delay, task Work) {
  Events.emplace(Now + Delay, std::move(Work));
}

virtual_mesh::gate_node &virtual_mesh::nodeOf(const std::string &Name) {
  return *Nodes.at(Name);
}

/// A frozen node processes what it received once it resumes.
void virtual_mesh::deliverToGate(gate_node &Node, task Work) {
  const std::uint64_t Incarnation = Node.Incarnation;
  const std::uint64_t Epoch = Node.Epoch;
  after(OneWayDelay, [this, &Node, Incarnation, Epoch, Work = std::move(Work)] {
    if (Node.DropsMessages || Node.Incarnation != Incarnation ||
        Node.Epoch != Epoch)
      return;
    if (Now >= Node.FrozenUntil)
      return Work();
    // It has been received, so losing the link no longer matters.
    after(Node.FrozenUntil - Now, Work);
  });
}

void virtual_mesh::deliverToEntry(gate_node &Node, task Work) {
  const std::uint64_t Epoch = Node.Epoch;
  after(OneWayDelay, [&Node, Epoch, Work = std::move(Work)] {
    if (!Node.DropsMessages && Node.Epoch == Epoch && Node.IsUp)
      Work();
  });
}

bool virtual_mesh::openLink(const node_record &Target) {
  gate_node &Node = nodeOf(Target.Node);
  if (!Node.IsUp && !Node.IsConnecting) {
    connect(Node);
    stepReached(attempt_step::Connecting, Node, InTransitDelay);
  }
  return Node.IsUp;
}

void virtual_mesh::connect(gate_node &Node) {
  Node.IsConnecting = true;
  const duration Frozen = std::max<duration>(Node.FrozenUntil - Now, 0ms);
  after(ConnectTime + Frozen, [this, &Node] { connected(Node); });
}

void virtual_mesh::connected(gate_node &Node) {
  if (!Node.IsConnecting)
    return;
  if (!Node.CanConnect)
    return after(ConnectTimeout, [this, &Node] {
      Node.IsConnecting = false;
      Forwarder->linkDown(Node.Name, false, Now);
    });
  Node.IsConnecting = false;
  Node.IsUp = true;
  Directory.record(Node.record());
  Forwarder->linkUp(Node.Name, Node.Incarnation, Now);
}

void virtual_mesh::closeLink(gate_node &Node) {
  ++Node.Epoch;
  const bool WasUp = std::exchange(Node.IsUp, false);
  if (WasUp || std::exchange(Node.IsConnecting, false))
    Forwarder->linkDown(Node.Name, WasUp, Now);
}

void virtual_mesh::send(const std::string &Name, peer_message Message) {
  gate_node &Node = nodeOf(Name);
  if (!Node.IsUp)
    return;
  if (std::holds_alternative<attempt_request>(Message))
    stepReached(attempt_step::OrderInTransit, Node, InTransitDelay);
  deliverToGate(Node, [this, &Node, Message = std::move(Message)] {
    if (const auto *AttemptRequest = std::get_if<attempt_request>(&Message))
      receiveOrder(Node, *AttemptRequest);
    else if (const auto *Query = std::get_if<run_query>(&Message))
      Node.Gate->query(EntryLink, *Query, Now);
    else if (const auto *Cancel = std::get_if<run_cancel>(&Message))
      Node.Gate->cancel(*Cancel, Now);
  });
}

void virtual_mesh::receiveOrder(gate_node &Node,
                                attempt_request AttemptRequest) {
  if (isNextStep(attempt_step::Queued))
    occupySlots(Node);
  Node.Gate->order(EntryLink, std::move(AttemptRequest), Now);
  stepReached(attempt_step::Queued, Node, IntoRunDelay);
}

void virtual_mesh::answer(call_number, response Response) {
  Outcome.Statuses.push_back(Response.Status);
  Outcome.Overrun = std::max<duration>(Now - DeadlineAt, 0ms);
}

/// Occupies all slots, so that the next run is queued.
void virtual_mesh::occupySlots(gate_node &Node) {
  for (std::uint64_t Filler = 0; Filler < Fillers; ++Filler) {
    attempt_request AttemptRequest;
    AttemptRequest.Attempt = {FillerHigh, Filler};
    AttemptRequest.Service = "svc";
    AttemptRequest.TimeLeftMicroseconds = 1000000;
    Node.Gate->order(FillerLink, AttemptRequest, Now);
  }
}

void virtual_mesh::startRun(gate_node &Node, const instance_call &Call) {
  const attempt_id Attempt = Call.Attempt;
  const bool IsFiller = Attempt.High == FillerHigh;
  if (Node.IsUnreachable) {
    instance_result Result;
    Result.Cause = run_cause::Unreachable;
    return after(0ms, [this, &Node, Attempt, Result] {
      Node.Gate->instanceEnded(Attempt, Result, Now);
    });
  }
  Node.ActiveRuns.insert(Attempt);
  if (!IsFiller) {
    Outcome.Runs.push_back(Node.Name);
    Outcome.RunsAfterDeregistration += Node.IsDeregistered ? 1 : 0;
  }
  instance_result Result;
  Result.Outcome = run_outcome::Completed;
  Result.ReachedInstance = true;
  Result.Response.Status = Ok;
  const std::uint64_t Incarnation = Node.Incarnation;
  after(IsFiller ? FillerRunTime : RunTime,
        [this, &Node, Attempt, Result, Incarnation, IsFiller] {
          if (!IsFiller)
            ++Outcome.CompletedRuns;
          if (Node.Incarnation == Incarnation)
            endRun(Node, Attempt, Result);
        });
  if (!IsFiller)
    stepReached(attempt_step::Running, Node, IntoRunDelay);
}

void virtual_mesh::endRun(gate_node &Node, const attempt_id &Attempt,
                          instance_result Result) {
  if (Now < Node.FrozenUntil)
    return after(Node.FrozenUntil - Now, [this, &Node, Attempt, Result] {
      endRun(Node, Attempt, Result);
    });
  if (Node.ActiveRuns.erase(Attempt) != 0)
    Node.Gate->instanceEnded(Attempt, std::move(Result), Now);
}

bool virtual_mesh::isNextStep(attempt_step Step) const {
  return Outcome.FaultsInjected < Plan.size() &&
         Plan[Outcome.FaultsInjected].Step == Step;
}

void virtual_mesh::stepReached(attempt_step Step, gate_node &Node,
                               duration Delay) {
  if (!isNextStep(Step))
    return;
  const mesh_fault Fault = Plan[Outcome.FaultsInjected++].Fault;
  after(Delay, [this, &Node, Fault] { injectFault(Fault, Node); });
}

void virtual_mesh::injectFault(mesh_fault Fault, gate_node &Node) {
  switch (Fault) {
  case mesh_fault::LinkReset:
    return closeLink(Node);
  case mesh_fault::LinkCut:
    Node.CanConnect = false;
    return closeLink(Node);
  case mesh_fault::LinkUnresponsive:
    Node.DropsMessages = true;
    Node.CanConnect = false;
    return stopResponding(Node);
  case mesh_fault::NodeKilled:
    ++Node.Incarnation;
    Node.ActiveRuns.clear();
    Node.startProcess();
    return closeLink(Node);
  case mesh_fault::NodeFrozen:
    Node.FrozenUntil = Now + FrozenTime;
    return stopResponding(Node);
  case mesh_fault::InstanceFails:
    return failInstance(Node);
  case mesh_fault::InstanceDeregisters:
    Node.Registration->deregister("i", 100);
    Node.Gate->instanceChanged(Now);
    Node.IsDeregistered = true;
    return deliverToEntry(Node, [this, &Node] {
      Directory.status(Node.Name, Node.Gate->status(Now));
    });
  case mesh_fault::CallerDisconnects:
    Outcome.CallerDisconnected = true;
    return Forwarder->callerDisconnected(1, Now);
  case mesh_fault::DeadlinePassed:
    Now += Timeout;
    DeadlineAt = std::max(DeadlineAt, Now);
    return;
  }
}

void virtual_mesh::stopResponding(gate_node &Node) {
  const std::uint64_t Epoch = Node.Epoch;
  after(UnresponsiveAfter, [this, &Node, Epoch] {
    if (Node.Epoch != Epoch)
      return;
    Directory.markUnresponsive(Node.Name, Now);
    Forwarder->linkUnresponsive(Node.Name, Now);
  });
  after(LinkTimeout, [this, &Node, Epoch] {
    if (Node.Epoch == Epoch)
      closeLink(Node);
  });
}

void virtual_mesh::failInstance(gate_node &Node) {
  Node.IsUnreachable = true;
  after(ConnectTimeout, [&Node] { Node.IsUnreachable = false; });
  instance_result Result;
  Result.Outcome = run_outcome::Unknown;
  Result.Cause = run_cause::NoValidResponse;
  Result.ReachedInstance = true;
  for (const attempt_id &Attempt : std::set<attempt_id>(Node.ActiveRuns))
    endRun(Node, Attempt, Result);
}

} // namespace clementine::proxy::test
