#ifndef CLEMENTINE_TESTS_MEMBERSHIP_VIRTUAL_NETWORK_H
#define CLEMENTINE_TESTS_MEMBERSHIP_VIRTUAL_NETWORK_H

#include "clementine_membership/clementine_membership.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace clementine {

/// Runs members in virtual time over a simulated network that loses, duplicates
/// and delays datagrams and cuts connections.
class virtual_network {
public:
  struct settings {
    membership_settings Membership;
    double Loss = 0;
    double Repeat = 0;
    duration LeastDelay = std::chrono::microseconds(200);
    duration MostDelay = std::chrono::milliseconds(2);
  };

  struct node {
    member_record Record;
    std::unique_ptr<seeded_random> Random;
    std::unique_ptr<membership> Member;
    instant Started{};
    bool Paused = false;
    /// The datagrams that arrived during a pause.
    std::vector<std::pair<endpoint, std::vector<std::byte>>> Held;
    /// The scheduled wake-up; other wake-ups of this node are ignored.
    instant Wake{};
    std::uint64_t BytesSent = 0;
    std::uint64_t BytesReceived = 0;
  };

  /// Called for each datagram that is sent.
  std::function<void(const node &, const outgoing_datagram &)> OnSend;

  virtual_network(settings Settings, std::uint64_t Seed)
      : Settings(Settings), Random(Seed) {}

  static endpoint endpointOf(std::size_t Index) {
    return {"10." + std::to_string(Index / 65536) + "." +
                std::to_string(Index / 256 % 256) + "." +
                std::to_string(Index % 256),
            7400};
  }

  static peer_key_ring keys() {
    peer_key Key{"test", {}};
    Key.Bytes.fill(std::byte{42});
    return std::move(peer_key_ring::make({Key})).value();
  }

  static member_record recordOf(std::size_t Index,
                                const std::string &DataCentre,
                                const std::string &Service) {
    member_record Record;
    Record.Identity.Name = "node-" + std::to_string(Index);
    Record.DataCentre = DataCentre;
    Record.Service = Service;
    Record.Gossip = endpointOf(Index);
    Record.Peer = {Record.Gossip.Host, 7401};
    Record.Http = {Record.Gossip.Host, 8080};
    Record.State = member_state::Alive;
    Record.Weight = 55;
    return Record;
  }

  /// Starts, or starts again, the node at @p Index.
  /// @param ClockBack whether the incarnation is below that of earlier runs.
  void start(std::size_t Index, const std::vector<std::size_t> &Seeds,
             const std::string &DataCentre = "one",
             const std::string &Service = "catalogue", bool ClockBack = false) {
    node &Node = Nodes[Index];
    Node.Record = recordOf(Index, DataCentre, Service);
    Node.Record.Identity.Incarnation = ClockBack ? 1 : microseconds();
    Node.Started = Now;
    Node.BytesSent = 0;
    Node.BytesReceived = 0;
    Node.Random = std::make_unique<seeded_random>(Random.next());
    Node.Member = std::make_unique<membership>(Node.Record, Settings.Membership,
                                               keys(), *Node.Random);
    Node.Paused = false;
    Node.Held.clear();
    std::vector<endpoint> SeedEndpoints;
    SeedEndpoints.reserve(Seeds.size());
    for (const std::size_t Seed : Seeds)
      SeedEndpoints.push_back(endpointOf(Seed));
    Node.Member->join(SeedEndpoints, Now);
    scheduleWake(Index, Now + duration(Random.below(1'000'000'000)));
  }

  void kill(std::size_t Index) { Nodes.erase(Index); }
  void depart(std::size_t Index) {
    send(Index, Nodes.at(Index).Member->depart(Now));
    kill(Index);
  }
  void pause(std::size_t Index) { Nodes.at(Index).Paused = true; }
  void resume(std::size_t Index) {
    node &Node = Nodes.at(Index);
    Node.Paused = false;
    for (const auto &[From, Bytes] : std::exchange(Node.Held, {}))
      if (Nodes.contains(Index))
        send(Index, Node.Member->receive(From, Bytes, Now));
    scheduleWake(Index, Now);
  }

  /// Drops all datagrams from one node to another.
  void cut(std::size_t From, std::size_t To) { Cuts.insert({From, To}); }
  void healAll() { Cuts.clear(); }

  membership &member(std::size_t Index) { return *Nodes.at(Index).Member; }
  /// Runs a call on a member and schedules its next wake-up.
  template <class Call> void with(std::size_t Index, Call &&Use) {
    Use(member(Index));
    scheduleWake(Index, member(Index).nextWake());
  }

  /// Advances virtual time.
  void run(duration Span) {
    const instant End = Now + Span;
    while (!Events.empty() && Events.top().At <= End) {
      event Next = Events.top();
      Events.pop();
      Now = std::max(Now, Next.At);
      handle(Next);
    }
    Now = End;
  }

  std::map<std::size_t, node> Nodes;
  settings Settings;
  instant Now = instant(std::chrono::hours(1));

private:
  struct event {
    instant At;
    std::uint64_t Order = 0;
    std::size_t To = 0;
    /// A datagram, or a wake-up when empty.
    std::shared_ptr<const std::vector<std::byte>> Bytes;
    std::size_t From = 0;

    bool operator<(const event &Other) const {
      return std::tie(Other.At, Other.Order) < std::tie(At, Order);
    }
  };

  std::uint64_t microseconds() const {
    return static_cast<std::uint64_t>(Now.time_since_epoch().count() / 1000);
  }

  void scheduleWake(std::size_t Index, instant At) {
    node &Node = Nodes.at(Index);
    At = std::max(At, Now);
    if (Node.Wake > Now && Node.Wake <= At)
      return;
    Node.Wake = At;
    Events.push({At, ++Order, Index, nullptr, Index});
  }

  void handle(const event &Event) {
    const auto Found = Nodes.find(Event.To);
    if (Found == Nodes.end())
      return;
    node &Node = Found->second;
    if (!Event.Bytes) {
      if (Node.Paused || Event.At != Node.Wake)
        return;
      send(Event.To, Node.Member->tick(Now));
      Node.Wake = {};
      scheduleWake(Event.To,
                   std::max(Node.Member->nextWake(), Now + MinWakeInterval));
      return;
    }
    Node.BytesReceived += Event.Bytes->size() + DatagramOverheadBytes;
    if (Node.Paused) {
      if (Node.Held.size() < MaxHeldDatagrams)
        Node.Held.emplace_back(endpointOf(Event.From), *Event.Bytes);
      return;
    }
    send(Event.To,
         Node.Member->receive(endpointOf(Event.From), *Event.Bytes, Now));
    scheduleWake(Event.To, Node.Member->nextWake());
  }

  void send(std::size_t From, std::vector<outgoing_datagram> Datagrams) {
    for (outgoing_datagram &Datagram : Datagrams) {
      node &Node = Nodes.at(From);
      Node.BytesSent += Datagram.Bytes.size() + DatagramOverheadBytes;
      if (OnSend)
        OnSend(Node, Datagram);
      const std::size_t To = indexOf(Datagram.To);
      if (Cuts.contains({From, To}) || Random.unit() < Settings.Loss)
        continue;
      const auto Bytes = std::make_shared<const std::vector<std::byte>>(
          std::move(Datagram.Bytes));
      const int Copies = Random.unit() < Settings.Repeat ? 2 : 1;
      for (int Copy = 0; Copy < Copies; ++Copy)
        Events.push({Now + delay(), ++Order, To, Bytes, From});
    }
  }

  duration delay() {
    const duration Range = Settings.MostDelay - Settings.LeastDelay;
    return Settings.LeastDelay +
           duration(Random.below(static_cast<std::uint64_t>(Range.count())));
  }

  static std::size_t indexOf(const endpoint &Endpoint) {
    unsigned First = 0;
    unsigned Second = 0;
    unsigned Third = 0;
    std::sscanf(Endpoint.Host.c_str(), "10.%u.%u.%u", &First, &Second, &Third);
    return First * 65536U + Second * 256U + Third;
  }

  /// The minimum time between two wake-ups, so that none repeats at the same
  /// time.
  static constexpr duration MinWakeInterval = std::chrono::microseconds(100);
  static constexpr std::size_t MaxHeldDatagrams = 2000;

  seeded_random Random;
  std::priority_queue<event> Events;
  std::set<std::pair<std::size_t, std::size_t>> Cuts;
  std::uint64_t Order = 0;
};

} // namespace clementine

#endif
