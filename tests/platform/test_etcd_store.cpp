#include "clementine_platform/clementine_platform.h"
#include "scripted_server.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace clementine;
using namespace std::chrono_literals;

namespace {

using after = scripted_server::after;

/// Size limits that a test can exceed, and timeouts that do not expire on a
/// busy machine.
http_channel::limits smallLimits() {
  http_channel::limits Limits;
  Limits.CallTimeout = 60s;
  Limits.StreamIdleTimeout = 60s;
  Limits.LargestAnswer = 4096;
  Limits.LargestRequest = 4096;
  return Limits;
}

/// For a server that stops responding: only the timeout can end the call.
http_channel::limits shortTimeoutLimits() {
  http_channel::limits Limits = smallLimits();
  Limits.CallTimeout = 300ms;
  Limits.StreamIdleTimeout = 300ms;
  return Limits;
}

http_channel::limits limitsFor(const scripted_server::step &Step) {
  return Step.After == after::StaySilent ? shortTimeoutLimits() : smallLimits();
}

platform_transaction onePut() {
  platform_transaction Transaction;
  Transaction.Puts = {{"k", "v", 0}};
  return Transaction;
}

platform_error commitErrorOf(scripted_server::step Step) {
  const auto Limits = limitsFor(Step);
  scripted_server Server({std::move(Step)});
  etcd_platform_store Store(Server.url(), Limits);
  const auto Commit = Store.commit(onePut());
  REQUIRE(Commit.has_error());
  return Commit.error();
}

const std::string Committed = R"({"header":{"revision":"7"},"succeeded":true})";

} // namespace

TEST_CASE("base64 round-trips any bytes and rejects invalid text") {
  CHECK(rc::check([](const std::string &Bytes) {
    RC_ASSERT(decodeBase64(encodeBase64(Bytes)) == Bytes);
  }));
  for (const char *Text : {"a", "abc", "ab=c", "====", "a===", "ab c", "a\n=="})
    CHECK_FALSE(decodeBase64(Text).has_value());
}

TEST_CASE("a transaction round-trips through its encoding") {
  platform_transaction Transaction;
  Transaction.Compares = {{std::string("k\0y", 3),
                           platform_compare::field::Version,
                           platform_compare::relation::NotEqual, 9}};
  Transaction.Puts = {{"a", "\xff\x01", 77}};
  Transaction.Deletes = {"b"};
  Transaction.ReadsOnFailure = {"k"};
  const auto Decoded =
      etcd::decodeTransaction(etcd::encodeTransaction(Transaction));
  REQUIRE(Decoded.has_value());
  CHECK(Decoded.value() == Transaction);
}

TEST_CASE("decoders return a value or a typed error for truncated or changed "
          "messages") {
  CHECK(rc::check([] {
    const std::string Whole = etcd::encodeRange(
        {5, {{"key", "value", 1, 2, 3, 4}, {"other", "", 1, 2, 3, 0}}});
    const auto At = *rc::gen::inRange<std::size_t>(0, Whole.size());
    std::string Cut = Whole.substr(0, At);
    RC_ASSERT(etcd::decodeRange(Cut).has_error());
    std::string Changed = Whole;
    Changed[At] = *rc::gen::arbitrary<char>();
    (void)etcd::decodeRange(Changed);
    (void)etcd::decodeCommit(Changed);
    (void)etcd::decodeWatchMessage(Changed);
    (void)etcd::decodeTransaction(Changed);
  }));
}

TEST_CASE("the end of a prefix range skips trailing bytes of 0xff") {
  CHECK(etcd::prefixEnd("ab") == "ac");
  CHECK(etcd::prefixEnd("a\xff") == "b");
  CHECK(etcd::prefixEnd("\xff") == std::string(1, '\0'));
}

TEST_CASE("a call without a connection is reported as not applied") {
  std::string Url;
  {
    const scripted_server Gone({});
    Url = Gone.url();
  }
  etcd_platform_store Store(Url, smallLimits());
  const auto Commit = Store.commit(onePut());
  REQUIRE(Commit.has_error());
  CHECK(Commit.error().Cause == platform_cause::Unreachable);
  CHECK(Commit.error().Effect == platform_effect::NotApplied);
}

TEST_CASE(
    "a refused call is not applied, a server error has an unknown effect") {
  const auto Refused = commitErrorOf({scripted_server::httpAnswer(
      400, R"({"error":"duplicate key","code":3,"message":"duplicate key"})")});
  CHECK(Refused.Cause == platform_cause::Refused);
  CHECK(Refused.Effect == platform_effect::NotApplied);
  CHECK(Refused.Detail == "duplicate key");
  const auto Faulty = commitErrorOf({scripted_server::httpAnswer(503, "busy")});
  CHECK(Faulty.Cause == platform_cause::Faulty);
  CHECK(Faulty.Effect == platform_effect::Unknown);
}

TEST_CASE("a write without a complete response has an unknown effect") {
  const std::string Whole = scripted_server::httpAnswer(200, Committed);
  for (const std::size_t Length :
       {std::size_t{0}, std::size_t{10}, Whole.size() / 2, Whole.size() - 1}) {
    const auto Cut = commitErrorOf({Whole.substr(0, Length), after::Close});
    CHECK(Cut.Cause == platform_cause::Interrupted);
    CHECK(Cut.Effect == platform_effect::Unknown);
  }
  const auto Late =
      commitErrorOf({Whole.substr(0, Whole.size() - 1), after::StaySilent});
  CHECK(Late.Cause == platform_cause::TimedOut);
  CHECK(Late.Effect == platform_effect::Unknown);
}

TEST_CASE("malformed and oversized responses to a write are typed errors") {
  for (const std::string Body :
       {"", "{", "[]", "7", "{}", R"({"header":{"revision":"x"}})",
        R"({"header":{"revision":"1"},"succeeded":"yes"})",
        R"({"header":{"revision":"99999999999999999999"}})"}) {
    const auto Error = commitErrorOf({scripted_server::httpAnswer(200, Body)});
    CHECK(Error.Cause == platform_cause::MalformedAnswer);
    CHECK(Error.Effect == platform_effect::Unknown);
  }
  const auto Large =
      commitErrorOf({scripted_server::httpAnswer(200, std::string(5000, ' '))});
  CHECK(Large.Cause == platform_cause::AnswerTooLarge);
  CHECK(Large.Effect == platform_effect::Unknown);
  CHECK(commitErrorOf({"SSH-2.0-x\r\n", after::Close}).Effect ==
        platform_effect::Unknown);
}

TEST_CASE("a request above the size limit is not sent") {
  scripted_server Server({});
  etcd_platform_store Store(Server.url(), smallLimits());
  auto Transaction = onePut();
  Transaction.Puts[0].Value = std::string(5000, 'x');
  const auto Commit = Store.commit(Transaction);
  REQUIRE(Commit.has_error());
  CHECK(Commit.error().Cause == platform_cause::RequestTooLarge);
  CHECK(Server.connections() == 0);
}

TEST_CASE(
    "calls reuse a connection, and a write is not resent after a lost one") {
  scripted_server Server({{scripted_server::httpAnswer(200, Committed)},
                          {scripted_server::httpAnswer(200, Committed)},
                          {"", after::Close},
                          {scripted_server::httpAnswer(200, Committed)}});
  etcd_platform_store Store(Server.url(), smallLimits());
  CHECK(Store.commit(onePut()).value().Revision == 7);
  CHECK(Store.commit(onePut()).has_value());
  CHECK(Server.connections() == 1);
  const auto Lost = Store.commit(onePut());
  REQUIRE(Lost.has_error());
  CHECK(Lost.error().Effect == platform_effect::Unknown);
  CHECK(Server.requests() == 3);
}

TEST_CASE("a response with another key than the requested one is malformed") {
  scripted_server Server({{scripted_server::httpAnswer(
      200, etcd::encodeRange({5, {{"other", "v", 1, 1, 1, 0}}}))}});
  etcd_platform_store Store(Server.url(), smallLimits());
  const auto Entry = Store.get("key");
  REQUIRE(Entry.has_error());
  CHECK(Entry.error().Cause == platform_cause::MalformedAnswer);
}

TEST_CASE("a watch delivers events and reports why it ended") {
  const std::string Head = "HTTP/1.1 200 OK\r\n\r\n";
  etcd::watch_message Message;
  Message.Batch = {9, {{platform_event::kind::Put, {"p/a", "v", 9, 9, 1, 0}}}};
  const std::string Line = etcd::encodeWatchMessage(Message);
  etcd::watch_message Cancelled;
  Cancelled.Canceled = true;
  Cancelled.CompactRevision = 50;
  struct ending {
    scripted_server::step Step;
    platform_cause Cause;
  };
  const std::vector<ending> Endings = {
      {{Head + Line, after::Close}, platform_cause::Interrupted},
      {{Head + Line, after::StaySilent}, platform_cause::TimedOut},
      {{Head + Line + "{\n", after::KeepOpen}, platform_cause::MalformedAnswer},
      {{Head + Line + std::string(5000, ' '), after::KeepOpen},
       platform_cause::AnswerTooLarge},
      {{Head + Line + etcd::encodeWatchMessage(Cancelled), after::KeepOpen},
       platform_cause::Compacted}};
  for (const ending &Ending : Endings) {
    scripted_server Server({Ending.Step});
    etcd_platform_store Store(Server.url(), limitsFor(Ending.Step));
    std::vector<platform_event> Seen;
    const std::atomic<bool> Stopping{false};
    const auto Ended = Store.watch(
        "p/", 1,
        [&](const platform_watch_batch &Batch) {
          Seen.insert(Seen.end(), Batch.Events.begin(), Batch.Events.end());
        },
        Stopping);
    REQUIRE(Ended.has_error());
    CHECK(Ended.error().Cause == Ending.Cause);
    CHECK(Seen == Message.Batch.Events);
  }
}
