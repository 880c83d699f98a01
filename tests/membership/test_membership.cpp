#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "virtual_network.h"

using namespace clementine;
using namespace std::chrono_literals;

namespace {

std::size_t countIn(membership &Member, member_state State) {
  std::size_t Count = 0;
  for (const shared_member &Each : Member.view().Local)
    Count += Each->State == State ? 1 : 0;
  return Count;
}

} // namespace

TEST_CASE("members that start together find each other through one seed") {
  virtual_network Network({}, 1);
  for (std::size_t Index = 0; Index < 20; ++Index)
    Network.start(Index, {0});
  Network.run(20s);
  for (std::size_t Index = 0; Index < 20; ++Index)
    CHECK(countIn(Network.member(Index), member_state::Alive) == 20);
}

TEST_CASE(
    "a killed member is declared dead and a leaving one is seen as leaving") {
  virtual_network Network({}, 2);
  for (std::size_t Index = 0; Index < 20; ++Index)
    Network.start(Index, {0});
  Network.run(20s);
  Network.kill(7);
  Network.with(3, [&](membership &Member) { Member.leave(Network.Now); });
  Network.run(3s);
  for (const auto &[Index, Node] : Network.Nodes)
    CHECK(Node.Member->view().find("node-3")->State == member_state::Leaving);
  Network.run(20s);
  for (const auto &[Index, Node] : Network.Nodes)
    CHECK(Node.Member->view().find("node-7")->State == member_state::Dead);
}

TEST_CASE(
    "a paused member is declared dead and rejoins by itself when resumed") {
  virtual_network Network({}, 3);
  for (std::size_t Index = 0; Index < 10; ++Index)
    Network.start(Index, {0});
  Network.run(20s);
  const auto Before = Network.member(4).self().Identity.Incarnation;
  Network.pause(4);
  Network.run(40s);
  CHECK(Network.member(1).view().find("node-4")->State == member_state::Dead);
  Network.resume(4);
  Network.run(20s);
  for (const auto &[Index, Node] : Network.Nodes)
    CHECK(countIn(*Node.Member, member_state::Alive) == 10);
  CHECK(Network.member(4).self().Identity.Incarnation > Before);
}

TEST_CASE("members of wanted services are known across data centres") {
  // The only seed is in data centre "one".
  virtual_network Network({}, 4);
  for (std::size_t Index = 0; Index < 12; ++Index)
    Network.start(Index, {0}, Index < 6 ? "one" : "two",
                  Index % 2 == 0 ? "catalogue" : "warranties");
  Network.run(10s);
  Network.with(1, [&](membership &Member) {
    Member.watchService("catalogue", Network.Now);
  });
  Network.run(40s);
  CHECK(Network.member(1).view().membersOf("catalogue").size() == 6);
  Network.with(8, [&](membership &Member) { Member.leave(Network.Now); });
  Network.run(3s);
  for (const shared_member &Each :
       Network.member(1).view().membersOf("catalogue"))
    CHECK((Each->State == member_state::Leaving) ==
          (Each->Identity.Name == "node-8"));
}

TEST_CASE("a broken connection between two members raises no suspicion") {
  virtual_network Network({}, 5);
  for (std::size_t Index = 0; Index < 8; ++Index)
    Network.start(Index, {0});
  Network.run(20s);
  Network.cut(2, 5);
  Network.cut(5, 2);
  for (int Second = 0; Second < 90; ++Second) {
    Network.run(1s);
    for (auto &[Index, Node] : Network.Nodes)
      REQUIRE(countIn(*Node.Member, member_state::Alive) == 8);
  }
}

TEST_CASE("a partitioned minority declares nobody dead; the majority does") {
  virtual_network Network({}, 6);
  for (std::size_t Index = 0; Index < 7; ++Index)
    Network.start(Index, {0});
  Network.run(20s);
  for (std::size_t Left = 0; Left < 2; ++Left)
    for (std::size_t Right = 2; Right < 7; ++Right) {
      Network.cut(Left, Right);
      Network.cut(Right, Left);
    }
  Network.run(3600s);
  CHECK(countIn(Network.member(0), member_state::Dead) == 0);
  CHECK(countIn(Network.member(4), member_state::Dead) == 2);
  Network.healAll();
  Network.run(60s);
  for (auto &[Index, Node] : Network.Nodes)
    CHECK(countIn(*Node.Member, member_state::Alive) == 7);
}

TEST_CASE("a resumed member does not declare earlier suspects dead at once") {
  virtual_network Network({}, 7);
  for (std::size_t Index = 0; Index < 8; ++Index)
    Network.start(Index, {0});
  Network.run(20s);
  for (std::size_t Index = 0; Index < 8; ++Index)
    Network.cut(5, Index);
  while (countIn(Network.member(3), member_state::Suspect) == 0)
    Network.run(100ms);
  Network.pause(3);
  Network.healAll();
  Network.run(60s);
  // The datagrams with the refutation arrived during the pause and were lost.
  Network.Nodes.at(3).Held.clear();
  Network.resume(3);
  Network.run(1us);
  CHECK(countIn(Network.member(3), member_state::Dead) == 0);
  CHECK(Network.member(3).counters().Pauses == 1);
  Network.run(20s);
  CHECK(countIn(Network.member(3), member_state::Alive) == 8);
}

TEST_CASE("a member that receives nothing reports poor health, and recovers") {
  virtual_network Network({}, 8);
  for (std::size_t Index = 0; Index < 6; ++Index)
    Network.start(Index, {0});
  Network.run(20s);
  CHECK(Network.member(2).healthScore() == 0);
  for (std::size_t Index = 0; Index < 6; ++Index)
    Network.cut(Index, 2);
  Network.run(30s);
  CHECK(Network.member(2).healthScore() > 2);
  Network.healAll();
  Network.run(120s);
  CHECK(Network.member(2).healthScore() == 0);
}

TEST_CASE("replayed datagrams change nothing and are counted") {
  virtual_network Network({}, 9);
  std::vector<std::vector<std::byte>> Recorded;
  Network.OnSend = [&](const virtual_network::node &Node,
                       const outgoing_datagram &Datagram) {
    if (Node.Record.Identity.Name == "node-1" && Recorded.size() < 20)
      Recorded.push_back(Datagram.Bytes);
  };
  Network.start(0, {});
  Network.start(1, {0});
  Network.run(20s);
  REQUIRE(Recorded.size() == 20);
  Network.member(1).setAdmissionLevel(9);
  Network.run(10s);
  CHECK(Network.member(0).view().find("node-1")->AdmissionLevel == 9);
  for (const auto &Bytes : Recorded)
    Network.member(0).receive({"10.9.9.9", 1}, Bytes, Network.Now);
  CHECK(Network.member(0).counters().Replayed == 20);
  CHECK(Network.member(0).view().find("node-1")->AdmissionLevel == 9);
}

TEST_CASE(
    "gossip stays within its byte budget when all members start at once") {
  virtual_network::settings Settings;
  Settings.Membership.BytesPerSecond = 400;
  Settings.Membership.BurstBytes = 4096;
  virtual_network Network(Settings, 10);
  for (std::size_t Index = 0; Index < 40; ++Index)
    Network.start(Index, {0, 1, 2});
  for (int Second = 0; Second < 120; ++Second) {
    Network.run(1s);
    for (auto &[Index, Node] : Network.Nodes) {
      const std::chrono::duration<double> Age = Network.Now - Node.Started;
      REQUIRE(static_cast<double>(Node.BytesSent) <= 4096 + 400 * Age.count());
    }
  }
}

TEST_CASE(
    "all views are complete within 60 s after all members start at once") {
  virtual_network Network({}, 11);
  for (std::size_t Index = 0; Index < 120; ++Index)
    Network.start(Index, {0, 1, 2});
  Network.run(60s);
  for (auto &[Index, Node] : Network.Nodes)
    REQUIRE(countIn(*Node.Member, member_state::Alive) == 120);
}

TEST_CASE("a newer bundle is advertised to all members, with an endpoint to "
          "fetch it") {
  virtual_network Network({}, 12);
  for (std::size_t Index = 0; Index < 30; ++Index)
    Network.start(Index, {0}, Index < 20 ? "one" : "two");
  Network.run(60s);
  Network.with(25, [&](membership &Member) {
    Member.setBundle({7, 99}, Network.Now);
  });
  // Each node that learns of the bundle fetches it and then advertises it as
  // well.
  for (int Step = 0; Step < 350; ++Step) {
    Network.run(100ms);
    for (auto &[Index, Node] : Network.Nodes)
      Network.with(Index, [&](membership &Member) {
        Member.setBundle(Member.view().NewestBundle.Bundle, Network.Now);
      });
  }
  for (auto &[Index, Node] : Network.Nodes) {
    const advertised_bundle Newest = Node.Member->view().NewestBundle;
    CHECK(Newest.Bundle.Version == 7);
    CHECK(Newest.Bundle.Digest == 99);
    CHECK(Newest.Gossip.Port == 7400);
  }
}

TEST_CASE("keys are rotated without refused datagrams") {
  const auto KeyOf = [](const std::string &Id, int Fill) {
    peer_key Key{Id, {}};
    Key.Bytes.fill(static_cast<std::byte>(Fill));
    return Key;
  };
  const peer_key Old = KeyOf("test", 42);
  const peer_key New = KeyOf("next", 43);
  virtual_network Network({}, 13);
  for (std::size_t Index = 0; Index < 4; ++Index)
    Network.start(Index, {0});
  Network.run(20s);
  const std::vector<std::vector<peer_key>> Rollouts = {
      {Old, New}, {New, Old}, {New}};
  for (const auto &Keys : Rollouts)
    for (std::size_t Index = 0; Index < 4; ++Index) {
      Network.member(Index).replaceKeys(peer_key_ring::make(Keys).value());
      Network.run(10s);
    }
  for (auto &[Index, Node] : Network.Nodes) {
    CHECK(countIn(*Node.Member, member_state::Alive) == 4);
    CHECK(Node.Member->counters().Refused == std::array<std::uint64_t, 5>{});
  }
}
