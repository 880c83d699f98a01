#include "stand_in_users_platform/local_mesh.h"

#include <doctest/doctest.h>

#include <chrono>
#include <map>
#include <thread>

using namespace clementine;
using namespace clementine::stand_in;
using namespace std::chrono_literals;
using outage = kv_store::outage;

namespace {

constexpr long Ok = 200;
/// The time that a store that was restored is away.
constexpr std::chrono::milliseconds Absence{500};
/// The time until the operator writes its configuration again.
constexpr std::chrono::milliseconds OperatorDelay{1500};
/// How soon every node has to have written its record again.
constexpr std::chrono::seconds RecordTimeout{5};

const local_mesh::extra_routes Added = {{"/extra/", "archive"},
                                        {"/added/", "archive"}};

std::string recordOf(local_mesh &Mesh, const std::string &Machine) {
  return Mesh.Store->valueOf("clementinecove/nodes/" + Machine);
}

std::map<std::string, std::string> recordsOf(local_mesh &Mesh) {
  std::map<std::string, std::string> Records;
  for (const std::string &Name : Mesh.machines())
    Records[Name] = recordOf(Mesh, Name);
  return Records;
}

/// @returns the machines at which a call to @p Path is not served.
std::string notServing(local_mesh &Mesh, const std::string &Path) {
  std::string Names;
  for (const std::string &Name : Mesh.machines())
    if (const long Status = Mesh.call(Name, Path).Status; Status != Ok)
      Names += Name + ": " + std::to_string(Status) + " ";
  return Names;
}

/// Restarts the node of @p Machine and waits for its new record.
void restartNode(local_mesh &Mesh, const std::string &Machine) {
  const std::string Before = recordOf(Mesh, Machine);
  Mesh.node(Machine).kill();
  Mesh.startNode(Machine);
  REQUIRE(await([&] {
    const std::string Record = recordOf(Mesh, Machine);
    return Record != Before &&
           Record.find(Mesh.instance(Machine).id()) != std::string::npos;
  }));
}

/// Changes the configuration, drains an instance, replaces another and restarts
/// a node.
void changeAll(local_mesh &Mesh) {
  Mesh.configure(2, Added);
  REQUIRE(Mesh.instance("desk-east").drain());
  Mesh.startInstance("post-west", 2);
  restartNode(Mesh, "archive-north");
  REQUIRE(await([&] {
    return notServing(Mesh, "/added/1").empty() &&
           recordOf(Mesh, "desk-east").find("departed") != std::string::npos &&
           recordOf(Mesh, "post-west").find("post-west-2") != std::string::npos;
  }));
}

void restoreStore(local_mesh &Mesh) {
  Mesh.Store->setOutage(outage::Unavailable);
  std::this_thread::sleep_for(Absence);
  Mesh.Store->restoreCopy();
  Mesh.Store->setOutage(outage::None);
}

} // namespace

TEST_CASE("records, routes and drains of the time that the store lost with a "
          "restored copy stay in force, and are in the store again") {
  local_mesh Mesh;
  REQUIRE(Mesh.awaitReady());
  Mesh.Store->keepCopy();
  changeAll(Mesh);
  const auto Before = recordsOf(Mesh);
  const int DrainedRuns = Mesh.Runs.by("desk-east-1");
  restoreStore(Mesh);
  const auto RecordsDue = std::chrono::steady_clock::now() + RecordTimeout;
  CHECK(notServing(Mesh, "/added/1").empty());
  std::this_thread::sleep_for(OperatorDelay);
  CHECK(notServing(Mesh, "/added/1").empty());
  CHECK(notServing(Mesh, "/front/1").empty());
  Mesh.configure(2, Added);
  std::this_thread::sleep_until(RecordsDue);
  for (const auto &Each : Before) {
    CAPTURE(Each.first);
    CHECK(recordOf(Mesh, Each.first) == Each.second);
  }
  CHECK(notServing(Mesh, "/added/1").empty());
  CHECK(notServing(Mesh, "/front/1").empty());
  CHECK(Mesh.Runs.by("desk-east-1") == DrainedRuns);
}

TEST_CASE("a node that starts between the return of an older store and the "
          "operator's writing revives no drained instance and serves the "
          "newest routes") {
  local_mesh Mesh;
  REQUIRE(Mesh.awaitReady());
  Mesh.Store->keepCopy();
  changeAll(Mesh);
  const int DrainedRuns = Mesh.Runs.by("desk-east-1");
  restoreStore(Mesh);
  for (const char *Name : {"desk-east", "front-west"}) {
    Mesh.node(Name).kill();
    Mesh.startNode(Name);
  }
  CHECK(await([&] { return Mesh.isReady("front-west"); }));
  CHECK(Mesh.call("front-west", "/added/1").Status == Ok);
  std::this_thread::sleep_for(OperatorDelay);
  CHECK(notServing(Mesh, "/added/1").empty());
  CHECK(notServing(Mesh, "/front/1").empty());
  Mesh.configure(2, Added);
  CHECK(await([&] { return notServing(Mesh, "/added/1").empty(); }));
  CHECK(Mesh.Runs.by("desk-east-1") == DrainedRuns);
}
