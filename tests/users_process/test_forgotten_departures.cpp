#include "stand_in_users_platform/local_mesh.h"

#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <future>
#include <thread>

using namespace clementine;
using namespace clementine::stand_in;
using namespace std::chrono_literals;

namespace {

constexpr long Ok = 200;
const std::string Leaver = "archive-east";
/// How long calls are sent after the delayed report has arrived.
constexpr std::chrono::seconds ObservationTime{2};
/// After the SIGTERM: when a slow call begins, and when the instance leaves,
/// which is too late for the stopping node to tell the store.
constexpr std::chrono::milliseconds SlowCallBegin{1600};
constexpr std::chrono::milliseconds LateDeparture{4000};
constexpr std::chrono::milliseconds SlowCallTime{2700};

int runsOfLeaver(local_mesh &Mesh) {
  return Mesh.Runs.by(Mesh.instance(Leaver).id());
}

void killAll(local_mesh &Mesh) {
  for (const std::string &Name : Mesh.machines())
    Mesh.node(Name).kill();
}

void stopAll(local_mesh &Mesh) {
  for (const std::string &Name : Mesh.machines())
    Mesh.node(Name).signal(SIGTERM);
  for (const std::string &Name : Mesh.machines())
    CHECK(Mesh.node(Name).stop() == 0);
}

/// Lets a report arrive that the instance sent before it left, then checks that
/// no call reaches it.
void checkStaysDeparted(local_mesh &Mesh) {
  const int Before = runsOfLeaver(Mesh);
  REQUIRE(await([&] { return Mesh.instance(Leaver).sendStaleReadyReport(); }));
  REQUIRE(Mesh.awaitReady());
  const auto End = std::chrono::steady_clock::now() + ObservationTime;
  while (std::chrono::steady_clock::now() < End)
    CHECK(Mesh.call("front-east", "/archive/1").Status == Ok);
  CHECK(runsOfLeaver(Mesh) == Before);
}

} // namespace

// review/13: nobody is left who knows of the departure.
TEST_CASE("a departure that was confirmed while the store is away holds after "
          "all nodes have ended") {
  local_mesh Mesh;
  REQUIRE(Mesh.awaitReady());
  Mesh.Store->setOutage(kv_store::outage::Unavailable);
  SUBCASE("by a deregistration, killed") {
    REQUIRE(Mesh.instance(Leaver).deregister());
    killAll(Mesh);
  }
  SUBCASE("by a draining report, killed") {
    REQUIRE(Mesh.instance(Leaver).drain());
    Mesh.instance(Leaver).pauseReports();
    killAll(Mesh);
  }
  SUBCASE("by a deregistration, in a planned stop") {
    REQUIRE(Mesh.instance(Leaver).deregister());
    stopAll(Mesh);
  }
  for (const std::string &Name : Mesh.machines())
    Mesh.startNode(Name);
  REQUIRE(await([&] { return Mesh.instance(Leaver).sendStaleReadyReport(); }));
  Mesh.Store->setOutage(kv_store::outage::None);
  checkStaysDeparted(Mesh);
}

// review/6: the calls to the store have been interrupted by then.
TEST_CASE("a departure holds if its node confirms it at the end of its stop") {
  local_mesh Mesh;
  REQUIRE(Mesh.awaitReady());
  for (const char *Zone : {"east", "west", "north"})
    Mesh.instance(std::string("front-") + Zone).setServiceTime(SlowCallTime);
  const auto Begun = std::chrono::steady_clock::now();
  Mesh.node(Leaver).signal(SIGTERM);
  std::this_thread::sleep_until(Begun + SlowCallBegin);
  auto SlowCall = std::async(std::launch::async,
                             [&] { return Mesh.call(Leaver, "/front/1"); });
  std::this_thread::sleep_until(Begun + LateDeparture);
  REQUIRE(Mesh.instance(Leaver).deregister());
  CHECK(SlowCall.get().Status == Ok);
  CHECK(Mesh.node(Leaver).stop() == 0);
  for (const char *Zone : {"east", "west", "north"})
    Mesh.instance(std::string("front-") + Zone).setServiceTime(5ms);
  Mesh.startNode(Leaver);
  checkStaysDeparted(Mesh);
}
