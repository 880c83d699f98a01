#include "clementine_proxy/clementine_proxy.h"

#include <doctest/doctest.h>

#include <map>

using namespace clementine;
using namespace clementine::proxy;
using namespace std::chrono_literals;

namespace {

route routeOf(std::string Name, std::string Host, std::string Prefix) {
  route Route;
  Route.Name = std::move(Name);
  Route.Host = std::move(Host);
  Route.Prefix = std::move(Prefix);
  Route.Services = {{"s", 1}};
  return Route;
}

instance_report reportOf(std::string Instance, std::int64_t StartedAt,
                         std::uint64_t Sequence,
                         instance_state State = instance_state::Ready) {
  return {
      std::move(Instance), "svc",   "zone", {"127.0.0.1", 80}, State, 10, {},
      StartedAt,           Sequence};
}

} // namespace

TEST_CASE("the longest prefix of the host wins") {
  routing_config Config;
  Config.Routes = {routeOf("short", "a.example", "/x/"),
                   routeOf("long", "a.example", "/x/y/"),
                   routeOf("other", "b.example", "/x/y/z/"),
                   routeOf("root", "d.example", "/")};
  const route_table Table(std::make_shared<const routing_config>(Config));
  CHECK(Table.find("a.example", "/x/y/z/1")->Name == "long");
  CHECK(Table.find("A.Example:80", "/x/z")->Name == "short");
  CHECK(Table.find("a.example", "/x") == nullptr);
  CHECK(Table.find("c.example", "/x/") == nullptr);
  CHECK(Table.find("d.example", "/any")->Name == "root");
  CHECK(Table.find("d.example", "") == nullptr);
}

TEST_CASE("weights are exact over a turn and spread within it") {
  weighted_rotation Rotation;
  const std::vector<weighted_service> Services = {{"a", 90}, {"b", 10}};
  std::map<std::size_t, int> Counts;
  for (int Request = 0; Request < 100; ++Request)
    ++Counts[Rotation.next(Services)];
  CHECK(Counts[0] == 90);
  CHECK(Counts[1] == 10);
}

TEST_CASE("a node record survives the store; other text is no record") {
  const node_record Record{"n", 5, "z", {"10.0.0.1", 7000}, "s", "i-1", 65};
  CHECK(node_record::decode(Record.encoded()) == Record);
  node_record Left = Record;
  Left.Departed = instance_run{"i-0", 17};
  CHECK(node_record::decode(Left.encoded()) == Left);
  CHECK_FALSE(node_record::decode("{}"));
  CHECK_FALSE(node_record::decode("\xff\x00 nonsense"));
  CHECK_FALSE(node_record::decode(R"({"node":5})"));
}

TEST_CASE("reports are ordered by start and sequence") {
  instance_book Book("svc", {"127.0.0.1", 80});
  CHECK(Book.ready() == nullptr);
  CHECK(Book.report(reportOf("i-1", 100, 5)) == report_verdict::Accepted);
  CHECK(Book.report(reportOf("i-1", 100, 4, instance_state::Draining)) ==
        report_verdict::Outdated);
  CHECK(Book.ready()->Instance == "i-1");
  CHECK(Book.report(reportOf("i-2", 200, 1)) == report_verdict::Accepted);
  CHECK(Book.report(reportOf("i-1", 100, 9)) == report_verdict::Outdated);
  CHECK(Book.ready()->Instance == "i-2");
  // The same name, started again: its counts start anew.
  CHECK(Book.report(reportOf("i-2", 300, 1)) == report_verdict::Accepted);
}

TEST_CASE("what has left never takes work again in the same run") {
  instance_book Book("svc", {"127.0.0.1", 80});
  Book.report(reportOf("i-1", 100, 1));
  SUBCASE("after it said that it drains") {
    Book.report(reportOf("i-1", 100, 2, instance_state::Draining));
  }
  SUBCASE("after it left without draining first") {
    CHECK(Book.deregister("i-1", 0));
  }
  CHECK(Book.ready() == nullptr);
  Book.report(reportOf("i-1", 100, 3));
  CHECK(Book.ready() == nullptr);
  Book.report(reportOf("i-1", 101, 1));
  CHECK(Book.ready() != nullptr);
}

TEST_CASE("what leaves before it was ever heard of never takes work") {
  instance_book Book("svc", {"127.0.0.1", 80});
  // The node has just started, and the instance's reports come late.
  CHECK_FALSE(Book.deregister("i-1", 5));
  CHECK(Book.report(reportOf("i-1", 5, 21)) == report_verdict::Accepted);
  CHECK(Book.ready() == nullptr);
  CHECK(Book.report(reportOf("i-1", 6, 1)) == report_verdict::Accepted);
  CHECK(Book.ready() != nullptr);
}

TEST_CASE("departures of other instances are bounded and change nothing") {
  instance_book Book("svc", {"127.0.0.1", 80});
  for (int Other = 0; Other < 1000; ++Other)
    CHECK_FALSE(Book.deregister("o-" + std::to_string(Other), Other + 1));
  CHECK(Book.report(reportOf("o-999", 1000, 1)) == report_verdict::Accepted);
  CHECK(Book.ready() == nullptr);
  CHECK(Book.report(reportOf("i-1", 2000, 1)) == report_verdict::Accepted);
  CHECK(Book.ready() != nullptr);
}

TEST_CASE("a storm of changes is read in ever larger batches") {
  batch_backoff Pace({500ms, 4s});
  instant Now{};
  int Batches = 0;
  for (const instant End = Now + 30s; Now < End; ++Batches)
    Now += Pace.next(Now) + 1ms;
  CHECK(Batches == 10);
  // After a calm time a change is told at once again.
  Now += 5s;
  CHECK(Pace.next(Now) == 500ms);
  CHECK(Pace.next(Now + 501ms) == 1s);
  batch_backoff Eager({});
  CHECK(Eager.next(Now) == 0ms);
  CHECK(Eager.next(Now) == 0ms);
}

TEST_CASE("what the former process of a node confirmed binds the next one") {
  instance_book Former("svc", {"127.0.0.1", 80});
  CHECK_FALSE(Former.lastDeparture());
  Former.report(reportOf("i-1", 5, 1));
  SUBCASE("a draining") {
    Former.report(reportOf("i-1", 5, 2, instance_state::Draining));
  }
  SUBCASE("a deregistration") { Former.deregister("i-1", 0); }
  REQUIRE(Former.lastDeparture());
  CHECK(*Former.lastDeparture() == instance_run{"i-1", 5});

  instance_book Next("svc", {"127.0.0.1", 80});
  Next.hold();
  // A report from before the draining comes late.
  CHECK(Next.report(reportOf("i-1", 5, 1)) == report_verdict::Accepted);
  CHECK(Next.ready() == nullptr);
  Next.deregister(Former.lastDeparture()->Instance,
                  Former.lastDeparture()->StartedAt);
  Next.release();
  CHECK(Next.ready() == nullptr);
  CHECK(Next.report(reportOf("i-2", 6, 1)) == report_verdict::Accepted);
  CHECK(Next.ready() != nullptr);
}

TEST_CASE("a book without a former process opens when it is released") {
  instance_book Book("svc", {"127.0.0.1", 80});
  Book.hold();
  Book.report(reportOf("i-1", 5, 1));
  CHECK(Book.ready() == nullptr);
  Book.release();
  CHECK(Book.ready() != nullptr);
}

TEST_CASE("the leaving of an earlier run does not end the present one") {
  instance_book Book("svc", {"127.0.0.1", 80});
  Book.report(reportOf("i-1", 200, 1));
  CHECK_FALSE(Book.deregister("i-0", 0));
  CHECK_FALSE(Book.deregister("i-1", 100));
  CHECK(Book.ready() != nullptr);
}

TEST_CASE("reports about another service or address are foreign") {
  instance_book Book("svc", {"127.0.0.1", 80});
  auto Report = reportOf("i-1", 1, 1);
  Report.Service = "other";
  CHECK(Book.report(Report) == report_verdict::Foreign);
  Report = reportOf("i-1", 1, 1);
  Report.Address.Port = 81;
  CHECK(Book.report(Report) == report_verdict::Foreign);
}

TEST_CASE("a node that came back with an earlier clock is found again") {
  seeded_random Random(1);
  instance_directory Directory({}, Random);
  const instant Now{1000s};
  node_record Record;
  Record.Node = "n";
  Record.Service = "svc";
  Record.Instance = "i-1";
  Record.Incarnation = 5000;
  Record.Slots = 4;
  Directory.record(Record);
  Directory.vanished("n", Now);
  // Its time of day was set back before it started again.
  Record.Incarnation = 3000;
  Directory.record(Record);
  CHECK(Directory.prune([](const std::string &) { return false; }, Now + 1s)
            .empty());
  REQUIRE(Directory.choose("svc", {}, Now) != nullptr);
  CHECK(Directory.find("n")->Record.Incarnation == 3000);
}

TEST_CASE("repeats keep to a share of the requests in any window") {
  repeat_budget Budget({10s, 0.1, 1});
  instant Now{1000s};
  for (int Request = 0; Request < 30; ++Request)
    Budget.request(Now);
  int Taken = 0;
  while (Budget.take(Now))
    ++Taken;
  CHECK(Taken == 4);
  CHECK_FALSE(Budget.take(Now + 9s));
  CHECK(Budget.take(Now + 11s));
  CHECK_FALSE(Budget.take(Now + 11s));
}

TEST_CASE("the limit falls with failures, once for each round trip") {
  downstream_limiter Limiter({}, 100);
  instant Now{1000s};
  for (int Run = 0; Run < 50; ++Run)
    Limiter.started();
  Limiter.ended(true, Now, Now + 1s);
  CHECK(Limiter.limit() == 100);
  Limiter.ended(true, Now, Now + 1s);
  const double First = Limiter.limit();
  CHECK(First < 50);
  Limiter.ended(true, Now, Now + 1s);
  CHECK(Limiter.limit() == First);
  Limiter.ended(true, Now + 2s, Now + 3s);
  CHECK(Limiter.limit() < First);
}

TEST_CASE("a single failure among many successes does not lower the limit") {
  downstream_limiter Limiter({}, 100);
  instant Now{1000s};
  for (int Run = 0; Run < 200; ++Run) {
    Now += 10ms;
    Limiter.started();
    Limiter.ended(Run % 50 == 49, Now, Now);
  }
  CHECK(Limiter.limit() == doctest::Approx(100));
  for (int Run = 0; Run < 3; ++Run) {
    Limiter.started();
    Limiter.ended(true, Now, Now);
  }
  CHECK(Limiter.limit() < 10);
}

TEST_CASE("a limit that holds work back grows again without failures") {
  downstream_limiter Limiter({}, 100);
  instant Now{1000s};
  for (int Run = 0; Run < 2; ++Run) {
    Limiter.started();
    Limiter.ended(true, Now, Now);
  }
  REQUIRE(Limiter.limit() == doctest::Approx(2));
  for (int Run = 0; Run < 2000; ++Run) {
    Now += 10ms;
    while (Limiter.admits())
      Limiter.started();
    Limiter.ended(false, Now, Now);
  }
  CHECK(Limiter.limit() == doctest::Approx(100));
}

TEST_CASE("settings are checked, every fault with its line") {
  const std::string Good =
      "[node]\nname = n\nzone = z\nstop_grace = 6s\n[instance]\nservice = s\n"
      "address = 127.0.0.1:1\n[listen]\noutbound = 127.0.0.1:2\n"
      "control = 127.0.0.1:3\nready = 127.0.0.1:4\npeer = 127.0.0.1:5\n"
      "metrics = 127.0.0.1:6\n[store]\naddress = 127.0.0.1:7\n";
  const auto Settings = readProxySettings(Good, "f.ini");
  REQUIRE(Settings);
  CHECK(Settings.value().StopGrace == 6s);
  CHECK(Settings.value().StoreAddress.Port == 7);
  CHECK(Settings.value().peerAddress().Port == 5);
  const auto Advertised =
      readProxySettings(Good + "[repeats]\nwindow = 5s\n[listen]\n", "f.ini");
  CHECK(Advertised.has_error());
  const auto Translated = readProxySettings(
      std::string(Good).replace(Good.find("[store]"), 0,
                                "peer_advertised = 127.0.0.1:9\n"),
      "f.ini");
  REQUIRE(Translated);
  CHECK(Translated.value().peerAddress().Port == 9);

  const auto Faulty =
      readProxySettings("[node]\nname = n\nzone =\nstrange = 1\n", "f.ini");
  REQUIRE(Faulty.has_error());
  bool SeesUnknown = false;
  bool SeesMissing = false;
  for (const settings_error &Error : Faulty.error().Errors) {
    SeesUnknown |= Error.Fault == settings_fault::UnknownKey && Error.Line == 4;
    SeesMissing |= Error.Fault == settings_fault::MissingKey &&
                   Error.Section == "store" && Error.Key == "address";
  }
  CHECK(SeesUnknown);
  CHECK(SeesMissing);
}
