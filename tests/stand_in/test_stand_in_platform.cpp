#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "clementine_platform/clementine_platform.h"
#include "free_endpoint.h"
#include "stand_in_http/http_client.h"
#include "stand_in_platform/server/platform_server.h"

#include <nlohmann/json.hpp>

#include <thread>

using namespace clementine;
using namespace clementine::stand_in;
using namespace std::chrono_literals;

namespace {

/// A running stand-in platform and its clients.
struct platform_fixture {
  platform_fixture()
      : Endpoint(findFreeEndpoint()), Url("http://" + Endpoint.text()),
        Server(Endpoint, 100ms), Store(Url, shortLimits()) {}

  static http_channel::limits shortLimits() {
    http_channel::limits Limits;
    Limits.CallTimeout = 500ms;
    Limits.StreamIdleTimeout = 500ms;
    return Limits;
  }

  long setFaults(const std::string &Json) {
    return Client.post(Url + "/stand-in/faults", {}, Json, 1s)->Status;
  }

  nlohmann::json counts() {
    return nlohmann::json::parse(
        Client.get(Url + "/stand-in/counts", 1s)->Body);
  }

  static platform_transaction create(const std::string &Key,
                                     const std::string &Value) {
    platform_transaction Transaction;
    Transaction.Compares = {{Key, platform_compare::field::CreateRevision,
                             platform_compare::relation::Equal, 0}};
    Transaction.Puts = {{Key, Value, 0}};
    Transaction.ReadsOnFailure = {Key};
    return Transaction;
  }

  endpoint Endpoint;
  std::string Url;
  platform_server Server;
  http_client Client;
  etcd_platform_store Store;
};

} // namespace

TEST_CASE_FIXTURE(
    platform_fixture,
    "values up to 1 MiB are stored and listed, and a second create fails") {
  const std::string Large(std::size_t{1} << 20U, '\x7f');
  CHECK(Store.commit(create("part/1", Large)).value().Succeeded);
  const auto Lost = Store.commit(create("part/1", "other"));
  CHECK_FALSE(Lost.value().Succeeded);
  CHECK(Lost.value().Entries.at(0).Value == Large);
  CHECK(Store.commit(create("part/2", "")).value().Succeeded);
  CHECK(Store.get("part/1").value()->Value == Large);
  CHECK_FALSE(Store.get("part/").value().has_value());
  CHECK(Store.list("part/").value().Entries.size() == 2);
  const auto TooLarge = Store.commit(create("part/3", Large + "x"));
  CHECK(TooLarge.error().Cause == platform_cause::Refused);
  CHECK(counts()["txn"] == 4);
  CHECK(counts()["range"] == 3);
}

TEST_CASE_FIXTURE(
    platform_fixture,
    "a write whose answer is lost takes effect and reports it unknown") {
  CHECK(setFaults(R"({"lose_answers":1})") == 200);
  const auto Lost = Store.commit(create("head", "mine"));
  REQUIRE(Lost.has_error());
  CHECK(Lost.error().Effect == platform_effect::Unknown);
  CHECK(Store.get("head").value()->Value == "mine");
  CHECK(counts()["txn"] == 1);
}

TEST_CASE_FIXTURE(platform_fixture,
                  "outages reject calls or leave them unanswered") {
  CHECK(setFaults(R"({"outage":"unavailable"})") == 200);
  CHECK(Store.commit(create("a", "1")).error().Cause == platform_cause::Faulty);
  CHECK(setFaults(R"({"outage":"silent"})") == 200);
  CHECK(Store.commit(create("a", "1")).error().Cause ==
        platform_cause::TimedOut);
  CHECK(setFaults(R"({"outage":"none"})") == 200);
  CHECK_FALSE(Store.get("a").value().has_value());
  CHECK(setFaults(R"({"outage":"sometimes"})") == 400);
  CHECK(setFaults(R"({"unknown":1})") == 400);
  CHECK(setFaults("[]") == 400);
}

TEST_CASE_FIXTURE(platform_fixture, "a slow or malformed answer is reported") {
  CHECK(setFaults(R"({"delay_ms":700})") == 200);
  CHECK(Store.get("a").error().Cause == platform_cause::TimedOut);
  CHECK(setFaults(R"({"delay_ms":0,"malformed_answers":1})") == 200);
  CHECK(Store.get("a").error().Cause == platform_cause::MalformedAnswer);
}

TEST_CASE_FIXTURE(platform_fixture, "stale reads end when switched off") {
  CHECK(Store.commit(create("a", "1")).has_value());
  CHECK(setFaults(R"({"stale_reads":true})") == 200);
  CHECK(Store.commit(create("b", "1")).has_value());
  CHECK_FALSE(Store.get("b").value().has_value());
  CHECK(Store.get("a").value().has_value());
  CHECK(setFaults(R"({"stale_reads":false})") == 200);
  CHECK(Store.get("b").value().has_value());
}

TEST_CASE_FIXTURE(platform_fixture,
                  "leases are renewed, expire and are revoked") {
  const lease_id Lease = Store.grantLease(30s).value().Id;
  auto Seed = create("seed", "node");
  Seed.Puts[0].Lease = Lease;
  CHECK(Store.commit(Seed).value().Succeeded);
  CHECK(Store.renewLease(Lease).value().TimeToLive == 30s);
  CHECK(setFaults(R"({"lapse_leases":true})") == 200);
  CHECK_FALSE(Store.get("seed").value().has_value());
  CHECK(Store.renewLease(Lease).error().Cause == platform_cause::LeaseNotFound);
  CHECK(Store.revokeLease(Lease).error().Cause ==
        platform_cause::LeaseNotFound);
  CHECK(Store.revokeLease(Store.grantLease(30s).value().Id).has_value());
}

TEST_CASE_FIXTURE(platform_fixture,
                  "a watch delivers each change once, in order, "
                  "stays open when idle and is counted once") {
  CHECK(Store.commit(create("w/0", "before")).has_value());
  const platform_revision From = Store.list("w/").value().Revision + 1;
  std::atomic<bool> Stopping{false};
  std::mutex Mutex;
  std::vector<std::string> Seen;
  std::thread Watcher([&] {
    const auto Ended = Store.watch(
        "w/", From,
        [&](const platform_watch_batch &Batch) {
          const std::lock_guard Lock(Mutex);
          for (const platform_event &Event : Batch.Events)
            Seen.push_back(Event.Entry.Key + "=" + Event.Entry.Value);
        },
        Stopping);
    CHECK(Ended.has_value());
  });
  CHECK(Store.commit(create("w/1", "a")).has_value());
  // Longer than the client's StreamIdleTimeout of 500 ms.
  std::this_thread::sleep_for(700ms);
  CHECK(Store.commit(create("w/2", "b")).has_value());
  CHECK(Store.commit(create("other", "c")).has_value());
  const auto HasSeenBoth = [&] {
    const std::lock_guard Lock(Mutex);
    return Seen.size() == 2;
  };
  for (int Round = 0; Round < 100 && !HasSeenBoth(); ++Round)
    std::this_thread::sleep_for(10ms);
  CHECK(counts()["watches_waiting"] == 1);
  Stopping = true;
  Watcher.join();
  CHECK(Seen == std::vector<std::string>{"w/1=a", "w/2=b"});
  CHECK(counts()["watch"] == 1);
}

TEST_CASE_FIXTURE(platform_fixture, "a watch on a silent platform times out") {
  std::atomic<bool> Stopping{false};
  CHECK(setFaults(R"({"outage":"silent"})") == 200);
  const auto Ended = Store.watch(
      "w/", 0, [](const platform_watch_batch &) {}, Stopping);
  CHECK(Ended.error().Cause == platform_cause::TimedOut);
}
