#include "virtual_nodes.h"

#include <algorithm>
#include <cassert>

namespace clementine::test {

namespace {

using namespace std::chrono_literals;

/// The time in which the transport's heartbeats would detect a silent peer.
constexpr duration HeartbeatTimeout = 900ms;
constexpr duration TickInterval = 10ms;
constexpr duration LongestDelay = 3ms;

} // namespace

/// A connection with the state of both ends; it delivers messages in order.
struct simulated_cluster::virtual_link {
  std::size_t From = 0;
  std::size_t To = 0;
  link_id FromId = NoLink;
  link_id ToId = NoLink;
  std::uint64_t FromGeneration = 0;
  std::uint64_t ToGeneration = 0;
  bool IsUp = false;
  bool IsBroken = false;
  instant LastArrival{};
  /// The delay after a pause until the node reads messages from a broken link.
  duration ReadDelay{0};
};

struct simulated_cluster::virtual_node final : public peer_port,
                                               public caller_port,
                                               public claim_port,
                                               public upstream_port,
                                               public entry_observer,
                                               public gate_observer {
  virtual_node(simulated_cluster &Cluster, std::size_t Index,
               std::string Service)
      : Cluster(Cluster), Index(Index), Service(std::move(Service)) {}

  void openLink(link_id Link, const endpoint &Remote) override {
    Cluster.openLink(Index, Link, Remote);
  }
  void sendOn(link_id Link, peer_message Message) override {
    Cluster.sendOn(Index, Link, std::move(Message));
  }
  void closeLink(link_id Link) override { Cluster.closeLink(Index, Link); }
  void answerCaller(caller_answer Answer) override {
    Cluster.answer(Index, std::move(Answer));
  }
  void requestClaim(claim_request Request) override {
    Cluster.claim(Index, Request);
  }
  void callUpstream(upstream_call Call) override {
    Cluster.callUpstream(Index, Call);
  }
  void cancelUpstream(const request_id &Token) override {
    if (UpstreamCalls.erase(Token) == 0)
      return;
    const std::uint64_t ScheduledGeneration = Generation;
    Cluster.onNode(Index, 1ms, [this, Token, ScheduledGeneration] {
      if (ScheduledGeneration == Generation)
        Engine->upstreamCallEnded({Token, upstream_outcome::Broken, {}},
                                  Cluster.Now);
    });
  }
  void callEnded(const entry_report &Report) override {
    Cluster.Reports.push_back(Report);
  }
  void runEnded(const run_request &, const run_answer &, const hop_trace &,
                duration, duration) override {}

  node_identity identity() const {
    return {"node-" + std::to_string(Index), Incarnation};
  }

  simulated_cluster &Cluster;
  const std::size_t Index;
  const std::string Service;
  std::uint64_t Incarnation = 0;
  /// Increases with each start; events for an earlier generation are dropped.
  std::uint64_t Generation = 0;
  instant PausedUntil{};
  bool IsDraining = false;
  bool BreaksNext = false;
  bool RefusesNext = false;
  std::unique_ptr<seeded_random> Random;
  std::unique_ptr<request_engine> Engine;
  std::map<link_id, std::shared_ptr<virtual_link>> Links;
  std::map<request_id, upstream_call> UpstreamCalls;
  /// The sub-calls whose answers the upstream waits for, with its call's token.
  std::map<call_id, request_id> SubCalls;
};

simulated_cluster::simulated_cluster(cluster_settings Given)
    : Settings(std::move(Given)), Random(Settings.Seed) {
  auto Parsed = bundle::parse(Settings.BundleText);
  assert(Parsed.has_value() && "the test's bundle is valid");
  Bundle = std::make_shared<const bundle>(Parsed.value());
  for (const std::string &Service : Settings.Services)
    for (std::size_t Count = 0; Count < Settings.NodesPerService; ++Count)
      Nodes.push_back(
          std::make_unique<virtual_node>(*this, Nodes.size(), Service));
  for (std::size_t Node = 0; Node < Nodes.size(); ++Node)
    startNode(Node);
  refreshDirectories();
}

simulated_cluster::~simulated_cluster() = default;

void simulated_cluster::startNode(std::size_t Index) {
  virtual_node &Node = *Nodes[Index];
  Node.Incarnation = firstIncarnation(NextIncarnation++);
  ++Node.Generation;
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
  scheduleTick(Index, Node.Generation);
}

void simulated_cluster::scheduleTick(std::size_t Index,
                                     std::uint64_t Generation) {
  onNode(Index, TickInterval, [this, Index, Generation] {
    if (Nodes[Index]->Generation != Generation)
      return;
    Nodes[Index]->Engine->onTick(Now);
    scheduleTick(Index, Generation);
  });
}

void simulated_cluster::refreshDirectories() {
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
  // The nodes' directories differ for a while, as they do with gossip.
  for (const auto &Node : Nodes)
    onNode(Node->Index, delay() * 100, [this, &Node = *Node, Shared] {
      Node.Engine->directoryChanged(Shared, Now);
    });
}

void simulated_cluster::after(duration Delay, task Work) {
  Tasks.emplace(std::pair(Now + Delay, NextTask++), std::move(Work));
}

void simulated_cluster::onNode(std::size_t Index, duration Delay, task Work) {
  after(Delay, [this, Index, Work = std::move(Work)] {
    const instant PausedUntil = Nodes[Index]->PausedUntil;
    if (Now < PausedUntil)
      onNode(Index, PausedUntil - Now, Work);
    else
      Work();
  });
}

void simulated_cluster::run(duration Time) {
  const instant End = Now + Time;
  while (!Tasks.empty() && Tasks.begin()->first.first <= End)
    step();
  Now = End;
}

void simulated_cluster::step() {
  const auto First = Tasks.begin();
  Now = std::max(Now, First->first.first);
  const task Work = std::move(First->second);
  Tasks.erase(First);
  Work();
}

void simulated_cluster::settle() {
  heal();
  Platform = platform_fault::None;
  run(30s);
}

duration simulated_cluster::delay() {
  return duration(static_cast<duration::rep>(
      Random.below(static_cast<std::uint64_t>(LongestDelay.count()))));
}

void simulated_cluster::send(std::size_t Entry, const std::string &Caller,
                             const std::string &Operation,
                             const std::string &Key, int Send,
                             send_number Number, duration Timeout) {
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

void simulated_cluster::answer(std::size_t Index, caller_answer Answer) {
  virtual_node &Node = *Nodes[Index];
  if (const auto Found = Node.SubCalls.find(Answer.Call);
      Found != Node.SubCalls.end()) {
    const request_id Token = Found->second;
    Node.SubCalls.erase(Found);
    const std::uint64_t Generation = Node.Generation;
    onNode(Index, 0ms, [this, Index, Token, Generation, &Node] {
      if (Generation == Node.Generation)
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
  Delivered.push_back({Send.Key, Send.Send, Send.Nonce, std::move(Answer)});
}

// Transport.

bool simulated_cluster::isPartitioned(std::size_t Left,
                                      std::size_t Right) const {
  return Partitions.contains({std::min(Left, Right), std::max(Left, Right)});
}

void simulated_cluster::openLink(std::size_t From, link_id Id,
                                 const endpoint &Remote) {
  auto Link = std::make_shared<virtual_link>();
  Link->From = From;
  Link->To = Remote.Port;
  Link->FromId = Id;
  Link->FromGeneration = Nodes[From]->Generation;
  Link->ReadDelay = delay() * 10;
  Nodes[From]->Links[Id] = Link;
  after(delay(), [this, Link] {
    // A paused or partitioned peer does not complete the handshake.
    if (isPartitioned(Link->From, Link->To) ||
        Now < Nodes[Link->To]->PausedUntil) {
      breakLink(Link, HeartbeatTimeout);
      return;
    }
    Link->ToId = NextAccepted++;
    Link->ToGeneration = Nodes[Link->To]->Generation;
    Nodes[Link->To]->Links[Link->ToId] = Link;
    Link->IsUp = true;
    Link->LastArrival = Now;
    onNode(Link->From, delay(), [this, Link] {
      virtual_node &Node = *Nodes[Link->From];
      if (Node.Generation == Link->FromGeneration && !Link->IsBroken)
        Node.Engine->linkUp(Link->FromId, Nodes[Link->To]->identity(), Now);
    });
  });
}

void simulated_cluster::sendOn(std::size_t From, link_id Id,
                               peer_message Message) {
  const auto Found = Nodes[From]->Links.find(Id);
  if (Found == Nodes[From]->Links.end())
    return;
  const auto Link = Found->second;
  const bool FromDialler = Link->FromId == Id && Link->From == From;
  const std::size_t To = FromDialler ? Link->To : Link->From;
  if (Link->IsBroken)
    return;
  if (!Link->IsUp) {
    // Messages are queued until the handshake is complete.
    after(LongestDelay, [this, From, Id, Message] {
      if (Nodes[From]->Links.contains(Id))
        sendOn(From, Id, Message);
    });
    return;
  }
  if (isPartitioned(From, To)) {
    breakLink(Link, HeartbeatTimeout);
    return;
  }
  // A sent message arrives, even if the receiving node is paused meanwhile.
  Link->LastArrival = std::max(Link->LastArrival, Now + delay());
  arriveOn(Link, To, Link->LastArrival - Now,
           [this, Link, To, FromDialler, Message = std::move(Message)] {
             virtual_node &Node = *Nodes[To];
             const std::uint64_t Generation =
                 FromDialler ? Link->ToGeneration : Link->FromGeneration;
             if (Node.Generation != Generation)
               return;
             Node.Engine->messageArrived(
                 FromDialler ? Link->ToId : Link->FromId, Message, Now);
           });
  if (Now < Nodes[To]->PausedUntil)
    breakLink(Link, HeartbeatTimeout);
}

void simulated_cluster::arriveOn(const std::shared_ptr<virtual_link> &Link,
                                 std::size_t To, duration Delay, task Work) {
  after(Delay, [this, Link, To, Work = std::move(Work)] {
    const instant PausedUntil = Nodes[To]->PausedUntil;
    if (Now >= PausedUntil)
      Work();
    else
      arriveOn(Link, To,
               PausedUntil - Now + (Link->IsBroken ? Link->ReadDelay : 0ms),
               Work);
  });
}

void simulated_cluster::closeLink(std::size_t From, link_id Id) {
  if (const auto Found = Nodes[From]->Links.find(Id);
      Found != Nodes[From]->Links.end())
    breakLink(Found->second, 0ms);
}

void simulated_cluster::breakLink(const std::shared_ptr<virtual_link> &Link,
                                  duration Delay) {
  if (Link->IsBroken)
    return;
  Link->IsBroken = true;
  const bool WasUp = Link->IsUp;
  onNode(Link->From, Delay, [this, Link, WasUp] {
    virtual_node &Node = *Nodes[Link->From];
    Node.Links.erase(Link->FromId);
    if (Node.Generation == Link->FromGeneration)
      Node.Engine->linkDown(Link->FromId, WasUp, Now);
  });
  if (WasUp)
    onNode(Link->To, Delay,
           [this, Link] { Nodes[Link->To]->Links.erase(Link->ToId); });
}

// Upstreams.

void simulated_cluster::callUpstream(std::size_t Index,
                                     const upstream_call &Call) {
  virtual_node &Node = *Nodes[Index];
  const request_id Token = Call.Token;
  if (Node.RefusesNext) {
    Node.RefusesNext = false;
    onNode(Index, 1ms, [this, &Node, Token] {
      Node.Engine->upstreamCallEnded({Token, upstream_outcome::Refused, {}},
                                     Now);
    });
    return;
  }
  Runs.push_back({Call.Context.Key, Call.Context.Request, Node.Service,
                  Call.Payload.Body});
  Node.UpstreamCalls[Token] = Call;
  const auto Position = std::find(Settings.Services.begin(),
                                  Settings.Services.end(), Node.Service);
  const bool IsLast = Position + 1 == Settings.Services.end();
  const std::uint64_t Generation = Node.Generation;
  onNode(Index, Settings.ServiceTime / 2 + delay(),
         [this, Index, &Node, Token, Generation, IsLast, Position] {
           if (Node.Generation != Generation ||
               !Node.UpstreamCalls.contains(Token))
             return;
           if (IsLast) {
             finishUpstream(Index, Token);
             return;
           }
           const upstream_call &Parent = Node.UpstreamCalls.at(Token);
           caller_request SubCall;
           SubCall.Call = NextCall++;
           SubCall.Service = *(Position + 1);
           SubCall.Operation = Parent.Operation;
           SubCall.Parent = Token;
           SubCall.Payload = Parent.Payload;
           Node.SubCalls[SubCall.Call] = Token;
           Node.Engine->callerRequested(SubCall, Now);
         });
}

void simulated_cluster::finishUpstream(std::size_t Index,
                                       const request_id &Token) {
  virtual_node &Node = *Nodes[Index];
  const auto Found = Node.UpstreamCalls.find(Token);
  if (Found == Node.UpstreamCalls.end())
    return;
  upstream_result Result{Token, upstream_outcome::Answered, {}};
  Result.Answer = {200, {}, Found->second.Payload.Body};
  Node.UpstreamCalls.erase(Found);
  if (Node.BreaksNext) {
    Node.BreaksNext = false;
    Result = {Token, upstream_outcome::Broken, {}};
  }
  Node.Engine->upstreamCallEnded(Result, Now);
}

void simulated_cluster::breakNextAnswer(std::size_t Node) {
  Nodes[Node]->BreaksNext = true;
}

void simulated_cluster::refuseNext(std::size_t Node) {
  Nodes[Node]->RefusesNext = true;
}

// Platform.

void simulated_cluster::claim(std::size_t Index, const claim_request &Request) {
  const std::uint64_t Generation = Nodes[Index]->Generation;
  const auto Reply = [this, Index, Generation](const claim_result &Result,
                                               duration Delay) {
    onNode(Index, Delay, [this, Index, Generation, Result] {
      if (Nodes[Index]->Generation == Generation)
        Nodes[Index]->Engine->claimEnded(Result, Now);
    });
  };
  if (Platform == platform_fault::Down) {
    Reply({Request.Call, claim_status::Unavailable, 0, {}}, 5ms);
    return;
  }
  const duration Delay = Platform == platform_fault::Slow ? 700ms : 4ms;
  after(Delay / 2, [this, Request, Reply, Delay] {
    auto &Current = Claims[Request.Key];
    if (Current.first != Request.Replaces) {
      Reply({Request.Call, claim_status::Held, Current.first, Current.second},
            Delay / 2);
      return;
    }
    Current = {NextClaim++, Request.Gate};
    if (Platform == platform_fault::LostAnswer)
      Reply({Request.Call, claim_status::Unavailable, 0, {}}, Delay / 2);
    else
      Reply(
          {Request.Call, claim_status::Granted, Current.first, Current.second},
          Delay / 2);
  });
}

// Faults.

void simulated_cluster::kill(std::size_t Index, bool WholeVm) {
  virtual_node &Node = *Nodes[Index];
  const auto Open = Node.Links;
  for (const auto &[Id, Link] : Open)
    breakLink(Link, delay());
  Node.Links.clear();
  if (WholeVm)
    Node.UpstreamCalls.clear();
  // Callers of a killed entry node get no answer: their connections break.
  std::erase_if(OpenSends, [Index](const auto &Send) {
    return Send.first.first == Index;
  });
  startNode(Index);
  refreshDirectories();
}

void simulated_cluster::pause(std::size_t Index, duration Time) {
  virtual_node &Node = *Nodes[Index];
  Node.PausedUntil = std::max(Node.PausedUntil, Now + Time);
  if (Time <= HeartbeatTimeout)
    return;
  // The peers' heartbeats stay unanswered. Messages sent before that are still
  // in the paused node's socket buffers.
  const auto Open = Node.Links;
  for (const auto &[Id, Link] : Open)
    breakLink(Link, HeartbeatTimeout);
}

void simulated_cluster::partition(std::size_t Left, std::size_t Right) {
  if (Left == Right)
    return;
  Partitions.insert({std::min(Left, Right), std::max(Left, Right)});
  const auto Open = Nodes[Left]->Links;
  for (const auto &[Id, Link] : Open)
    if (Link->From == Right || Link->To == Right)
      breakLink(Link, HeartbeatTimeout);
}

void simulated_cluster::heal() { Partitions.clear(); }

void simulated_cluster::drain(std::size_t Index) {
  Nodes[Index]->IsDraining = true;
  onNode(Index, 0ms, [this, Index] { Nodes[Index]->Engine->drain(Now); });
  refreshDirectories();
}

} // namespace clementine::test
