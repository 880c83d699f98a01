/// What entry and gate tell each other of an attempt after the gate has
/// forgotten it.

#include "clementine_proxy/clementine_proxy.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <vector>

using namespace clementine;
using namespace clementine::proxy;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Link = 7;
/// More than the gate's limit of runs whose outcome it keeps.
constexpr std::uint64_t ManyRuns = 17000;
const header_names Names{"X-Id",     "X-Wait", "X-Proof",
                         "X-Expect", "X-Not",  "X-From"};

/// A gate whose instance runs everything at once.
struct node final : gate_port {
  node() {
    Registration.report({"i-1",
                         "svc",
                         "z",
                         {"127.0.0.1", 80},
                         instance_state::Ready,
                         2,
                         {},
                         100,
                         1});
    Gate.instanceChanged(Now);
  }

  void callInstance(instance_call Call) override {
    Called.push_back(Call.Attempt);
  }
  void abortInstance(const attempt_id &) override {}
  void report(std::uint64_t, run_report Report) override {
    Reports.push_back(std::move(Report));
  }

  attempt_request orderOf(std::uint64_t Number) const {
    attempt_request Order;
    Order.Attempt = {Entry.Incarnation, Number};
    Order.Service = "svc";
    Order.TimeLeftMicroseconds = 1000000;
    Order.Origin = Entry;
    Order.Origin.Number = IsNumbered ? Number : 0;
    return Order;
  }
  void order(std::uint64_t Number) { Gate.order(Link, orderOf(Number), Now); }
  void complete(const attempt_id &Attempt, std::size_t BodyBytes = 0) {
    instance_result Result;
    Result.Outcome = run_outcome::Completed;
    Result.ReachedInstance = true;
    Result.Response.Status = 200;
    Result.Response.Body.assign(BodyBytes, 'x');
    Gate.instanceEnded(Attempt, Result, Now);
  }
  void run(std::uint64_t Number, std::size_t BodyBytes = 0) {
    order(Number);
    complete({Entry.Incarnation, Number}, BodyBytes);
  }
  run_report query(std::uint64_t Number) {
    const attempt_request Order = orderOf(Number);
    Gate.query(Link, {Order.Attempt, Order.Origin}, Now);
    return Reports.back();
  }

  instant Now{1000s};
  attempt_origin Entry{"e", 5, 0};
  bool IsNumbered = true;
  instance_registration Registration{"svc", {"127.0.0.1", 80}};
  instance_gate Gate{{}, Registration, *this};
  std::vector<attempt_id> Called;
  std::vector<run_report> Reports;
};

} // namespace

namespace {

/// Makes the gate forget the response of run 1, or all of it.
using forgetting = void (*)(node &);
const std::map<std::string, forgetting> Forgettings = {
    {"by time",
     [](node &Node) {
       Node.Now += 4s;
       Node.run(2);
     }},
    {"by the number of responses",
     [](node &Node) {
       for (std::uint64_t Number = 2; Number < 2100; ++Number)
         Node.run(Number);
     }},
    {"by the number of runs",
     [](node &Node) {
       for (std::uint64_t Number = 2; Number < ManyRuns; ++Number)
         Node.run(Number);
     }},
    {"by the bytes of responses", [](node &Node) {
       for (std::uint64_t Number = 2; Number < 12; ++Number)
         Node.run(Number, std::size_t{1} << 20U);
     }}};

} // namespace

TEST_CASE("a run that the gate has forgotten is not reported as not run") {
  for (const auto &Each : Forgettings)
    for (const bool IsNumbered : {true, false}) {
      CAPTURE(Each.first);
      CAPTURE(IsNumbered);
      node Node;
      Node.IsNumbered = IsNumbered;
      Node.run(1, 1);
      CHECK(Node.query(1).Outcome == run_outcome::Completed);
      Each.second(Node);
      const run_report Report = Node.query(1);
      CHECK(Report.Outcome == run_outcome::Unknown);
      CHECK(Report.ReachedInstance);
      CHECK(Node.query(1).Outcome == run_outcome::Unknown);
    }
}

TEST_CASE("the response of a run over the byte limit does not displace those "
          "of others") {
  node Node;
  Node.run(1, 1);
  Node.run(2, std::size_t{64} << 20U);
  CHECK(Node.query(1).Outcome == run_outcome::Completed);
  CHECK(Node.query(2).Outcome == run_outcome::Unknown);
}

TEST_CASE(
    "an order that arrives after its refusal was forgotten does not run") {
  node Node;
  REQUIRE(Node.query(1).Outcome == run_outcome::NotRun);
  SUBCASE("by time") {
    Node.Now += 60s;
    Node.run(2);
  }
  SUBCASE("by the number of runs") {
    for (std::uint64_t Number = 2; Number < ManyRuns; ++Number)
      Node.run(Number);
  }
  const std::size_t Before = Node.Called.size();
  Node.order(1);
  CHECK(Node.Called.size() == Before);
  CHECK(Node.Reports.back().Attempt == attempt_id{5, 1});
}

TEST_CASE("not run is reported of an attempt that never came, though others "
          "were forgotten") {
  node Node;
  for (std::uint64_t Number = 2; Number < ManyRuns; ++Number)
    Node.run(Number);
  SUBCASE("of the same process") {}
  SUBCASE("of another process of the node") { Node.Entry.Incarnation = 6; }
  SUBCASE("of another node") { Node.Entry.Node = "f"; }
  const run_report Report = Node.query(ManyRuns);
  CHECK(Report.Outcome == run_outcome::NotRun);
  CHECK(Report.IsProven);
  Node.order(ManyRuns);
  CHECK(Node.Called.size() == ManyRuns - 2);
}

TEST_CASE("a query of a version without numbers is answered with unknown, and "
          "its order does not run") {
  node Node;
  Node.IsNumbered = false;
  CHECK(Node.query(1).Outcome == run_outcome::Unknown);
  Node.order(1);
  CHECK(Node.Called.empty());
  Node.order(2);
  CHECK(Node.Called.size() == 1);
}

namespace {

/// An entry with two gates. Messages arrive at once, or not at all while the
/// link to a node is lost.
struct mesh final : forward_port {
  mesh() {
    auto Config = std::make_shared<routing_config>();
    Config->Version = 1;
    Config->Routes.push_back(
        {"book", "h", "/", false, 5000ms, 500ms, 0, 2, {{"svc", 1}}});
    Forwarder.setConfig(Config);
    for (const char *Name : {"a", "b"})
      Directory.record({Name, 1, "z", {"127.0.0.1", 1}, "svc", "i-1", 2});
  }

  bool openLink(const node_record &) override { return IsConnected; }
  void send(const std::string &Name, peer_message Message) override {
    if (!IsConnected)
      return;
    instance_gate &Gate = Nodes[Name].Gate;
    if (auto *Order = std::get_if<attempt_request>(&Message))
      Gate.order(Link, *Order, Now);
    else if (const auto *Query = std::get_if<run_query>(&Message))
      Gate.query(Link, *Query, Now);
  }
  void answer(call_number, response Response) override {
    Statuses.push_back(Response.Status);
  }

  void begin() {
    request Request;
    Request.Target = "/";
    Request.Headers = {{"Host", "h"}, {"X-Id", "id-1"}};
    Forwarder.begin(1, Request, Now);
  }
  std::size_t runs() {
    return Nodes["a"].Called.size() + Nodes["b"].Called.size();
  }
  std::string nodeWithRun() { return Nodes["a"].Called.empty() ? "b" : "a"; }
  /// The gate's last report reaches the entry on a new link.
  void reconnect(const std::string &Name) {
    IsConnected = true;
    Forwarder.linkUp(Name, 1, Now);
    Forwarder.handleReport(Name, Nodes[Name].Reports.back(), Now);
  }

  instant Now{1000s};
  seeded_random Random{1};
  instance_directory Directory{{"e", "z"}, Random};
  forwarder Forwarder{{"e", "home"}, Names, Directory, *this, Random};
  std::map<std::string, node> Nodes;
  bool IsConnected = true;
  std::vector<unsigned> Statuses;
};

} // namespace

TEST_CASE("a request whose run was forgotten while its link was lost neither "
          "runs again nor is answered as not run") {
  mesh Test;
  Test.begin();
  REQUIRE(Test.runs() == 1);
  const std::string Name = Test.nodeWithRun();
  node &Node = Test.Nodes[Name];
  Test.IsConnected = false;
  Test.Forwarder.linkDown(Name, true, Test.Now);
  Node.complete(Node.Called.front());
  Test.Now += 4s;
  Node.Now += 4s;
  SUBCASE("its response") { Node.run(2); }
  SUBCASE("its record") {
    Node.Entry = {"e", 0, 0};
    for (std::uint64_t Number = 2; Number < ManyRuns; ++Number)
      Node.run(Number);
  }
  const std::size_t Before = Test.runs();
  Test.reconnect(Name);
  CHECK(Test.runs() == Before);
  CHECK(Test.Statuses == std::vector<unsigned>{502});
}

TEST_CASE("the answer 'not run' of a gate that cannot prove it, to a query, is "
          "not taken for one") {
  mesh Test;
  Test.begin();
  const std::string Name = Test.nodeWithRun();
  run_report Report;
  Report.Attempt = Test.Nodes[Name].Called.front();
  Report.Cause = run_cause::UnknownAttempt;
  SUBCASE("not proven") {
    Test.Forwarder.handleReport(Name, Report, Test.Now);
    CHECK(Test.runs() == 1);
    CHECK(Test.Statuses == std::vector<unsigned>{502});
  }
  SUBCASE("proven") {
    Report.IsProven = true;
    Test.Forwarder.handleReport(Name, Report, Test.Now);
    CHECK(Test.runs() == 2);
  }
}
