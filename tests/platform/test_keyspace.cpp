#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "clementine_platform/clementine_platform.h"

#include <rapidcheck.h>

#include <map>

using namespace clementine;
using namespace std::chrono_literals;

namespace {

using field = platform_compare::field;
using relation = platform_compare::relation;

platform_transaction putIf(const std::string &Key, const std::string &Value,
                           platform_revision ModRevision) {
  platform_transaction Transaction;
  Transaction.Compares = {
      {Key, field::ModRevision, relation::Equal, ModRevision}};
  Transaction.Puts = {{Key, Value, 0}};
  Transaction.ReadsOnFailure = {Key};
  return Transaction;
}

constexpr std::size_t LargeHistoryLimit = 1000;

} // namespace

TEST_CASE("of two racing writers one succeeds and the other gets its value") {
  keyspace Keys(LargeHistoryLimit);
  CHECK(Keys.commit(putIf("head", "ours", 0))->Succeeded);
  const auto Lost = Keys.commit(putIf("head", "theirs", 0));
  CHECK_FALSE(Lost->Succeeded);
  REQUIRE(Lost->Entries.size() == 1);
  CHECK(Lost->Entries[0].Value == "ours");
  CHECK(Keys.commit(putIf("head", "theirs", Lost->Entries[0].ModRevision))
            ->Succeeded);
  CHECK(Keys.get("head")->Version == 2);
  CHECK(Keys.get("head")->CreateRevision < Keys.get("head")->ModRevision);
}

TEST_CASE("an expired lease removes its keys and cannot be renewed") {
  keyspace Keys(LargeHistoryLimit);
  const instant Start{};
  const lease_id Lease = Keys.grantLease(5s, Start).Id;
  platform_transaction Transaction;
  Transaction.Puts = {{"seed/a", "x", Lease}};
  CHECK(Keys.commit(Transaction)->Succeeded);
  CHECK(Keys.renewLease(Lease, Start + 4s));
  Keys.expireLeases(Start + 8s);
  CHECK(Keys.get("seed/a"));
  Keys.expireLeases(Start + 9s);
  CHECK_FALSE(Keys.get("seed/a"));
  CHECK_FALSE(Keys.renewLease(Lease, Start + 9s));
  CHECK_FALSE(Keys.commit(Transaction).has_value());
  const auto Events = Keys.eventsSince("seed/", 1)->Events;
  REQUIRE(Events.size() == 2);
  CHECK(Events[1].Kind == platform_event::kind::Delete);
}

TEST_CASE("a transaction that changes a key twice is refused entirely") {
  keyspace Keys(LargeHistoryLimit);
  platform_transaction Transaction;
  Transaction.Puts = {{"a", "1", 0}, {"a", "2", 0}};
  CHECK_FALSE(Keys.commit(Transaction).has_value());
  CHECK_FALSE(Keys.get("a"));
}

TEST_CASE("a watch from a compacted revision is refused") {
  keyspace Keys(2);
  for (int Round = 0; Round < 4; ++Round)
    Keys.commit(putIf("k" + std::to_string(Round), "v", 0));
  CHECK_FALSE(Keys.eventsSince("k", 2).has_value());
  CHECK(Keys.eventsSince("k", Keys.oldestRevision())->Events.size() == 2);
}

TEST_CASE("any sequence of transactions matches a map, and the events of a "
          "watch rebuild it") {
  const bool Held = rc::check([] {
    keyspace Keys(100000);
    std::map<std::string, std::string> Model;
    const auto Steps = *rc::gen::inRange(1, 60);
    for (int Step = 0; Step < Steps; ++Step) {
      const std::string Key(1,
                            static_cast<char>('a' + *rc::gen::inRange(0, 4)));
      const auto Known = Keys.get(Key);
      const bool Stale = *rc::gen::inRange(0, 3) == 0;
      const platform_revision Expected =
          (Known ? Known->ModRevision : 0) + (Stale ? 1 : 0);
      auto Transaction = putIf(Key, std::to_string(Step), Expected);
      if (*rc::gen::arbitrary<bool>()) {
        Transaction.Puts.clear();
        Transaction.Deletes = {Key};
      }
      const platform_revision Before = Keys.revision();
      RC_ASSERT(Keys.commit(Transaction)->Succeeded == !Stale);
      RC_ASSERT(Keys.revision() >= Before);
      if (Stale)
        continue;
      if (Transaction.Puts.empty())
        Model.erase(Key);
      else
        Model[Key] = std::to_string(Step);
    }
    std::map<std::string, std::string> Rebuilt;
    const auto History = Keys.eventsSince("", 1);
    for (const platform_event &Event : History->Events)
      if (Event.Kind == platform_event::kind::Put)
        Rebuilt[Event.Entry.Key] = Event.Entry.Value;
      else
        Rebuilt.erase(Event.Entry.Key);
    RC_ASSERT(Rebuilt == Model);
    for (const char Key : {'a', 'b', 'c', 'd'}) {
      const auto Entry = Keys.get(std::string(1, Key));
      const auto Found = Model.find(std::string(1, Key));
      RC_ASSERT(Entry.has_value() == (Found != Model.end()));
      if (Entry)
        RC_ASSERT(Entry->Value == Found->second);
    }
  });
  CHECK(Held);
}
