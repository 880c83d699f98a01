#include "store/kv_platform_store.h"

#include "../stand_in/free_endpoint.h"
#include "clementine_proxy/node/store_tasks.h"
#include "stand_in_users_platform/kv_store.h"

#include <doctest/doctest.h>

#include <functional>
#include <set>
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

/// Polls @p Condition for at most 10 seconds.
bool becomesTrue(const std::function<bool()> &Condition) {
  constexpr int MostSteps = 1000;
  for (int Step = 0; Step < MostSteps && !Condition(); ++Step)
    std::this_thread::sleep_for(10ms);
  return Condition();
}

/// Runs a publisher or a watcher on a thread of its own.
template <class Task> class running_task {
public:
  explicit running_task(Task &Running)
      : Running(Running), Thread([this] { this->Running.run(Stopping); }) {}
  ~running_task() {
    Stopping = true;
    Running.wake();
    Thread.join();
  }

  running_task(const running_task &) = delete;
  running_task &operator=(const running_task &) = delete;

private:
  Task &Running;
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

struct fixture {
  platform_transaction conditionalPut(const std::string &Key,
                                      const std::string &Value,
                                      platform_revision Revision,
                                      lease_id Lease = 0) {
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

TEST_CASE("values and odd keys round-trip, and a listing spans several pages") {
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

TEST_CASE("a failed precondition is reported as a result, not as an error") {
  fixture Test;
  REQUIRE(
      Test.Store.commit(Test.conditionalPut("k", "1", 0)).value().Succeeded);
  CHECK_FALSE(
      Test.Store.commit(Test.conditionalPut("k", "2", 0)).value().Succeeded);
  CHECK(Test.Server.valueOf("k") == "1");
}

TEST_CASE("a write whose response is lost reports an unknown effect") {
  fixture Test;
  Test.Server.loseAnswers(1);
  const auto Lost = Test.Store.commit(Test.conditionalPut("k", "1", 0));
  REQUIRE(Lost.has_error());
  CHECK(Lost.error().Effect == platform_effect::Unknown);
  CHECK(Test.Server.valueOf("k") == "1");
}

TEST_CASE("refused and timed-out calls are reported as errors with their "
          "effect or cause") {
  fixture Test;
  for (const outage Kind : {outage::Unavailable, outage::Busy}) {
    Test.Server.setOutage(Kind);
    const auto Refused = Test.Store.commit(Test.conditionalPut("k", "1", 0));
    REQUIRE(Refused.has_error());
    CHECK(Refused.error().Effect == platform_effect::NotApplied);
  }
  Test.Server.setOutage(outage::Silent);
  CHECK(Test.Store.get("k").error().Cause == platform_cause::TimedOut);
  Test.Server.setOutage(outage::None);
  CHECK(Test.Store.get("k"));
}

TEST_CASE("a stand-in store restored from a copy has lost keys and leases, and "
          "gives their numbers out again") {
  fixture Test;
  http_channel Channel("http://" + Test.Address.text(), shortLimits());
  const auto Kept = Test.Store.grantLease(2s).value();
  REQUIRE(Test.Store.commit(Test.conditionalPut("kept", "1", 0, Kept.Id)));
  Test.Server.keepCopy();
  const auto Lost = Test.Store.grantLease(2s).value();
  const auto Written =
      Test.Store.commit(Test.conditionalPut("lost", "1", 0, Lost.Id)).value();
  const auto WatchAfter = [&](platform_revision Revision) {
    return Channel
        .get("/clementinecove/kv-watch?prefix=lost&wait_ms=200&after=" +
             std::to_string(Revision))
        .value()
        .Status;
  };
  CHECK(WatchAfter(Written.Revision) == 200);
  REQUIRE(Written.Era);
  Test.Server.restoreCopy();
  CHECK(Test.Store.list("kept").value().Era == *Written.Era + 1);
  CHECK(Test.Server.valueOf("lost").empty());
  CHECK(Test.Server.valueOf("kept") == "1");
  CHECK(Test.Store.renewLease(Kept.Id));
  CHECK(Test.Store.renewLease(Lost.Id).has_error());
  CHECK(WatchAfter(Written.Revision) == 410);
  CHECK(Test.Store.grantLease(2s).value().Id == Lost.Id);
  CHECK(Test.Store.commit(Test.conditionalPut("other", "1", 0))
            .value()
            .Revision == Written.Revision);
  CHECK(WatchAfter(Written.Revision) == 200);
}

TEST_CASE(
    "renewing an expired lease reports LeaseNotFound; revoking it succeeds") {
  fixture Test;
  const auto Lease = Test.Store.grantLease(2s);
  REQUIRE(Lease);
  REQUIRE(Test.Store.commit(Test.conditionalPut("k", "1", 0, Lease.value().Id))
              .value()
              .Succeeded);
  CHECK(Test.Store.renewLease(Lease.value().Id));
  Test.Server.expireLeases();
  CHECK(Test.Server.valueOf("k").empty());
  CHECK(Test.Store.renewLease(Lease.value().Id).error().Cause ==
        platform_cause::LeaseNotFound);
  CHECK(Test.Store.revokeLease(Lease.value().Id));
}

TEST_CASE(
    "a prefix watcher misses no key after compaction, an outage or a lost "
    "watch event") {
  fixture Test;
  std::mutex Mutex;
  std::map<std::string, std::string> Seen;
  proxy::prefix_watcher Watcher("test", Test.Store, "f/", {},
                                {[&](const platform_range &Range) {
                                   const std::lock_guard Lock(Mutex);
                                   for (const platform_entry &Entry :
                                        Range.Entries)
                                     Seen[Entry.Key] = Entry.Value;
                                 },
                                 [&](const platform_event &Event, store_era) {
                                   const std::lock_guard Lock(Mutex);
                                   Seen[Event.Entry.Key] = Event.Entry.Value;
                                 },
                                 [](bool) {}});
  const auto WaitForKey = [&](const std::string &Key) {
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
  std::thread WatcherThread([&] { Watcher.run(Stopping); });
  Test.Server.put("f/1", "v");
  CHECK(WaitForKey("f/1"));
  Test.Server.put("f/2", "v");
  Test.Server.compactHistory();
  CHECK(WaitForKey("f/2"));
  Test.Server.setOutage(outage::Unavailable);
  Test.Server.put("f/3", "v");
  Test.Server.setOutage(outage::None);
  CHECK(WaitForKey("f/3"));
  // A lost watch response cannot be detected; wake() reads all keys again.
  Test.Server.hideEvents(true);
  Test.Server.put("f/4", "v");
  Watcher.wake();
  CHECK(WaitForKey("f/4"));
  Stopping = true;
  Watcher.wake();
  Test.Store.interrupt();
  WatcherThread.join();
}

TEST_CASE(
    "a record is republished after its lease expires, and removed on request") {
  fixture Test;
  proxy::store_task_settings Settings;
  Settings.RenewInterval = 50ms;
  std::atomic<int> Recoveries{0};
  proxy::record_publisher Publisher(Test.Store, "r/n", Settings,
                                    [&] { ++Recoveries; });
  const proxy::node_record Record{"n", 1, "z", {"127.0.0.1", 1}, "s", "i", 5};
  std::atomic<bool> Stopping{false};
  std::thread PublisherThread([&] { Publisher.run(Stopping); });
  const auto WaitForValue = [&](const std::string &Value) {
    for (int Step = 0; Step < 1000; ++Step) {
      if (Test.Server.valueOf("r/n") == Value)
        return true;
      std::this_thread::sleep_for(10ms);
    }
    return false;
  };
  Test.Server.loseAnswers(2);
  Publisher.publish(Record);
  CHECK(WaitForValue(Record.encoded()));
  Test.Server.expireLeases();
  CHECK(WaitForValue(Record.encoded()));
  Publisher.publish(std::nullopt);
  CHECK(WaitForValue(""));
  // Without a record the publisher still detects that the store was
  // unavailable.
  const int Before = Recoveries;
  Test.Server.setOutage(outage::Unavailable);
  const int Calls = Test.Server.calls();
  while (Test.Server.calls() == Calls)
    std::this_thread::sleep_for(1ms);
  Test.Server.setOutage(outage::None);
  for (int Step = 0; Step < 1000 && Recoveries == Before; ++Step)
    std::this_thread::sleep_for(10ms);
  CHECK(Recoveries == Before + 1);
  Stopping = true;
  Publisher.wake();
  PublisherThread.join();
}

TEST_CASE("a starting node writes its record with two calls, and with three "
          "over that of its former process") {
  fixture Test;
  const auto CallsToWrite = [&](const proxy::node_record &Record) {
    const int Before = Test.Server.calls();
    proxy::record_publisher Publisher(Test.Store, "r/n", {}, [] {});
    std::atomic<bool> Stopping{false};
    Publisher.publish(Record);
    std::thread PublisherThread([&] { Publisher.run(Stopping); });
    for (int Step = 0;
         Step < 1000 && Test.Server.valueOf("r/n") != Record.encoded(); ++Step)
      std::this_thread::sleep_for(5ms);
    CHECK(Test.Server.valueOf("r/n") == Record.encoded());
    Stopping = true;
    Publisher.wake();
    PublisherThread.join();
    return Test.Server.calls() - Before;
  };
  CHECK(CallsToWrite({"n", 1, "z", {"127.0.0.1", 1}, "s", "i", 5}) == 2);
  CHECK(CallsToWrite({"n", 2, "z", {"127.0.0.1", 1}, "s", "i", 5}) == 3);
}

TEST_CASE("a record is written again if the store lost its last write with a "
          "restored copy, though its lease can be renewed") {
  fixture Test;
  proxy::store_task_settings Settings;
  Settings.RenewInterval = 50ms;
  proxy::record_publisher Publisher(Test.Store, "r/n", Settings, [] {});
  const proxy::node_record Before{"n", 1, "z", {"127.0.0.1", 1}, "s", "i", 5};
  proxy::node_record After = Before;
  After.Instance.clear();
  After.Departed = proxy::instance_run{"i", 1};
  Publisher.publish(Before);
  const running_task Running(Publisher);
  const auto IsStored = [&](const proxy::node_record &Record) {
    return Test.Server.valueOf("r/n") == Record.encoded();
  };
  REQUIRE(becomesTrue([&] { return IsStored(Before); }));
  Test.Server.keepCopy();
  Publisher.publish(After);
  REQUIRE(becomesTrue([&] { return IsStored(After); }));
  Test.Server.restoreCopy();
  REQUIRE(IsStored(Before));
  CHECK(becomesTrue([&] { return IsStored(After); }));
}

TEST_CASE("a record is written again if a restored store has given its lease "
          "to another node") {
  fixture Test;
  proxy::store_task_settings Settings;
  Settings.RenewInterval = 1000ms;
  proxy::record_publisher Publisher(Test.Store, "r/n", Settings, [] {});
  const proxy::node_record Record{"n", 1, "z", {"127.0.0.1", 1}, "s", "i", 5};
  Test.Server.keepCopy();
  Publisher.publish(Record);
  const running_task Running(Publisher);
  const auto IsStored = [&] {
    return Test.Server.valueOf("r/n") == Record.encoded();
  };
  REQUIRE(becomesTrue(IsStored));
  const lease_id Lost = Test.Store.get("r/n").value()->Lease;
  Test.Server.restoreCopy();
  REQUIRE(Test.Store.grantLease(30s).value().Id == Lost);
  REQUIRE(becomesTrue(IsStored));
  CHECK(Test.Store.get("r/n").value()->Lease != Lost);
}

TEST_CASE("a prefix watcher misses no key when a restored store has passed the "
          "watched revision again") {
  fixture Test;
  std::mutex Mutex;
  std::set<std::string> Seen;
  const auto Note = [&](const std::string &Key) {
    const std::lock_guard Lock(Mutex);
    return Seen.insert(Key).second;
  };
  const auto HasSeen = [&](const std::string &Key) {
    const std::lock_guard Lock(Mutex);
    return Seen.contains(Key);
  };
  proxy::prefix_watcher Watcher(
      "test", Test.Store, "f/", {},
      {[&](const platform_range &Range) {
         for (const platform_entry &Entry : Range.Entries)
           Note(Entry.Key);
       },
       [&](const platform_event &Event, store_era) {
         if (!Note(Event.Entry.Key) || Event.Entry.Key != "f/2")
           return;
         Test.Server.restoreCopy();
         for (const char *Key : {"f/3", "f/4", "f/5"})
           Test.Server.put(Key, "v");
       },
       [](bool) {}});
  Test.Server.put("f/1", "v");
  Test.Server.keepCopy();
  const running_task Running(Watcher);
  REQUIRE(becomesTrue([&] { return HasSeen("f/1"); }));
  Test.Server.put("f/2", "v");
  CHECK(becomesTrue([&] { return HasSeen("f/3"); }));
  CHECK(becomesTrue([&] { return HasSeen("f/5"); }));
}

TEST_CASE("a listing whose pages are of two histories of the store is no "
          "listing") {
  const endpoint Address = findFreeEndpoint();
  std::atomic<int> Pages{0};
  stand_in::http_server Server(
      Address, {}, [&](const stand_in::http_request &) {
        const int Page = ++Pages;
        stand_in::http_answer Answer;
        Answer.Headers = {{"Store-Era", std::to_string(Page)}};
        Answer.Body =
            R"({"items":[{"key":"a/1","revision":3}],"at":4,"has_more":)" +
            std::string(Page == 1 ? "true}" : "false}");
        return Answer;
      });
  users::kv_platform_store Store("http://" + Address.text(), shortLimits());
  const auto Listed = Store.list("a/");
  REQUIRE(Listed.has_error());
  CHECK(Listed.error().Cause == platform_cause::Compacted);
}
