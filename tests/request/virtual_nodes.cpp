#include "virtual_nodes.h"

#include <algorithm>
#include <cassert>

namespace clementine::test {

namespace {

using namespace std::chrono_literals;

/// What the transport's heartbeats would need to notice silence.
constexpr duration SilenceLimit = 900ms;
constexpr duration TickInterval = 10ms;
constexpr duration LongestDelay = 3ms;

} // namespace

/// A connection as both ends see it; bytes on it keep their order.
struct virtual_world::virtual_link {
  std::size_t From = 0;
  std::size_t To = 0;
  link_id FromId = NoLink;
  link_id ToId = NoLink;
  std::uint64_t FromLife = 0;
  std::uint64_t ToLife = 0;
  bool IsUp = false;
  bool IsBroken = false;
  instant LastArrival{};
  /// How late a node that was paused reads what waits on a broken link.
  duration ReadLag{0};
};

struct virtual_world::virtual_node final : public peer_port,
                                           public caller_port,
                                           public claim_port,
                                           public upstream_port,
                                           public entry_observer,
                                           public gate_observer {
  virtual_node(virtual_world &World, std::size_t Index, std::string Service)
      : World(World), Index(Index), Service(std::move(Service)) {}

  void openLink(link_id Link, const endpoint &Remote) override {
    World.openLink(Index, Link, Remote);
  }
  void sendOn(link_id Link, peer_message Message) override {
    World.sendOn(Index, Link, std::move(Message));
  }
  void closeLink(link_id Link) override { World.closeLink(Index, Link); }
  void answerCaller(caller_answer Answer) override {
    World.answer(Index, std::move(Answer));
  }
  void requestClaim(claim_request Request) override {
    World.claim(Index, Request);
  }
  void callUpstream(upstream_call Call) override {
    World.callUpstream(Index, Call);
  }
  void cancelUpstream(const request_id &Token) override {
    if (UpstreamCalls.erase(Token) == 0)
      return;
    const std::uint64_t OfLife = Life;
    World.onNode(Index, 1ms, [this, Token, OfLife] {
      if (OfLife == Life)
        Engine->upstreamCallEnded({Token, upstream_end::Broken, {}}, World.Now);
    });
  }
  void callEnded(const entry_report &Report) override {
    World.Reports.push_back(Report);
  }
  void runEnded(const run_request &, const run_answer &, const hop_trace &,
                duration, duration) override {}

  node_identity identity() const {
    return {"node-" + std::to_string(Index), Incarnation};
  }

  virtual_world &World;
  const std::size_t Index;
  const std::string Service;
  std::uint64_t Incarnation = 0;
  /// Rises with each start; what was meant for an earlier life is dropped.
  std::uint64_t Life = 0;
  instant PausedUntil{};
  bool IsDraining = false;
  bool BreaksNext = false;
  bool RefusesNext = false;
  std::unique_ptr<seeded_random> Random;
  std::unique_ptr<request_engine> Engine;
  std::map<link_id, std::shared_ptr<virtual_link>> Links;
  std::map<request_id, upstream_call> UpstreamCalls;
  /// Sub-calls that an upstream waits for.
  std::map<call_id, request_id> SubCalls;
};

virtual_world::virtual_world(world_settings Given)
    : Settings(std::move(Given)), Random(Settings.Seed) {
  auto Parsed = bundle::parse(Settings.BundleText);
  assert(Parsed.has_value() && "the test's bundle is sound");
  Bundle = std::make_shared<const bundle>(Parsed.value());
  for (const std::string &Service : Settings.Services)
    for (std::size_t Count = 0; Count < Settings.NodesPerService; ++Count)
      Nodes.push_back(
          std::make_unique<virtual_node>(*this, Nodes.size(), Service));
  for (std::size_t Node = 0; Node < Nodes.size(); ++Node)
    startNode(Node);
  refreshDirectories();
}

virtual_world::~virtual_world() = default;

void virtual_world::startNode(std::size_t Index) {
  virtual_node &Node = *Nodes[Index];
  Node.Incarnation = firstIncarnation(NextIncarnation++);
  ++Node.Life;
  Node.IsDraining = false;
  Node.PausedUntil = {};
  Node.SubCalls.clear();
  Node.Random = std::make_unique<seeded_random>(Random.next());
  request_engine_settings Wanted;
  Wanted.Entry.Self = Node.identity();
  Wanted.Entry.DataCentre = "one";
  Node.Engine = std::make_unique<request_engine>(
      Wanted, request_engine_ports{Node, Node, Node, Node, Node, Node},
      std::make_unique<static_limiter>(Settings.Limit), *Node.Random);
  Node.Engine->bundleAccepted(Bundle);
  Node.Engine->upstreamAnnounced(Node.Service);
  scheduleTick(Index, Node.Life);
}

void virtual_world::scheduleTick(std::size_t Index, std::uint64_t Life) {
  onNode(Index, TickInterval, [this, Index, Life] {
    if (Nodes[Index]->Life != Life)
      return;
    Nodes[Index]->Engine->timePassed(Now);
    scheduleTick(Index, Life);
  });
}

void virtual_world::refreshDirectories() {
  service_directory View;
  for (const auto &Node : Nodes) {
    service_instance Instance;
    Instance.Candidate.Node = Node->identity();
    Instance.Candidate.DataCentre = "one";
    Instance.Candidate.Leaving = Node->IsDraining;
    Instance.Peer = {"node", static_cast<std::uint16_t>(Node->Index)};
    View.Services[Node->Service].push_back(Instance);
  }
  const auto Shared = std::make_shared<const service_directory>(View);
  // Views differ for a while, as they do with gossip.
  for (const auto &Node : Nodes)
    onNode(Node->Index, delay() * 100, [this, &Node = *Node, Shared] {
      Node.Engine->directoryChanged(Shared, Now);
    });
}

void virtual_world::after(duration Delay, task Work) {
  Tasks.emplace(std::pair(Now + Delay, NextTask++), std::move(Work));
}

void virtual_world::onNode(std::size_t Index, duration Delay, task Work) {
  after(Delay, [this, Index, Work = std::move(Work)] {
    const instant PausedUntil = Nodes[Index]->PausedUntil;
    if (Now < PausedUntil)
      onNode(Index, PausedUntil - Now, Work);
    else
      Work();
  });
}

void virtual_world::run(duration Time) {
  const instant End = Now + Time;
  while (!Tasks.empty() && Tasks.begin()->first.first <= End)
    step();
  Now = End;
}

void virtual_world::step() {
  const auto First = Tasks.begin();
  Now = std::max(Now, First->first.first);
  const task Work = std::move(First->second);
  Tasks.erase(First);
  Work();
}

void virtual_world::settle() {
  heal();
  Platform = platform_fault::None;
  run(30s);
}

duration virtual_world::delay() {
  return duration(static_cast<duration::rep>(
      Random.below(static_cast<std::uint64_t>(LongestDelay.count()))));
}

void virtual_world::send(std::size_t Entry, const std::string &Caller,
                         const std::string &Operation, const std::string &Key,
                         int Send, send_number Number, duration Timeout) {
  const call_id Call = NextCall++;
  const std::string Nonce = Key + "#" + std::to_string(Send);
  OpenSends[{Entry, Call}] = {Key, Send, Nonce};
  caller_request Request;
  Request.Call = Call;
  Request.Caller = Caller;
  Request.Service = Settings.Services.front();
  Request.Operation = Operation;
  Request.Key = Key;
  Request.Send = Number;
  Request.Timeout = Timeout;
  Request.Payload = {"POST", {}, Nonce};
  onNode(Entry, 0ms, [this, Entry, Request] {
    Nodes[Entry]->Engine->callerRequested(Request, Now);
  });
}

void virtual_world::answer(std::size_t Index, caller_answer Answer) {
  virtual_node &Node = *Nodes[Index];
  if (const auto Found = Node.SubCalls.find(Answer.Call);
      Found != Node.SubCalls.end()) {
    const request_id Token = Found->second;
    Node.SubCalls.erase(Found);
    const std::uint64_t Life = Node.Life;
    onNode(Index, 0ms, [this, Index, Token, Life, &Node] {
      if (Life == Node.Life)
        finishUpstream(Index, Token);
    });
    return;
  }
  const auto Found = OpenSends.find({Index, Answer.Call});
  if (Found == OpenSends.end())
    return;
  const open_send Send = Found->second;
  OpenSends.erase(Found);
  SendOfRequest[Answer.Request] = Send.Send;
  Told.push_back({Send.Key, Send.Send, Send.Nonce, std::move(Answer)});
}

// The transport.

bool virtual_world::isCut(std::size_t Left, std::size_t Right) const {
  return Cuts.contains({std::min(Left, Right), std::max(Left, Right)});
}

void virtual_world::openLink(std::size_t From, link_id Id,
                             const endpoint &Remote) {
  auto Link = std::make_shared<virtual_link>();
  Link->From = From;
  Link->To = Remote.Port;
  Link->FromId = Id;
  Link->FromLife = Nodes[From]->Life;
  Link->ReadLag = delay() * 10;
  Nodes[From]->Links[Id] = Link;
  after(delay(), [this, Link] {
    // A paused or cut peer does not shake hands.
    if (isCut(Link->From, Link->To) || Now < Nodes[Link->To]->PausedUntil) {
      breakLink(Link, SilenceLimit);
      return;
    }
    Link->ToId = NextAccepted++;
    Link->ToLife = Nodes[Link->To]->Life;
    Nodes[Link->To]->Links[Link->ToId] = Link;
    Link->IsUp = true;
    Link->LastArrival = Now;
    onNode(Link->From, delay(), [this, Link] {
      virtual_node &Node = *Nodes[Link->From];
      if (Node.Life == Link->FromLife && !Link->IsBroken)
        Node.Engine->linkUp(Link->FromId, Nodes[Link->To]->identity(), Now);
    });
  });
}

void virtual_world::sendOn(std::size_t From, link_id Id, peer_message Message) {
  const auto Found = Nodes[From]->Links.find(Id);
  if (Found == Nodes[From]->Links.end())
    return;
  const auto Link = Found->second;
  const bool FromDialler = Link->FromId == Id && Link->From == From;
  const std::size_t To = FromDialler ? Link->To : Link->From;
  if (Link->IsBroken)
    return;
  if (!Link->IsUp) {
    // Messages wait for the handshake.
    after(LongestDelay, [this, From, Id, Message] {
      if (Nodes[From]->Links.contains(Id))
        sendOn(From, Id, Message);
    });
    return;
  }
  if (isCut(From, To)) {
    breakLink(Link, SilenceLimit);
    return;
  }
  // What has left arrives, also at a node that is paused meanwhile.
  Link->LastArrival = std::max(Link->LastArrival, Now + delay());
  arriveOn(Link, To, Link->LastArrival - Now,
           [this, Link, To, FromDialler, Message = std::move(Message)] {
             virtual_node &Node = *Nodes[To];
             const std::uint64_t Life =
                 FromDialler ? Link->ToLife : Link->FromLife;
             if (Node.Life != Life)
               return;
             Node.Engine->messageArrived(
                 FromDialler ? Link->ToId : Link->FromId, Message, Now);
           });
  if (Now < Nodes[To]->PausedUntil)
    breakLink(Link, SilenceLimit);
}

void virtual_world::arriveOn(const std::shared_ptr<virtual_link> &Link,
                             std::size_t To, duration Delay, task Work) {
  after(Delay, [this, Link, To, Work = std::move(Work)] {
    const instant PausedUntil = Nodes[To]->PausedUntil;
    if (Now >= PausedUntil)
      Work();
    else
      arriveOn(Link, To,
               PausedUntil - Now + (Link->IsBroken ? Link->ReadLag : 0ms),
               Work);
  });
}

void virtual_world::closeLink(std::size_t From, link_id Id) {
  if (const auto Found = Nodes[From]->Links.find(Id);
      Found != Nodes[From]->Links.end())
    breakLink(Found->second, 0ms);
}

void virtual_world::breakLink(const std::shared_ptr<virtual_link> &Link,
                              duration Delay) {
  if (Link->IsBroken)
    return;
  Link->IsBroken = true;
  const bool WasUp = Link->IsUp;
  onNode(Link->From, Delay, [this, Link, WasUp] {
    virtual_node &Node = *Nodes[Link->From];
    Node.Links.erase(Link->FromId);
    if (Node.Life == Link->FromLife)
      Node.Engine->linkDown(Link->FromId, WasUp, Now);
  });
  if (WasUp)
    onNode(Link->To, Delay,
           [this, Link] { Nodes[Link->To]->Links.erase(Link->ToId); });
}

// The upstreams.

void virtual_world::callUpstream(std::size_t Index, const upstream_call &Call) {
  virtual_node &Node = *Nodes[Index];
  const request_id Token = Call.Token;
  if (Node.RefusesNext) {
    Node.RefusesNext = false;
    onNode(Index, 1ms, [this, &Node, Token] {
      Node.Engine->upstreamCallEnded({Token, upstream_end::Refused, {}}, Now);
    });
    return;
  }
  Runs.push_back({Call.Context.Key, Call.Context.Request, Node.Service,
                  Call.Payload.Body});
  Node.UpstreamCalls[Token] = Call;
  const auto Place = std::find(Settings.Services.begin(),
                               Settings.Services.end(), Node.Service);
  const bool IsLast = Place + 1 == Settings.Services.end();
  const std::uint64_t Life = Node.Life;
  onNode(Index, Settings.ServiceTime / 2 + delay(),
         [this, Index, &Node, Token, Life, IsLast, Place] {
           if (Node.Life != Life || !Node.UpstreamCalls.contains(Token))
             return;
           if (IsLast) {
             finishUpstream(Index, Token);
             return;
           }
           const upstream_call &Parent = Node.UpstreamCalls.at(Token);
           caller_request SubCall;
           SubCall.Call = NextCall++;
           SubCall.Service = *(Place + 1);
           SubCall.Operation = Parent.Operation;
           SubCall.Parent = Token;
           SubCall.Payload = Parent.Payload;
           Node.SubCalls[SubCall.Call] = Token;
           Node.Engine->callerRequested(SubCall, Now);
         });
}

void virtual_world::finishUpstream(std::size_t Index, const request_id &Token) {
  virtual_node &Node = *Nodes[Index];
  const auto Found = Node.UpstreamCalls.find(Token);
  if (Found == Node.UpstreamCalls.end())
    return;
  upstream_result Result{Token, upstream_end::Answered, {}};
  Result.Answer = {200, {}, Found->second.Payload.Body};
  Node.UpstreamCalls.erase(Found);
  if (Node.BreaksNext) {
    Node.BreaksNext = false;
    Result = {Token, upstream_end::Broken, {}};
  }
  Node.Engine->upstreamCallEnded(Result, Now);
}

void virtual_world::breakNextAnswer(std::size_t Node) {
  Nodes[Node]->BreaksNext = true;
}

void virtual_world::refuseNext(std::size_t Node) {
  Nodes[Node]->RefusesNext = true;
}

// The platform.

void virtual_world::claim(std::size_t Index, const claim_request &Request) {
  const std::uint64_t Life = Nodes[Index]->Life;
  const auto Tell = [this, Index, Life](const claim_result &Result,
                                        duration Delay) {
    onNode(Index, Delay, [this, Index, Life, Result] {
      if (Nodes[Index]->Life == Life)
        Nodes[Index]->Engine->claimEnded(Result, Now);
    });
  };
  if (Platform == platform_fault::Down) {
    Tell({Request.Call, claim_status::Unavailable, 0, {}}, 5ms);
    return;
  }
  const duration Delay = Platform == platform_fault::Slow ? 700ms : 4ms;
  after(Delay / 2, [this, Request, Tell, Delay] {
    auto &Held = Claims[Request.Key];
    if (Held.first != Request.Replaces) {
      Tell({Request.Call, claim_status::Held, Held.first, Held.second},
           Delay / 2);
      return;
    }
    Held = {NextClaim++, Request.Gate};
    if (Platform == platform_fault::LostAnswer)
      Tell({Request.Call, claim_status::Unavailable, 0, {}}, Delay / 2);
    else
      Tell({Request.Call, claim_status::Granted, Held.first, Held.second},
           Delay / 2);
  });
}

// Faults.

void virtual_world::kill(std::size_t Index, bool WholeVm) {
  virtual_node &Node = *Nodes[Index];
  const auto Open = Node.Links;
  for (const auto &[Id, Link] : Open)
    breakLink(Link, delay());
  Node.Links.clear();
  if (WholeVm)
    Node.UpstreamCalls.clear();
  // Callers of a dead entry hear nothing: their connections break.
  std::erase_if(OpenSends, [Index](const auto &Send) {
    return Send.first.first == Index;
  });
  startNode(Index);
  refreshDirectories();
}

void virtual_world::pause(std::size_t Index, duration Time) {
  virtual_node &Node = *Nodes[Index];
  Node.PausedUntil = std::max(Node.PausedUntil, Now + Time);
  if (Time <= SilenceLimit)
    return;
  // The peers' heartbeats stay unanswered; what was sent before still waits in
  // the paused node's sockets.
  const auto Open = Node.Links;
  for (const auto &[Id, Link] : Open)
    breakLink(Link, SilenceLimit);
}

void virtual_world::cut(std::size_t Left, std::size_t Right) {
  if (Left == Right)
    return;
  Cuts.insert({std::min(Left, Right), std::max(Left, Right)});
  const auto Open = Nodes[Left]->Links;
  for (const auto &[Id, Link] : Open)
    if (Link->From == Right || Link->To == Right)
      breakLink(Link, SilenceLimit);
}

void virtual_world::heal() { Cuts.clear(); }

void virtual_world::drain(std::size_t Index) {
  Nodes[Index]->IsDraining = true;
  onNode(Index, 0ms, [this, Index] { Nodes[Index]->Engine->drain(Now); });
  refreshDirectories();
}

} // namespace clementine::test
