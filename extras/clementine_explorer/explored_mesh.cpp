#include "clementine_explorer/explored_mesh.h"

#include <algorithm>
#include <utility>

namespace clementine::explorer {

using namespace proxy;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds Timeout{1000};
/// Longer than a gate keeps a response.
constexpr std::chrono::hours PastRetention{1};
constexpr std::size_t KeptRuns = 2;
constexpr std::uint32_t MaxAttempts = 2;
constexpr unsigned Ok = 200;
constexpr unsigned MaxTimeouts = 50;
const header_names Names{"X-Id",     "X-Wait", "X-Proof",
                         "X-Expect", "X-Not",  "X-From"};
constexpr std::array<const char *, 2> GateNames = {"a", "b"};

std::size_t indexOf(step_kind Kind) { return static_cast<std::size_t>(Kind); }

bool isFault(step_kind Kind) {
  return Kind == step_kind::Cut || Kind == step_kind::FailToConnect ||
         Kind == step_kind::Silent || Kind == step_kind::RestartGate ||
         Kind == step_kind::RestartEntry || Kind == step_kind::Depart;
}

std::size_t gateOf(const std::string &Node) {
  return Node == GateNames[0] ? 0 : 1;
}

std::shared_ptr<const routing_config> configOf(bool IsIdempotent) {
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
  return Config;
}

instance_gate_settings gateSettings() {
  instance_gate_settings Settings;
  Settings.EndedRuns.MaxRuns = KeptRuns;
  return Settings;
}

} // namespace

/// One process of a gate and its instance.
struct explored_mesh::gate_process final : gate_port {
  gate_process(explored_mesh &Mesh, std::size_t Number,
               std::uint64_t Incarnation)
      : Mesh(Mesh), Number(Number), Incarnation(Incarnation) {
    Registration.report({"i",
                         "svc",
                         "z",
                         {"127.0.0.1", 80},
                         instance_state::Ready,
                         1,
                         {},
                         100,
                         1});
    Gate.instanceChanged(Mesh.Now);
  }

  node_record record() const {
    return {GateNames.at(Number),
            Incarnation,
            "z",
            {"127.0.0.1", 1},
            "svc",
            "i",
            1};
  }
  void callInstance(instance_call Call) override {
    Running.push_back(Call.Attempt);
    Mesh.started(Call);
  }
  void abortInstance(const attempt_id &Attempt) override {
    std::erase(Running, Attempt);
  }
  void report(std::uint64_t Link, run_report Report) override {
    Mesh.report(Link, std::move(Report));
  }
  void complete() {
    instance_result Result;
    Result.Outcome = run_outcome::Completed;
    Result.ReachedInstance = true;
    Result.Response.Status = Ok;
    const attempt_id Attempt = Running.front();
    Running.erase(Running.begin());
    Gate.instanceEnded(Attempt, std::move(Result), Mesh.Now);
  }
  void depart() {
    HasDeparted = true;
    Registration.deregister("i", 100);
    Gate.instanceChanged(Mesh.Now);
  }

  explored_mesh &Mesh;
  const std::size_t Number;
  const std::uint64_t Incarnation;
  std::vector<attempt_id> Running;
  bool HasDeparted = false;
  std::uint64_t History = 0;
  instance_registration Registration{"svc", {"127.0.0.1", 80}};
  instance_gate Gate{gateSettings(), Registration, *this};
};

explored_mesh::explored_mesh(const exploration_settings &Settings)
    : Settings(Settings), UpLinks(GateNames.size()),
      Connecting(GateNames.size()) {
  Links.reserve(16);
  for (std::size_t Gate = 0; Gate < GateNames.size(); ++Gate)
    Gates.push_back(std::make_unique<gate_process>(*this, Gate, 1));
  startEntry();
  for (std::size_t Gate = 0; Gate < GateNames.size(); ++Gate)
    connect(Gate);
}

explored_mesh::~explored_mesh() = default;

void explored_mesh::startEntry() {
  ++Incarnation;
  Forwarder.reset();
  Random = std::make_unique<seeded_random>(Incarnation);
  Directory = std::make_unique<instance_directory>(directory_settings{"e", "z"},
                                                   *Random);
  for (const auto &Gate : Gates)
    Directory->record(Gate->record());
  forwarder_settings Entry;
  Entry.OwnNode = "e";
  Entry.OwnService = "home";
  Entry.Incarnation = Incarnation;
  forward_port &Port = *this;
  Forwarder =
      std::make_unique<forwarder>(Entry, Names, *Directory, Port, *Random);
  Forwarder->setConfig(configOf(Settings.IsIdempotent));
}

/// Nothing is at stake before the first request.
bool explored_mesh::mayHappen(step Step) const {
  if (Step.Kind == step_kind::Begin)
    return RequestByCall.size() < Settings.Requests;
  if (Step.Kind == step_kind::Forget)
    return Forgettings < Settings.Forgettings &&
           Gates[Step.Target]->History != 0;
  return !RequestByCall.empty() &&
         (!isFault(Step.Kind) || Faults < Settings.Faults);
}

std::vector<step> explored_mesh::steps() const {
  std::vector<step> All;
  All.push_back({step_kind::Begin});
  for (std::size_t Number = 0; Number < Links.size(); ++Number)
    if (!Links[Number].ToGate.empty() && !Links[Number].IsDead)
      All.push_back(
          {step_kind::ArriveAtGate, static_cast<std::uint8_t>(Number)});
  constexpr auto GateCount = static_cast<std::uint8_t>(GateNames.size());
  for (std::uint8_t Gate = 0; Gate < GateCount; ++Gate)
    addGateSteps(Gate, All);
  All.push_back({step_kind::RestartEntry});
  if (Forwarder->nextWake())
    All.push_back({step_kind::PassTime});
  std::erase_if(All, [this](step Each) { return !mayHappen(Each); });
  return All;
}

void explored_mesh::addGateSteps(std::uint8_t Gate,
                                 std::vector<step> &Steps) const {
  if (UpLinks[Gate]) {
    if (!Links[*UpLinks[Gate]].ToEntry.empty())
      Steps.push_back({step_kind::ArriveAtEntry, Gate});
    Steps.push_back({step_kind::Cut, Gate});
    Steps.push_back({step_kind::Silent, Gate});
  }
  if (Connecting[Gate]) {
    Steps.push_back({step_kind::Connect, Gate});
    Steps.push_back({step_kind::FailToConnect, Gate});
  }
  if (!Gates[Gate]->Running.empty())
    Steps.push_back({step_kind::Complete, Gate});
  if (!Gates[Gate]->HasDeparted)
    Steps.push_back({step_kind::Depart, Gate});
  Steps.push_back({step_kind::Forget, Gate});
  Steps.push_back({step_kind::RestartGate, Gate});
}

void explored_mesh::received(std::uint64_t &History, step Step) const {
  constexpr std::uint64_t Multiplier = 0x9e3779b97f4a7c15ULL;
  History =
      (History ^ (indexOf(Step.Kind) * 256 + Step.Target + 1)) * Multiplier;
  History ^= History >> 29U;
}

std::uint64_t explored_mesh::fingerprint() const {
  std::uint64_t Print = EntryHistory;
  for (const auto &Gate : Gates)
    Print = (Print ^ (Print >> 31U)) * 0xbf58476d1ce4e5b9ULL + Gate->History;
  return Print;
}

void explored_mesh::apply(step Step) {
  Faults += isFault(Step.Kind) ? 1 : 0;
  const std::size_t Target = Step.Target;
  switch (Step.Kind) {
  case step_kind::Begin:
    received(EntryHistory, Step);
    return begin();
  case step_kind::ArriveAtGate:
    received(Gates[Links[Target].Gate]->History, Step);
    return arriveAtGate(Links[Target], Target);
  case step_kind::ArriveAtEntry:
    received(EntryHistory, Step);
    return arriveAtEntry(Target);
  case step_kind::Complete:
    received(Gates[Target]->History, Step);
    return Gates[Target]->complete();
  case step_kind::Cut:
    received(EntryHistory, Step);
    return closeLink(Target);
  case step_kind::Connect:
    // The hello tells the state of the gate.
    received(EntryHistory, Step);
    EntryHistory ^= Gates[Target]->History;
    return connect(Target);
  case step_kind::FailToConnect:
    received(EntryHistory, Step);
    Connecting[Target] = false;
    return Forwarder->linkDown(GateNames.at(Target), false, Now);
  case step_kind::Silent:
    received(EntryHistory, Step);
    Directory->markUnresponsive(GateNames.at(Target), Now);
    return Forwarder->linkUnresponsive(GateNames.at(Target), Now);
  case step_kind::Forget:
    received(Gates[Target]->History, Step);
    return forget(Target);
  case step_kind::RestartGate:
    received(Gates[Target]->History, Step);
    received(EntryHistory, Step);
    return restartGate(Target);
  case step_kind::RestartEntry:
    received(EntryHistory, Step);
    for (std::size_t Gate = 0; Gate < Gates.size(); ++Gate) {
      Connecting[Gate] = false;
      if (const auto Up = std::exchange(UpLinks[Gate], std::nullopt))
        Links[*Up].IsUp = false;
    }
    return startEntry();
  case step_kind::Depart:
    received(Gates[Target]->History, Step);
    return Gates[Target]->depart();
  case step_kind::PassTime:
    received(EntryHistory, Step);
    for (const auto &Gate : Gates)
      received(Gate->History, Step);
    return passTime();
  }
}

void explored_mesh::begin() {
  const call_number Call = RequestByCall.size() + 1;
  const std::string Id = "id-" + std::to_string(Call);
  RequestByCall[Call] = Id;
  Requests[Id].Entry = Incarnation;
  request Request;
  Request.Method = "POST";
  Request.Target = "/x";
  Request.Headers = {{"Host", "h"}, {"X-Id", Id}};
  Forwarder->begin(Call, std::move(Request), Now);
}

void explored_mesh::arriveAtGate(link &Link, std::uint64_t Number) {
  const peer_message Message = std::move(Link.ToGate.front());
  Link.ToGate.pop_front();
  instance_gate &Gate = Gates[Link.Gate]->Gate;
  const std::uint64_t From = Number + 1;
  if (const auto *Order = std::get_if<attempt_request>(&Message))
    Gate.order(From, *Order, Now);
  else if (const auto *Query = std::get_if<run_query>(&Message))
    Gate.query(From, *Query, Now);
  else if (const auto *Cancel = std::get_if<run_cancel>(&Message))
    Gate.cancel(*Cancel, Now);
}

void explored_mesh::arriveAtEntry(std::size_t Gate) {
  link &Link = Links[*UpLinks[Gate]];
  peer_message Message = std::move(Link.ToEntry.front());
  Link.ToEntry.pop_front();
  Forwarder->handleReport(GateNames.at(Gate),
                          std::get<run_report>(std::move(Message)), Now);
}

void explored_mesh::connect(std::size_t Gate) {
  Connecting[Gate] = false;
  UpLinks[Gate] = Links.size();
  Links.emplace_back().Gate = Gate;
  const gate_process &Process = *Gates[Gate];
  peer_hello Hello;
  Hello.Self = Process.record();
  Hello.Gate = Process.Gate.status(Now);
  Directory->markConnected(Hello.Self.Node, Hello);
  Forwarder->linkUp(Hello.Self.Node, Process.Incarnation, Now);
}

void explored_mesh::closeLink(std::size_t Gate) {
  link &Link = Links[*UpLinks[Gate]];
  Link.IsUp = false;
  Link.ToEntry.clear();
  UpLinks[Gate].reset();
  Forwarder->linkDown(GateNames.at(Gate), true, Now);
}

/// An order of another entry, which the gate refuses and stores.
void explored_mesh::forget(std::size_t Gate) {
  ++Forgettings;
  attempt_request Filler;
  Filler.Attempt = {0, ++Fillers};
  Filler.Service = "other";
  Filler.Origin = {"filler", 1, Fillers};
  Gates[Gate]->Gate.order(~std::uint64_t{0}, Filler, Now + PastRetention);
}

void explored_mesh::restartGate(std::size_t Gate) {
  for (link &Link : Links)
    Link.IsDead = Link.IsDead || Link.Gate == Gate;
  const std::uint64_t History = Gates[Gate]->History;
  auto Next =
      std::make_unique<gate_process>(*this, Gate, Gates[Gate]->Incarnation + 1);
  Next->History = History;
  Gates[Gate] = std::move(Next);
  if (UpLinks[Gate])
    closeLink(Gate);
}

void explored_mesh::passTime() {
  if (const auto Wake = Forwarder->nextWake())
    Now = std::max(Now, *Wake);
  Forwarder->passTime(Now);
  Forwarder->reopenLinks();
  for (const auto &Gate : Gates)
    Gate->Gate.passTime(Now);
}

void explored_mesh::finish() {
  for (unsigned Count = 0; Count < MaxTimeouts && Forwarder->nextWake();
       ++Count)
    passTime();
}

bool explored_mesh::openLink(const node_record &Gate) {
  const std::size_t Number = gateOf(Gate.Node);
  if (!UpLinks[Number])
    Connecting[Number] = true;
  return UpLinks[Number].has_value();
}

void explored_mesh::send(const std::string &Node, peer_message Message) {
  if (const auto Up = UpLinks[gateOf(Node)])
    Links[*Up].ToGate.push_back(std::move(Message));
}

void explored_mesh::answer(call_number Call, response Response) {
  Requests[RequestByCall.at(Call)].Statuses.push_back(Response.Status);
}

void explored_mesh::started(const instance_call &Call) {
  const auto Id = findHeader(Call.Request.Headers, "X-Id").value_or("");
  ++Requests[std::string(Id)].Runs;
}

void explored_mesh::report(std::uint64_t Link, run_report Report) {
  if (Link <= Links.size() && Links[Link - 1].IsUp)
    Links[Link - 1].ToEntry.push_back(std::move(Report));
}

} // namespace clementine::explorer
