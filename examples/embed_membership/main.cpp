/// Embeds the membership module alone: six nodes in two data centres, connected
/// by a simulated in-process network in virtual time. A real program would send
/// the datagrams over UDP and read the system clock instead.

#include "clementine_membership/clementine_membership.h"

#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace clementine;
using namespace std::chrono_literals;

namespace {

constexpr duration Delay = 1ms;

/// All nodes share one key; in this example it is all zeros.
peer_key_ring sharedKeys() {
  return peer_key_ring::make({peer_key{"example", {}}}).value();
}

member_record recordOf(const std::string &Name, const std::string &Host,
                       const std::string &DataCentre,
                       const std::string &Service, std::uint64_t Incarnation) {
  member_record Record;
  Record.Identity = {Name, Incarnation};
  Record.DataCentre = DataCentre;
  Record.Service = Service;
  Record.Gossip = {Host, 7400};
  Record.Peer = {Host, 7401};
  Record.Http = {Host, 8080};
  Record.State = member_state::Alive;
  return Record;
}

/// One node: its membership and the random source that the membership uses.
struct node {
  node(const member_record &Self, std::uint64_t Seed)
      : Random(Seed), Member(Self, {}, sharedKeys(), Random) {}

  seeded_random Random;
  membership Member;
};

class network {
public:
  void add(const member_record &Self, const endpoint &Seed) {
    auto Added = std::make_unique<node>(Self, ++Seeds);
    Added->Member.join({Seed}, Now);
    Nodes[Self.Gossip] = std::move(Added);
  }

  void remove(const std::string &Host) { Nodes.erase(gossipOf(Host)); }

  membership &at(const std::string &Host) {
    return Nodes.at(gossipOf(Host))->Member;
  }

  instant now() const { return Now; }

  /// The main loop of a program that embeds membership: calls tick(), sends the
  /// datagrams that it returns and passes received datagrams to receive().
  void run(duration Span) {
    for (const instant End = Now + Span; Now < End; Now += Delay) {
      const auto Arriving = std::exchange(InFlight, {});
      for (const auto &[From, Datagram] : Arriving)
        deliver(From, Datagram);
      for (auto &[Place, Node] : Nodes)
        if (Node->Member.nextWake() <= Now)
          send(Place, Node->Member.tick(Now));
    }
  }

private:
  static endpoint gossipOf(const std::string &Host) { return {Host, 7400}; }

  void deliver(const endpoint &From, const outgoing_datagram &Datagram) {
    const auto Found = Nodes.find(Datagram.To);
    if (Found == Nodes.end())
      return;
    send(Datagram.To, Found->second->Member.receive(From, Datagram.Bytes, Now));
  }

  void send(const endpoint &From, std::vector<outgoing_datagram> Datagrams) {
    for (outgoing_datagram &Datagram : Datagrams)
      InFlight.emplace_back(From, std::move(Datagram));
  }

  struct by_host {
    bool operator()(const endpoint &Left, const endpoint &Right) const {
      return Left.Host < Right.Host;
    }
  };

  std::map<endpoint, std::unique_ptr<node>, by_host> Nodes;
  std::vector<std::pair<endpoint, outgoing_datagram>> InFlight;
  instant Now = instant(1h);
  std::uint64_t Seeds = 0;
};

void print(network &Network, const char *Title) {
  const member_view &View = Network.at("10.1.0.1").view();
  std::printf("%s\n", Title);
  for (const auto &[Service, Members] : View.ByService)
    for (const shared_member &Member : Members)
      std::printf("  %-11s %-9s %-9s %s\n", Service.c_str(),
                  Member->Identity.Name.c_str(), Member->DataCentre.c_str(),
                  std::string(memberStateName(Member->State)).c_str());
}

} // namespace

int main() {
  network Network;
  const endpoint Seed = {"10.1.0.1", 7400};
  Network.add(recordOf("fukuoka-1", "10.1.0.1", "fukuoka", "hall-desk", 1),
              Seed);
  Network.add(recordOf("fukuoka-2", "10.1.0.2", "fukuoka", "hall-desk", 1),
              Seed);
  Network.add(recordOf("fukuoka-3", "10.1.0.3", "fukuoka", "kin-post", 1),
              Seed);
  Network.add(recordOf("kumamoto-1", "10.2.0.1", "kumamoto", "hall-desk", 1),
              Seed);
  Network.add(recordOf("kumamoto-2", "10.2.0.2", "kumamoto", "kin-post", 1),
              Seed);
  Network.add(recordOf("kumamoto-3", "10.2.0.3", "kumamoto", "kin-post", 1),
              Seed);
  Network.at("10.1.0.1").watchService("hall-desk", Network.now());
  Network.run(45s);
  print(Network, "members known to fukuoka-1: its data centre, and hall-desk "
                 "in the other:");

  Network.at("10.1.0.2").leave(Network.now());
  Network.at("10.2.0.1").leave(Network.now());
  Network.run(2s);
  print(Network, "fukuoka-2 and kumamoto-1 have announced that they leave:");

  Network.remove("10.1.0.3");
  Network.run(20s);
  print(Network, "the VM of fukuoka-3 is killed:");

  Network.add(recordOf("fukuoka-3", "10.1.0.3", "fukuoka", "kin-post", 2),
              Seed);
  Network.run(5s);
  print(Network, "fukuoka-3 is replaced:");
  return 0;
}
