#include "clementine_proxy/clementine_proxy.h"

#include <doctest/doctest.h>

#include <algorithm>
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

TEST_CASE("the route with the longest matching prefix of the host is chosen") {
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

TEST_CASE("the weighted shares are exact over a full cycle") {
  weighted_rotation Rotation;
  const std::vector<weighted_service> Services = {{"a", 90}, {"b", 10}};
  std::map<std::size_t, int> Counts;
  for (int Request = 0; Request < 100; ++Request)
    ++Counts[Rotation.next(Services)];
  CHECK(Counts[0] == 90);
  CHECK(Counts[1] == 10);
}

TEST_CASE("a node record survives encoding; malformed text is rejected") {
  const node_record Record{"n", 5, "z", {"10.0.0.1", 7000}, "s", "i-1", 65};
  CHECK(node_record::decode(Record.encoded()) == Record);
  node_record Left = Record;
  Left.Departed = instance_run{"i-0", 17};
  CHECK(node_record::decode(Left.encoded()) == Left);
  CHECK_FALSE(node_record::decode("{}"));
  CHECK_FALSE(node_record::decode("\xff\x00 nonsense"));
  CHECK_FALSE(node_record::decode(R"({"node":5})"));
  node_record Unreachable = Record;
  Unreachable.Peer.Host = "no.address.example";
  CHECK_FALSE(node_record::decode(Unreachable.encoded()));
}

TEST_CASE("instance reports are ordered by start time and sequence number") {
  instance_registration Registration("svc", {"127.0.0.1", 80});
  CHECK(Registration.ready() == nullptr);
  CHECK(Registration.report(reportOf("i-1", 100, 5)) ==
        report_verdict::Accepted);
  CHECK(
      Registration.report(reportOf("i-1", 100, 4, instance_state::Draining)) ==
      report_verdict::Outdated);
  CHECK(Registration.ready()->Instance == "i-1");
  CHECK(Registration.report(reportOf("i-2", 200, 1)) ==
        report_verdict::Accepted);
  CHECK(Registration.report(reportOf("i-1", 100, 9)) ==
        report_verdict::Outdated);
  CHECK(Registration.ready()->Instance == "i-2");
  // After a restart of the same instance, sequence numbers start again.
  CHECK(Registration.report(reportOf("i-2", 300, 1)) ==
        report_verdict::Accepted);
}

TEST_CASE("a departed run of an instance never becomes ready again") {
  instance_registration Registration("svc", {"127.0.0.1", 80});
  Registration.report(reportOf("i-1", 100, 1));
  SUBCASE("after it reported draining") {
    Registration.report(reportOf("i-1", 100, 2, instance_state::Draining));
  }
  SUBCASE("after it deregistered without draining first") {
    CHECK(Registration.deregister("i-1", 0));
  }
  CHECK(Registration.ready() == nullptr);
  Registration.report(reportOf("i-1", 100, 3));
  CHECK(Registration.ready() == nullptr);
  Registration.report(reportOf("i-1", 101, 1));
  CHECK(Registration.ready() != nullptr);
}

TEST_CASE(
    "a run that deregisters before its first report never becomes ready") {
  instance_registration Registration("svc", {"127.0.0.1", 80});
  // The node has just started, and the instance's report is delayed.
  CHECK_FALSE(Registration.deregister("i-1", 5));
  CHECK(Registration.report(reportOf("i-1", 5, 21)) ==
        report_verdict::Accepted);
  CHECK(Registration.ready() == nullptr);
  CHECK(Registration.report(reportOf("i-1", 6, 1)) == report_verdict::Accepted);
  CHECK(Registration.ready() != nullptr);
}

TEST_CASE(
    "records of departed instances are bounded and do not affect others") {
  instance_registration Registration("svc", {"127.0.0.1", 80});
  for (int Other = 0; Other < 1000; ++Other)
    CHECK_FALSE(
        Registration.deregister("o-" + std::to_string(Other), Other + 1));
  CHECK(Registration.report(reportOf("o-999", 1000, 1)) ==
        report_verdict::Accepted);
  CHECK(Registration.ready() == nullptr);
  CHECK(Registration.report(reportOf("i-1", 2000, 1)) ==
        report_verdict::Accepted);
  CHECK(Registration.ready() != nullptr);
}

TEST_CASE("frequent changes are read in batches at increasing intervals") {
  batch_backoff Backoff({500ms, 4s});
  instant Now{};
  int Batches = 0;
  for (const instant End = Now + 30s; Now < End; ++Batches)
    Now += Backoff.next(Now) + 1ms;
  CHECK(Batches == 10);
  // After an interval without changes the delay returns to its minimum.
  Now += 5s;
  CHECK(Backoff.next(Now) == 500ms);
  CHECK(Backoff.next(Now + 501ms) == 1s);
  batch_backoff WithoutDelay({});
  CHECK(WithoutDelay.next(Now) == 0ms);
  CHECK(WithoutDelay.next(Now) == 0ms);
}

TEST_CASE(
    "a departure confirmed by a node's former process holds for the next one") {
  instance_registration Former("svc", {"127.0.0.1", 80});
  CHECK_FALSE(Former.lastDeparture());
  Former.report(reportOf("i-1", 5, 1));
  SUBCASE("by a draining report") {
    Former.report(reportOf("i-1", 5, 2, instance_state::Draining));
  }
  SUBCASE("by a deregistration") { Former.deregister("i-1", 0); }
  REQUIRE(Former.lastDeparture());
  CHECK(*Former.lastDeparture() == instance_run{"i-1", 5});

  instance_registration Next("svc", {"127.0.0.1", 80});
  Next.hold();
  // A report from before the departure is delayed.
  CHECK(Next.report(reportOf("i-1", 5, 1)) == report_verdict::Unproven);
  CHECK(Next.ready() == nullptr);
  Next.deregister(Former.lastDeparture()->Instance,
                  Former.lastDeparture()->StartedAt);
  Next.release();
  CHECK(Next.ready() == nullptr);
  CHECK(Next.report(reportOf("i-1", 5, 2)) == report_verdict::Accepted);
  CHECK(Next.ready() == nullptr);
  CHECK(Next.report(reportOf("i-2", 6, 1)) == report_verdict::Unproven);
  CHECK(Next.report(reportOf("i-2", 6, 2)) == report_verdict::Accepted);
  CHECK(Next.ready() != nullptr);
}

// Nobody remembers it: review/6, review/7 and review/13.
TEST_CASE("a delayed report does not undo a departure that only a former "
          "process of the node knew") {
  instance_registration Next("svc", {"127.0.0.1", 80});
  Next.hold();
  Next.release();
  for (int Copy = 0; Copy < 3; ++Copy) {
    CHECK(Next.report(reportOf("i-1", 5, 9)) != report_verdict::Accepted);
    CHECK(Next.ready() == nullptr);
  }
  SUBCASE("nor one that was sent before it") {
    CHECK(Next.report(reportOf("i-1", 5, 8)) == report_verdict::Outdated);
  }
  SUBCASE("nor a draining report of that run") {
    CHECK(Next.report(reportOf("i-1", 5, 10, instance_state::Draining)) ==
          report_verdict::Accepted);
    CHECK(Next.report(reportOf("i-1", 5, 11)) == report_verdict::Accepted);
  }
  SUBCASE("nor a report of another run") {
    CHECK(Next.report(reportOf("i-2", 6, 1)) == report_verdict::Unproven);
    CHECK(Next.report(reportOf("i-1", 5, 9)) == report_verdict::Unproven);
  }
  CHECK(Next.ready() == nullptr);
}

TEST_CASE("an instance that reports on after a restart of its node is ready "
          "with its second report") {
  instance_registration Next("svc", {"127.0.0.1", 80});
  Next.hold();
  Next.release();
  CHECK(Next.report(reportOf("i-1", 5, 9)) == report_verdict::Unproven);
  CHECK(Next.report(reportOf("i-1", 5, 11)) == report_verdict::Accepted);
  REQUIRE(Next.ready() != nullptr);
  CHECK(Next.report(reportOf("i-1", 5, 12)) == report_verdict::Accepted);
  CHECK(Next.ready() != nullptr);
}

TEST_CASE("without a former process an instance is ready after the release") {
  instance_registration Registration("svc", {"127.0.0.1", 80});
  Registration.hold();
  Registration.report(reportOf("i-1", 5, 1));
  Registration.report(reportOf("i-1", 5, 2));
  CHECK(Registration.ready() == nullptr);
  Registration.release();
  CHECK(Registration.ready() != nullptr);
}

TEST_CASE("deregistering an earlier run does not affect the current one") {
  instance_registration Registration("svc", {"127.0.0.1", 80});
  Registration.report(reportOf("i-1", 200, 1));
  CHECK_FALSE(Registration.deregister("i-0", 0));
  CHECK_FALSE(Registration.deregister("i-1", 100));
  CHECK(Registration.ready() != nullptr);
}

TEST_CASE("reports of another service or address are rejected as foreign") {
  instance_registration Registration("svc", {"127.0.0.1", 80});
  auto Report = reportOf("i-1", 1, 1);
  Report.Service = "other";
  CHECK(Registration.report(Report) == report_verdict::Foreign);
  Report = reportOf("i-1", 1, 1);
  Report.Address.Port = 81;
  CHECK(Registration.report(Report) == report_verdict::Foreign);
}

TEST_CASE("a node that restarts after its clock was set back is found again") {
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
  Directory.markRecordRemoved("n", Now);
  // The wall clock was set back before the node restarted.
  Record.Incarnation = 3000;
  Directory.record(Record);
  CHECK(Directory.prune([](const std::string &) { return false; }, Now + 1s)
            .empty());
  REQUIRE(Directory.choose("svc", {}, Now) != nullptr);
  CHECK(Directory.find("n")->Record.Incarnation == 3000);
}

TEST_CASE("retries stay within their share of the requests in any window") {
  service_retry_budget Budget({10s, 0.1, 1});
  instant Now{1000s};
  for (int Request = 0; Request < 30; ++Request)
    Budget.recordRequest(Now);
  int Acquired = 0;
  while (Budget.tryAcquire(Now))
    ++Acquired;
  CHECK(Acquired == 4);
  CHECK_FALSE(Budget.tryAcquire(Now + 9s));
  CHECK(Budget.tryAcquire(Now + 11s));
  CHECK_FALSE(Budget.tryAcquire(Now + 11s));
}

TEST_CASE(
    "failures lower the limit, once for all runs started before the decrease") {
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

TEST_CASE("a limit in full use increases again without failures") {
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

TEST_CASE("settings are validated, and every error names its line or key") {
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
  const auto RepeatedSection =
      readProxySettings(Good + "[repeats]\nwindow = 5s\n[listen]\n", "f.ini");
  CHECK(RepeatedSection.has_error());
  const auto Translated = readProxySettings(
      std::string(Good).replace(Good.find("[store]"), 0,
                                "peer_advertised = 127.0.0.1:9\n"),
      "f.ini");
  REQUIRE(Translated);
  CHECK(Translated.value().peerAddress().Port == 9);
  const auto Fractions =
      readProxySettings(std::string(Good).replace(Good.find("6s"), 2, "6.5s") +
                            "[repeats]\nwindow = 10.25s\nratio = 0.25\n",
                        "f.ini");
  REQUIRE(Fractions);
  CHECK(Fractions.value().StopGrace == 6500ms);
  CHECK(Fractions.value().RetryWindow == 10250ms);

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

TEST_CASE(
    "each zone has two record relays, whoever computes them, and new ones "
    "when they leave") {
  constexpr int NodeCount = 40;
  std::vector<std::string> Nodes;
  Nodes.reserve(NodeCount);
  for (int Number = 0; Number < NodeCount; ++Number)
    Nodes.push_back("node-" + std::to_string(Number));
  const auto RelaysOf = [](const std::vector<std::string> &Zone) {
    std::vector<std::string> Relays;
    for (const std::string &Node : Zone)
      if (isRecordRelay(Node, Zone))
        Relays.push_back(Node);
    return Relays;
  };
  const auto Relays = RelaysOf(Nodes);
  REQUIRE(Relays.size() == RelaysPerZone);
  std::erase(Nodes, Relays[0]);
  const auto Next = RelaysOf(Nodes);
  REQUIRE(Next.size() == RelaysPerZone);
  CHECK(std::ranges::count(Next, Relays[1]) == 1);
  // A node that knows no other one reads for itself.
  CHECK(isRecordRelay("alone", {}));
}

TEST_CASE("a relayed record brings news and never undoes what was read since") {
  seeded_random Random(1);
  instance_directory Directory({"own", "z"}, Random);
  const instant Now{1000s};
  const node_record Record{"n", 5, "z", {"10.0.0.1", 7000}, "svc", "i-1", 65};
  Directory.relayedRecord(Record, true);
  REQUIRE(Directory.choose("svc", {}, Now) != nullptr);
  Directory.markRecordRemoved("n", Now);
  Directory.relayedRecord(Record, false);
  CHECK(Directory.find("n")->RecordRemovedAt.has_value());
  CHECK(Directory.nodesOfZone("z").empty());
  const node_record Own{"own", 5, "z", {"10.0.0.2", 7000}, "svc", "i-2", 65};
  Directory.relayedRecord(Own, true);
  CHECK(Directory.find("own") == nullptr);
}
