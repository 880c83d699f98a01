#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "deployment.h"

#include <csignal>
#include <thread>

using namespace clementine::test;
using namespace std::chrono_literals;

namespace {

constexpr const char *BundleText = R"([bundle]
format = 1
name = process-test
[service front]
[operation front book]
repeatable = no
deadline = 5000ms
[operation front read]
repeatable = yes
deadline = 5000ms
[service desk]
[operation desk book]
repeatable = no
[operation desk read]
repeatable = yes
[service ledger]
[operation ledger book]
repeatable = no
[operation ledger read]
repeatable = yes
[caller mobile]
owner = ops
importance = high
retry_budget = 3
)";

/// Three data centres; front calls desk, desk calls ledger.
std::vector<vm_config> chainOfThree() {
  const std::string FrontCalls = "book=desk/book";
  const std::string DeskCalls = "book=ledger/book";
  return {{"front-1", "fukuoka", "127.0.1.1", "front", FrontCalls, 5},
          {"desk-1", "kumamoto", "127.0.2.1", "desk", DeskCalls, 5},
          {"ledger-1", "kagoshima", "127.0.3.1", "ledger", "", 5}};
}

} // namespace

TEST_CASE("a request through three data centres completes and runs once per "
          "service") {
  deployment Deployment(chainOfThree());
  Deployment.acceptBundle(BundleText);
  // Each node has to know an upstream of every service in the chain, not only
  // of the first service.
  for (const char *Target : {"front/read", "desk/read", "ledger/read"})
    REQUIRE(Deployment.waitUntilReady("mobile", Target));
  const http_result First = Deployment.call(
      "ledger-1", "front/book", "mobile",
      {"Idempotency-Key: k1", "Clementine-Send: first"}, "nonce-1");
  CHECK(First.Status == 200);
  CHECK(First.Headers.at("Clementine-Outcome") == "completed");
  CHECK(Deployment.countRuns(" nonce-1") == 3);

  // Repeated sends, with and without Clementine-Send, get the first answer.
  const http_result Again = Deployment.call(
      "desk-1", "front/book", "mobile",
      {"Idempotency-Key: k1", "Clementine-Send: again"}, "nonce-1");
  CHECK(Again.Status == 200);
  CHECK(Again.Body == First.Body);
  const http_result WithoutSendNumber = Deployment.call(
      "front-1", "front/book", "mobile", {"Idempotency-Key: k2"}, "nonce-2");
  CHECK(WithoutSendNumber.Status == 200);
  const http_result Resent = Deployment.call(
      "ledger-1", "front/book", "mobile", {"Idempotency-Key: k2"}, "nonce-2");
  CHECK(Resent.Body == WithoutSendNumber.Body);
  CHECK(Deployment.countRuns(" nonce-1") == 3);
  CHECK(Deployment.countRuns(" nonce-2") == 3);

  SUBCASE("refused requests are reported as refused and do not run") {
    const http_result UnknownCaller =
        Deployment.call("front-1", "front/book", "stranger", {}, "nonce-3");
    CHECK(UnknownCaller.Status == 403);
    CHECK(UnknownCaller.Headers.at("Clementine-Outcome") == "not-run");
    const http_result NoKey =
        Deployment.call("front-1", "front/book", "mobile", {}, "nonce-3");
    CHECK(NoKey.Status == 400);
    CHECK(Deployment.countRuns(" nonce-3") == 0);
  }
  SUBCASE("a new bundle takes effect at every node") {
    std::string Changed = BundleText;
    Changed += "[caller stranger]\nowner = ops\n";
    Deployment.acceptBundle(Changed);
    CHECK(Deployment.waitUntilReady("stranger", "front/read"));
  }
  SUBCASE("a graceful stop finishes the requests in flight") {
    http_result Late;
    Deployment.upstream("ledger-1");
    std::thread Caller([&] {
      Late = Deployment.call("desk-1", "front/book", "mobile",
                             {"Idempotency-Key: k4", "Clementine-Send: first"},
                             "nonce-4");
    });
    waitUntil([&] { return Deployment.countRuns(" nonce-4") > 0; }, 10s);
    CHECK(Deployment.node("front-1").stop() == 0);
    Caller.join();
    CHECK(Late.Status == 200);
  }
}
