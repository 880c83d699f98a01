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

TEST_CASE("a killed member is found dead and a leaving one is seen leaving") {
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

TEST_CASE("a paused member is found dead and comes back by itself") {
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
  virtual_network Network({}, 4);
  for (std::size_t Index = 0; Index < 12; ++Index)
    Network.start(Index, {0, 6}, Index < 6 ? "one" : "two",
                  Index % 2 == 0 ? "catalogue" : "warranties");
  Network.run(10s);
  Network.with(
      1, [&](membership &Member) { Member.want("catalogue", Network.Now); });
  Network.run(40s);
  CHECK(Network.member(1).view().membersOf("catalogue").size() == 6);
  Network.with(8, [&](membership &Member) { Member.leave(Network.Now); });
  Network.run(3s);
  for (const shared_member &Each :
       Network.member(1).view().membersOf("catalogue"))
    CHECK((Each->State == member_state::Leaving) ==
          (Each->Identity.Name == "node-8"));
}
