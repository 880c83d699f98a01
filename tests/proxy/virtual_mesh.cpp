#include "virtual_mesh.h"

#include <set>
#include <utility>

namespace clementine::proxy::test {

using namespace std::chrono_literals;

namespace {

constexpr std::chrono::microseconds OneWay{1000};
constexpr std::chrono::microseconds OnTheWay{500};
constexpr std::chrono::milliseconds DialTime{2};
constexpr std::chrono::milliseconds DialPatience{50};
constexpr std::chrono::milliseconds Work{20};
constexpr std::chrono::milliseconds IntoWork{5};
constexpr std::chrono::milliseconds FillerWork{30};
constexpr std::chrono::milliseconds SuspectAfter{60};
constexpr std::chrono::milliseconds SilenceLimit{180};
constexpr std::chrono::milliseconds FrozenTime{250};
constexpr std::chrono::milliseconds Tick{1};
constexpr std::chrono::seconds Span{2};
constexpr std::uint64_t EntryLink = 7;
constexpr std::uint64_t FillerLink = 8;
constexpr std::uint64_t FillerHigh = 99;
constexpr std::uint32_t Slots = 2;
constexpr std::size_t Fillers = 2;
constexpr unsigned Ok = 200;

const header_names Names{"X-Id",     "X-Wait", "X-Proof",
                         "X-Expect", "X-Not",  "X-From"};

} // namespace

/// A gate with its instance and the entry's link to it.
struct virtual_mesh::gate_node final : gate_port {
  gate_node(virtual_mesh &Mesh, std::string Name)
      : Mesh(Mesh), Name(std::move(Name)) {
    begin();
  }

  void begin() {
    Gate.reset();
    Book = std::make_unique<instance_book>("svc", endpoint{"127.0.0.1", 80});
    Gate =
        std::make_unique<instance_gate>(instance_gate_settings{}, *Book, *this);
    Book->report({"i",
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
    Working.erase(Attempt);
  }
  void report(std::uint64_t Link, run_report Report) override {
    if (Link != EntryLink)
      return;
    const bool IsAnswer = Report.Outcome == run_outcome::Completed;
    Mesh.toEntry(*this, [this, Report] {
      Mesh.Forwarder->reported(Name, Report, Mesh.Now);
    });
    if (IsAnswer)
      Mesh.reached(attempt_step::AnswerOnWay, *this, OnTheWay);
  }

  virtual_mesh &Mesh;
  const std::string Name;
  std::uint64_t Incarnation = 1;
  std::unique_ptr<instance_book> Book;
  std::unique_ptr<instance_gate> Gate;
  std::set<attempt_id> Working;
  bool HasLeft = false;
  bool IsUnreachable = false;
  bool IsUp = false;
  bool IsDialling = false;
  bool CanDial = true;
  bool IsSilent = false;
  instant FrozenUntil;
  /// Tells the messages of one link from those of the next.
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
  LimitAt = Now + Timeout;
  request Request;
  Request.Method = "POST";
  Request.Target = "/x";
  Request.Headers = {{"Host", "h"}, {"X-Id", "id"}};
  Forwarder->begin(1, Request, Now);
  // A jump of the clock moves Now; the end is far behind any.
  for (const instant End = Now + Span; Now < End; Now += Tick) {
    while (!Events.empty() && Events.begin()->first <= Now) {
      const task Work = std::move(Events.begin()->second);
      Events.erase(Events.begin());
      Work();
    }
    passTime();
  }
  Outcome.LeftOver = Forwarder->active();
  for (const auto &[Name, Node] : Nodes)
    Outcome.LeftOver += Node->Gate->active();
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

/// What is sent to a node that stands still is read when it goes on.
void virtual_mesh::toGate(gate_node &Node, task Work) {
  const std::uint64_t Incarnation = Node.Incarnation;
  const std::uint64_t Epoch = Node.Epoch;
  after(OneWay, [this, &Node, Incarnation, Epoch, Work = std::move(Work)] {
    if (Node.IsSilent || Node.Incarnation != Incarnation || Node.Epoch != Epoch)
      return;
    if (Now >= Node.FrozenUntil)
      return Work();
    // It has been received, whatever becomes of the link.
    after(Node.FrozenUntil - Now, Work);
  });
}

void virtual_mesh::toEntry(gate_node &Node, task Work) {
  const std::uint64_t Epoch = Node.Epoch;
  after(OneWay, [&Node, Epoch, Work = std::move(Work)] {
    if (!Node.IsSilent && Node.Epoch == Epoch && Node.IsUp)
      Work();
  });
}

bool virtual_mesh::openLink(const node_record &Target) {
  gate_node &Node = nodeOf(Target.Node);
  if (!Node.IsUp && !Node.IsDialling) {
    dial(Node);
    reached(attempt_step::Dialling, Node, OnTheWay);
  }
  return Node.IsUp;
}

void virtual_mesh::dial(gate_node &Node) {
  Node.IsDialling = true;
  const duration Frozen = std::max<duration>(Node.FrozenUntil - Now, 0ms);
  after(DialTime + Frozen, [this, &Node] { dialled(Node); });
}

void virtual_mesh::dialled(gate_node &Node) {
  if (!Node.IsDialling)
    return;
  if (!Node.CanDial)
    return after(DialPatience, [this, &Node] {
      Node.IsDialling = false;
      Forwarder->linkDown(Node.Name, false, Now);
    });
  Node.IsDialling = false;
  Node.IsUp = true;
  Directory.record(Node.record());
  Forwarder->linkUp(Node.Name, Node.Incarnation, Now);
}

void virtual_mesh::loseLink(gate_node &Node) {
  ++Node.Epoch;
  const bool WasUp = std::exchange(Node.IsUp, false);
  if (WasUp || std::exchange(Node.IsDialling, false))
    Forwarder->linkDown(Node.Name, WasUp, Now);
}

void virtual_mesh::send(const std::string &Name, peer_message Message) {
  gate_node &Node = nodeOf(Name);
  if (!Node.IsUp)
    return;
  if (std::holds_alternative<attempt_request>(Message))
    reached(attempt_step::OrderOnWay, Node, OnTheWay);
  toGate(Node, [this, &Node, Message = std::move(Message)] {
    if (const auto *AttemptRequest = std::get_if<attempt_request>(&Message))
      takeOrder(Node, *AttemptRequest);
    else if (const auto *Query = std::get_if<run_query>(&Message))
      Node.Gate->query(EntryLink, *Query, Now);
    else if (const auto *Cancel = std::get_if<run_cancel>(&Message))
      Node.Gate->cancel(*Cancel, Now);
  });
}

void virtual_mesh::takeOrder(gate_node &Node, attempt_request AttemptRequest) {
  if (isNext(attempt_step::Queued))
    fill(Node);
  Node.Gate->order(EntryLink, std::move(AttemptRequest), Now);
  reached(attempt_step::Queued, Node, IntoWork);
}

void virtual_mesh::answer(call_number, response Response) {
  Outcome.Statuses.push_back(Response.Status);
  Outcome.Overrun = std::max<duration>(Now - LimitAt, 0ms);
}

/// Takes all slots, so that what comes next has to wait.
void virtual_mesh::fill(gate_node &Node) {
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
  Node.Working.insert(Attempt);
  if (!IsFiller) {
    Outcome.Runs.push_back(Node.Name);
    Outcome.RunsAfterLeaving += Node.HasLeft ? 1 : 0;
  }
  instance_result Result;
  Result.Outcome = run_outcome::Completed;
  Result.ReachedInstance = true;
  Result.Response.Status = Ok;
  const std::uint64_t Incarnation = Node.Incarnation;
  after(IsFiller ? FillerWork : Work,
        [this, &Node, Attempt, Result, Incarnation, IsFiller] {
          if (!IsFiller)
            ++Outcome.CompletedRuns;
          if (Node.Incarnation == Incarnation)
            endRun(Node, Attempt, Result);
        });
  if (!IsFiller)
    reached(attempt_step::Running, Node, IntoWork);
}

void virtual_mesh::endRun(gate_node &Node, const attempt_id &Attempt,
                          instance_result Result) {
  if (Now < Node.FrozenUntil)
    return after(Node.FrozenUntil - Now, [this, &Node, Attempt, Result] {
      endRun(Node, Attempt, Result);
    });
  if (Node.Working.erase(Attempt) != 0)
    Node.Gate->instanceEnded(Attempt, std::move(Result), Now);
}

bool virtual_mesh::isNext(attempt_step Step) const {
  return Outcome.Struck < Plan.size() && Plan[Outcome.Struck].Step == Step;
}

void virtual_mesh::reached(attempt_step Step, gate_node &Node, duration Delay) {
  if (!isNext(Step))
    return;
  const mesh_fault Fault = Plan[Outcome.Struck++].Fault;
  after(Delay, [this, &Node, Fault] { strike(Fault, Node); });
}

void virtual_mesh::strike(mesh_fault Fault, gate_node &Node) {
  switch (Fault) {
  case mesh_fault::LinkReset:
    return loseLink(Node);
  case mesh_fault::LinkCut:
    Node.CanDial = false;
    return loseLink(Node);
  case mesh_fault::LinkSilent:
    Node.IsSilent = true;
    Node.CanDial = false;
    return fallSilent(Node);
  case mesh_fault::NodeKilled:
    ++Node.Incarnation;
    Node.Working.clear();
    Node.begin();
    return loseLink(Node);
  case mesh_fault::NodeFrozen:
    Node.FrozenUntil = Now + FrozenTime;
    return fallSilent(Node);
  case mesh_fault::InstanceBreaks:
    return breakOff(Node);
  case mesh_fault::InstanceLeaves:
    Node.Book->deregister("i", 100);
    Node.Gate->instanceChanged(Now);
    Node.HasLeft = true;
    return toEntry(Node, [this, &Node] {
      Directory.status(Node.Name, Node.Gate->status(Now));
    });
  case mesh_fault::CallerLeaves:
    Outcome.CallerLeft = true;
    return Forwarder->callerGone(1, Now);
  case mesh_fault::TimeIsUp:
    Now += Timeout;
    LimitAt = std::max(LimitAt, Now);
    return;
  }
}

void virtual_mesh::fallSilent(gate_node &Node) {
  const std::uint64_t Epoch = Node.Epoch;
  after(SuspectAfter, [this, &Node, Epoch] {
    if (Node.Epoch != Epoch)
      return;
    Directory.silent(Node.Name, Now);
    Forwarder->linkSilent(Node.Name, Now);
  });
  after(SilenceLimit, [this, &Node, Epoch] {
    if (Node.Epoch == Epoch)
      loseLink(Node);
  });
}

void virtual_mesh::breakOff(gate_node &Node) {
  Node.IsUnreachable = true;
  after(DialPatience, [&Node] { Node.IsUnreachable = false; });
  instance_result Result;
  Result.Outcome = run_outcome::Unknown;
  Result.Cause = run_cause::NoValidResponse;
  Result.ReachedInstance = true;
  for (const attempt_id &Attempt : std::set<attempt_id>(Node.Working))
    endRun(Node, Attempt, Result);
}

} // namespace clementine::proxy::test
