#include "store/kv_platform_store.h"

#include "../stand_in/free_endpoint.h"
#include "clementine_proxy/node/store_duties.h"
#include "stand_in_users_platform/kv_store.h"

#include <doctest/doctest.h>

#include <thread>

using namespace clementine;
using namespace std::chrono_literals;
using outage = clementine::stand_in::kv_store::outage;

namespace {

http_channel::limits shortLimits() {
  http_channel::limits Limits;
  Limits.CallTimeout = 300ms;
  return Limits;
}

struct fixture {
  platform_transaction putOf(const std::string &Key, const std::string &Value,
                             platform_revision Revision, lease_id Lease = 0) {
    platform_transaction Transaction;
    Transaction.Compares.push_back({Key, platform_compare::field::ModRevision,
                                    platform_compare::relation::Equal,
                                    Revision});
    Transaction.Puts.push_back({Key, Value, Lease});
    return Transaction;
  }

  const endpoint Address = findFreeEndpoint();
  stand_in::kv_store Server{Address};
  users::kv_platform_store Store{"http://" + Address.text(), shortLimits()};
};

} // namespace

TEST_CASE("items come back as they were written, over several pages") {
  fixture Test;
  const std::string Bytes("\0\xff text", 7);
  Test.Server.put("a/odd key?&", Bytes);
  CHECK(Test.Store.get("a/odd key?&").value()->Value == Bytes);
  CHECK_FALSE(Test.Store.get("a/none").value());
  for (int Number = 10; Number < 30; ++Number)
    Test.Server.put("b/" + std::to_string(Number), "v");
  const auto Range = Test.Store.list("b/");
  REQUIRE(Range);
  CHECK(Range.value().Entries.size() == 20);
}

TEST_CASE("a condition that does not hold is a decision, not a failure") {
  fixture Test;
  REQUIRE(Test.Store.commit(Test.putOf("k", "1", 0)).value().Succeeded);
  CHECK_FALSE(Test.Store.commit(Test.putOf("k", "2", 0)).value().Succeeded);
  CHECK(Test.Server.valueOf("k") == "1");
}

TEST_CASE("a lost answer leaves the effect of a write open") {
  fixture Test;
  Test.Server.loseAnswers(1);
  const auto Lost = Test.Store.commit(Test.putOf("k", "1", 0));
  REQUIRE(Lost.has_error());
  CHECK(Lost.error().Effect == platform_effect::Unknown);
  CHECK(Test.Server.valueOf("k") == "1");
}

TEST_CASE("refusals and silence are told apart from answers") {
  fixture Test;
  for (const outage Kind : {outage::Unavailable, outage::Busy}) {
    Test.Server.setOutage(Kind);
    const auto Refused = Test.Store.commit(Test.putOf("k", "1", 0));
    REQUIRE(Refused.has_error());
    CHECK(Refused.error().Effect == platform_effect::NotApplied);
  }
  Test.Server.setOutage(outage::Silent);
  CHECK(Test.Store.get("k").error().Cause == platform_cause::TimedOut);
  Test.Server.setOutage(outage::None);
  CHECK(Test.Store.get("k"));
}

TEST_CASE("a lease that has ended is told by its own cause") {
  fixture Test;
  const auto Lease = Test.Store.grantLease(2s);
  REQUIRE(Lease);
  REQUIRE(Test.Store.commit(Test.putOf("k", "1", 0, Lease.value().Id))
              .value()
              .Succeeded);
  CHECK(Test.Store.renewLease(Lease.value().Id));
  Test.Server.expireLeases();
  CHECK(Test.Server.valueOf("k").empty());
  CHECK(Test.Store.renewLease(Lease.value().Id).error().Cause ==
        platform_cause::LeaseNotFound);
  CHECK(Test.Store.revokeLease(Lease.value().Id));
}

TEST_CASE("a follower misses nothing when the store forgets its history") {
  fixture Test;
  std::mutex Mutex;
  std::map<std::string, std::string> Seen;
  proxy::prefix_follower Follower(
      "test", Test.Store, "f/", {},
      {[&](const std::vector<platform_entry> &Entries) {
         const std::lock_guard Lock(Mutex);
         for (const platform_entry &Entry : Entries)
           Seen[Entry.Key] = Entry.Value;
       },
       [&](const platform_event &Event) {
         const std::lock_guard Lock(Mutex);
         Seen[Event.Entry.Key] = Event.Entry.Value;
       },
       [](bool) {}});
  const auto Sees = [&](const std::string &Key) {
    for (int Step = 0; Step < 1000; ++Step) {
      {
        const std::lock_guard Lock(Mutex);
        if (Seen.contains(Key))
          return true;
      }
      std::this_thread::sleep_for(10ms);
    }
    return false;
  };
  std::atomic<bool> Stopping{false};
  std::thread Duty([&] { Follower.run(Stopping); });
  Test.Server.put("f/1", "v");
  CHECK(Sees("f/1"));
  Test.Server.put("f/2", "v");
  Test.Server.forgetHistory();
  CHECK(Sees("f/2"));
  Test.Server.setOutage(outage::Unavailable);
  Test.Server.put("f/3", "v");
  Test.Server.setOutage(outage::None);
  CHECK(Sees("f/3"));
  // An answer that is lost shows nothing; waking reads everything again.
  Test.Server.hideEvents(true);
  Test.Server.put("f/4", "v");
  Follower.wake();
  CHECK(Sees("f/4"));
  Stopping = true;
  Follower.wake();
  Test.Store.interrupt();
  Duty.join();
}

TEST_CASE(
    "a record is back after its lease has lapsed, and leaves on request") {
  fixture Test;
  proxy::store_duty_settings Settings;
  Settings.RenewInterval = 50ms;
  std::atomic<int> Regained{0};
  proxy::record_keeper Keeper(Test.Store, "r/n", Settings, [&] { ++Regained; });
  const proxy::node_record Record{"n", 1, "z", {"127.0.0.1", 1}, "s", "i", 5};
  std::atomic<bool> Stopping{false};
  std::thread Duty([&] { Keeper.run(Stopping); });
  const auto Holds = [&](const std::string &Value) {
    for (int Step = 0; Step < 1000; ++Step) {
      if (Test.Server.valueOf("r/n") == Value)
        return true;
      std::this_thread::sleep_for(10ms);
    }
    return false;
  };
  Test.Server.loseAnswers(2);
  Keeper.publish(Record);
  CHECK(Holds(Record.encoded()));
  Test.Server.expireLeases();
  CHECK(Holds(Record.encoded()));
  Keeper.publish(std::nullopt);
  CHECK(Holds(""));
  // Without a record it still learns that the store was away.
  const int Before = Regained;
  Test.Server.setOutage(outage::Unavailable);
  const int Calls = Test.Server.calls();
  while (Test.Server.calls() == Calls)
    std::this_thread::sleep_for(1ms);
  Test.Server.setOutage(outage::None);
  for (int Step = 0; Step < 1000 && Regained == Before; ++Step)
    std::this_thread::sleep_for(10ms);
  CHECK(Regained == Before + 1);
  Stopping = true;
  Keeper.wake();
  Duty.join();
}
