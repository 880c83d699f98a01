#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "stand_in_users_platform/local_mesh.h"

#include <csignal>

using namespace clementine;
using namespace clementine::stand_in;

TEST_CASE("a mesh of real node processes") {
  local_mesh Mesh;
  REQUIRE(Mesh.awaitReady());

  SUBCASE("a request runs once along the chain and its response is complete") {
    const auto Answer = Mesh.call("archive-north", "/book/1", "POST");
    CHECK(Answer.Status == 200);
    CHECK(Answer.Body == "front ran " + Mesh.lastId() + " from archive: body");
    CHECK(Answer.Headers.at("X-Response-Signature").starts_with("proof-of-"));
    CHECK(Mesh.Runs.of(Mesh.lastId()) == 1);
    CHECK(Mesh.call("desk-east", "/none/").Status == 404);
  }

  SUBCASE("a non-idempotent call with a lost response is not retried") {
    for (const char *Zone : {"east", "west", "north"})
      Mesh.instance(std::string("front-") + Zone).loseAnswers(1);
    const auto Answer = Mesh.call("archive-east", "/book/1", "POST");
    CHECK(Answer.Status == 502);
    CHECK(Mesh.Runs.of(Mesh.lastId()) == 1);
    const std::string Id = Mesh.lastId();
    CHECK(await([&] {
      return Mesh.logOf("archive-east").find("request answered id=" + Id) !=
             std::string::npos;
    }));
    const std::string Text = Mesh.explain(Id);
    CHECK(Text.find("=> not known whether it ran: the instance broke off") !=
          std::string::npos);
    CHECK(Text.find("what archive-east believed then") != std::string::npos);
  }

  SUBCASE("a draining instance receives no calls once its drain is confirmed") {
    REQUIRE(Mesh.instance("archive-east").drain());
    const int Before = Mesh.Runs.by("archive-east-1");
    for (int Call = 0; Call < 20; ++Call)
      CHECK(Mesh.call("front-east", "/archive/1").Status == 200);
    CHECK(Mesh.Runs.by("archive-east-1") == Before);
  }

  SUBCASE("calls avoid a killed node and reach it again after a restart") {
    Mesh.node("archive-east").kill();
    CHECK(await(
        [&] { return Mesh.call("front-east", "/archive/1").Status == 200; }));
    Mesh.startNode("archive-east");
    const int Before = Mesh.Runs.by("archive-east-1");
    CHECK(await([&] {
      return Mesh.call("front-east", "/archive/1").Status == 200 &&
             Mesh.Runs.by("archive-east-1") > Before;
    }));
  }

  // Ready reports from before the drain may reach the node's next process late;
  // they must not undo the drain that the previous process confirmed. Two of
  // them look like those of an instance that has not left.
  SUBCASE("a confirmed drain still holds for the next process of the node") {
    app_instance &Instance = Mesh.instance("archive-east");
    REQUIRE(Instance.drain());
    Instance.pauseReports();
    REQUIRE(await([&] {
      const std::string Record =
          Mesh.Store->valueOf("clementinecove/nodes/archive-east");
      return Record.empty() ||
             Record.find(R"("instance":"")") != std::string::npos;
    }));
    Mesh.node("archive-east").kill();
    Mesh.startNode("archive-east");
    for (const std::uint64_t Number : {1, 2})
      REQUIRE(await([&] { return Instance.sendStaleReadyReport(Number); }));
    REQUIRE(await(
        [&] { return Mesh.call("archive-east", "/archive/1").Status == 200; }));
    const int Before = Mesh.Runs.by("archive-east-1");
    for (int Call = 0; Call < 20; ++Call)
      CHECK(Mesh.call("archive-east", "/archive/1").Status == 200);
    CHECK(Mesh.Runs.by("archive-east-1") == Before);
  }

  // As above, but the next process cannot read its former record: the other
  // nodes, which it told, have to tell it.
  SUBCASE("a confirmed drain still holds for the next process of the node if "
          "the store is away") {
    app_instance &Instance = Mesh.instance("archive-east");
    REQUIRE(Mesh.call("front-east", "/archive/1").Status == 200);
    Mesh.Store->setOutage(kv_store::outage::Silent);
    REQUIRE(Instance.drain());
    Instance.pauseReports();
    Mesh.node("archive-east").kill();
    Mesh.startNode("archive-east");
    for (const std::uint64_t Number : {1, 2})
      REQUIRE(await([&] { return Instance.sendStaleReadyReport(Number); }));
    REQUIRE(await([&] {
      return Mesh.logOf("archive-east").find("instances may accept work") !=
             std::string::npos;
    }));
    const int Before = Mesh.Runs.by("archive-east-1");
    const auto End = std::chrono::steady_clock::now() + std::chrono::seconds(4);
    while (std::chrono::steady_clock::now() < End)
      CHECK(Mesh.call("front-east", "/archive/1").Status == 200);
    CHECK(Mesh.Runs.by("archive-east-1") == Before);
    Mesh.Store->setOutage(kv_store::outage::None);
  }

  SUBCASE("a new configuration is applied on every node") {
    Mesh.configure(2, {});
    for (const std::string &Machine : Mesh.machines())
      CHECK(
          await([&] { return Mesh.call(Machine, "/extra/1").Status == 404; }));
  }

  SUBCASE("calls and drains work while the store does not respond") {
    Mesh.Store->setOutage(kv_store::outage::Silent);
    REQUIRE(Mesh.instance("archive-east").drain());
    const int Before = Mesh.Runs.by("archive-east-1");
    for (int Call = 0; Call < 10; ++Call)
      CHECK(Mesh.call("front-east", "/archive/1").Status == 200);
    CHECK(Mesh.Runs.by("archive-east-1") == Before);
    Mesh.Store->expireLeases();
    Mesh.configure(2, {});
    Mesh.Store->setOutage(kv_store::outage::None);
    CHECK(await(
        [&] { return Mesh.call("post-west", "/extra/1").Status == 404; }));
    CHECK(await([&] {
      return !Mesh.Store->valueOf("clementinecove/nodes/post-west").empty();
    }));
  }

  SUBCASE("no change is missed when the store compacts its history") {
    Mesh.Store->compactHistory();
    Mesh.configure(2, {});
    for (const std::string &Machine : Mesh.machines())
      CHECK(
          await([&] { return Mesh.call(Machine, "/extra/1").Status == 404; }));
  }

  SUBCASE("SIGTERM stops a node gracefully and its service stays available") {
    CHECK(Mesh.node("archive-east").stop() == 0);
    CHECK(Mesh.logOf("archive-east").find("node stopped finished=1") !=
          std::string::npos);
    CHECK(Mesh.Store->valueOf("clementinecove/nodes/archive-east").empty());
    CHECK(Mesh.call("front-east", "/archive/1").Status == 200);
  }

  SUBCASE("SIGHUP reloads the settings while calls are served") {
    Mesh.node("archive-east").signal(SIGHUP);
    CHECK(Mesh.call("archive-east", "/archive/1").Status == 200);
    CHECK(await([&] {
      return Mesh.logOf("archive-east").find("settings reloaded") !=
             std::string::npos;
    }));
  }

  CHECK(Mesh.Runs.repeated().empty());
}
