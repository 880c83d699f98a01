#include "clementine_proxy/clementine_proxy.h"

#include <doctest/doctest.h>

#include <map>
#include <vector>

using namespace clementine;
using namespace clementine::proxy;
using namespace std::chrono_literals;

namespace {

const header_names Names{"X-Id",     "X-Wait", "X-Proof",
                         "X-Expect", "X-Not",  "X-From"};

/// Records messages, and every answer of each call.
class recording_port final : public forward_port {
public:
  bool openLink(const node_record &) override { return true; }
  void send(const std::string &Node, peer_message Message) override {
    Nodes.push_back(Node);
    Orders.push_back(std::get<attempt_request>(Message));
  }
  void answer(call_number Call, response Response) override {
    Answers[Call].push_back(std::move(Response));
  }

  std::vector<std::string> Nodes;
  std::vector<attempt_request> Orders;
  std::map<call_number, std::vector<response>> Answers;
};

struct fixture {
  fixture() {
    auto Config = std::make_shared<routing_config>();
    Config->Version = 1;
    Config->Routes.push_back(
        {"book", "h", "/book/", false, 1000ms, 500ms, 0, 2, {{"svc", 1}}});
    Forwarder.setConfig(Config);
    for (const char *Node : {"a", "b"})
      Directory.record({Node, 1, "z", {"127.0.0.1", 1}, "svc", "i", 10});
  }

  void begin(call_number Call) {
    request Request;
    Request.Method = "POST";
    Request.Target = "/book/1";
    Request.Headers = {{"Host", "h"}, {"X-Id", "r"}, {"X-Wait", "5000"}};
    Forwarder.begin(Call, std::move(Request), Now);
  }

  /// Reports on the order @p Index, from the node that it went to.
  void report(std::size_t Index, run_outcome Outcome, run_cause Cause,
              const std::string &Body) {
    run_report Report;
    Report.Attempt = Port.Orders[Index].Attempt;
    Report.Outcome = Outcome;
    Report.Cause = Cause;
    Report.ReachedInstance = Outcome != run_outcome::NotRun;
    Report.Response.Status = 200;
    Report.Response.Body = Body;
    Report.Gate = {"i", 0, 0, 10, true};
    Forwarder.handleReport(Port.Nodes[Index], Report, Now);
  }

  instant Now{1000s};
  seeded_random Random{1};
  recording_port Port;
  instance_directory Directory{{"self", "z"}, Random};
  forwarder Forwarder{{"self", "home"}, Names, Directory, Port, Random};
};

} // namespace

TEST_CASE("a report that a peer repeats answers neither its request again nor "
          "the next one") {
  fixture Test;
  Test.begin(1);
  REQUIRE(Test.Port.Orders.size() == 1);
  Test.report(0, run_outcome::Completed, run_cause::None, "first");
  Test.begin(2);
  REQUIRE(Test.Port.Orders.size() == 2);
  Test.report(0, run_outcome::Completed, run_cause::None, "first");
  Test.report(0, run_outcome::NotRun, run_cause::Overloaded, "");
  CHECK(Test.Port.Answers[1].size() == 1);
  CHECK(Test.Port.Answers[2].empty());
  CHECK(Test.Port.Orders.size() == 2);
  Test.report(1, run_outcome::Completed, run_cause::None, "second");
  REQUIRE(Test.Port.Answers[2].size() == 1);
  CHECK(Test.Port.Answers[2][0].Body == "second");
}

TEST_CASE("a report on an attempt that was refused does not end the attempt "
          "that followed it") {
  fixture Test;
  Test.begin(1);
  REQUIRE(Test.Port.Orders.size() == 1);
  Test.report(0, run_outcome::NotRun, run_cause::Overloaded, "");
  REQUIRE(Test.Port.Orders.size() == 2);
  Test.report(0, run_outcome::NotRun, run_cause::Overloaded, "");
  Test.report(0, run_outcome::Completed, run_cause::None, "stale");
  CHECK(Test.Port.Orders.size() == 2);
  CHECK(Test.Port.Answers[1].empty());
  Test.report(1, run_outcome::Completed, run_cause::None, "right");
  REQUIRE(Test.Port.Answers[1].size() == 1);
  CHECK(Test.Port.Answers[1][0].Body == "right");
}
