#include "clementine_proxy/clementine_proxy.h"

#include <doctest/doctest.h>

#include <map>
#include <optional>
#include <set>

using namespace clementine;
using namespace clementine::proxy;
using namespace std::chrono_literals;

namespace {

const header_names Names{"X-Id",     "X-Wait", "X-Proof",
                         "X-Expect", "X-Not",  "X-From"};

/// Records links, messages and responses; links are up unless listed in Down.
class recording_port final : public forward_port {
public:
  bool openLink(const node_record &Gate) override {
    Opened.push_back(Gate.Node);
    return !Down.contains(Gate.Node);
  }
  void send(const std::string &Node, peer_message Message) override {
    Sent.emplace_back(Node, std::move(Message));
  }
  void answer(call_number Call, response Response) override {
    REQUIRE_FALSE(Answers.contains(Call));
    Answers[Call] = std::move(Response);
  }

  std::vector<std::string> Opened;
  std::set<std::string> Down;
  std::vector<std::pair<std::string, peer_message>> Sent;
  std::map<call_number, response> Answers;
};

struct fixture {
  fixture() {
    auto Config = std::make_shared<routing_config>();
    Config->Version = 5;
    Config->Routes.push_back(
        {"read", "h", "/read/", true, 1000ms, 500ms, 2, 2, {{"svc", 1}}});
    Config->Routes.push_back(
        {"book", "h", "/book/", false, 1000ms, 500ms, 0, 2, {{"svc", 1}}});
    Forwarder.setConfig(Config);
    for (const char *Node : {"a", "b", "c"})
      Directory.record({Node, 1, "z", {"127.0.0.1", 1}, "svc", "i", 10});
  }

  call_number begin(const std::string &Path, const std::string &Wait = "5000") {
    request Request;
    Request.Method = "GET";
    Request.Target = Path;
    Request.Headers = {{"Host", "h"},       {"X-Id", "id-1"},
                       {"X-Wait", Wait},    {"X-From", "forged"},
                       {"X-Expect", "i-9"}, {"Connection", "close"}};
    Forwarder.begin(++Last, std::move(Request), Now);
    return Last;
  }

  const attempt_request &lastOrder() const {
    return std::get<attempt_request>(Port.Sent.back().second);
  }
  std::string lastNode() const { return Port.Sent.back().first; }

  void end(run_outcome Outcome, run_cause Cause, bool Reached,
           unsigned Status = 0) {
    run_report Report;
    Report.Attempt = lastOrder().Attempt;
    Report.Outcome = Outcome;
    Report.Cause = Cause;
    Report.ReachedInstance = Reached;
    Report.Response.Status = Status;
    Report.Gate = {"i", 0, 0, 10, true};
    Forwarder.handleReport(lastNode(), Report, Now);
  }

  unsigned status(call_number Call) const {
    const auto Found = Port.Answers.find(Call);
    return Found == Port.Answers.end() ? 0 : Found->second.Status;
  }

  instant Now{1000s};
  call_number Last = 0;
  seeded_random Random{1};
  recording_port Port;
  instance_directory Directory{{"self", "z"}, Random};
  forwarder Forwarder{{"self", "home"}, Names, Directory, Port, Random};
};

} // namespace

TEST_CASE("a request is sent to one gate and its response is returned") {
  fixture Test;
  const auto Call = Test.begin("/read/1");
  REQUIRE(Test.Port.Sent.size() == 1);
  const auto &Headers = Test.lastOrder().Request.Headers;
  CHECK(findHeader(Headers, "X-From") == "home");
  CHECK_FALSE(findHeader(Headers, "X-Expect"));
  CHECK_FALSE(findHeader(Headers, "X-Wait"));
  CHECK_FALSE(findHeader(Headers, "Connection"));
  CHECK(Test.lastOrder().TimeLeftMicroseconds == 1000000);
  Test.end(run_outcome::Completed, run_cause::None, true, 200);
  CHECK(Test.status(Call) == 200);
  CHECK(Test.Forwarder.active() == 0);
}

TEST_CASE("a report with a status that no answer can have, as a gate of an "
          "earlier version may send it, does not reach the caller") {
  for (const unsigned Status : {101U, 199U, 600U, 999U}) {
    CAPTURE(Status);
    fixture Test;
    const auto Call = Test.begin("/book/1");
    Test.end(run_outcome::Completed, run_cause::None, true, Status);
    CHECK(Test.status(Call) == 502);
    CHECK(Test.Forwarder.active() == 0);
  }
}

TEST_CASE("the shorter timeout of route and caller applies") {
  fixture Test;
  Test.begin("/read/1", "300");
  CHECK(Test.lastOrder().TimeLeftMicroseconds == 300000);
}

TEST_CASE("an unknown route returns 404, a node without a configuration 503") {
  fixture Test;
  CHECK(Test.status(Test.begin("/none/")) == 404);
  forwarder Empty{
      {"self", "home"}, Names, Test.Directory, Test.Port, Test.Random};
  request Request;
  Request.Target = "/none/";
  Request.Headers = {{"Host", "h"}, {"X-Id", "id"}};
  Empty.begin(77, Request, Test.Now);
  CHECK(Test.status(77) == 503);
  CHECK(findHeader(Test.Port.Answers[77].Headers, "Retry-After"));
}

TEST_CASE("an older configuration never replaces a newer one") {
  fixture Test;
  auto Older = std::make_shared<routing_config>();
  Older->Version = 4;
  CHECK_FALSE(Test.Forwarder.setConfig(Older));
  CHECK(Test.Forwarder.configVersion() == 5);
  auto Next = std::make_shared<routing_config>();
  Next->Version = 6;
  CHECK(Test.Forwarder.setConfig(Next));
  CHECK_FALSE(Test.Forwarder.setConfig(Next));
  CHECK(Test.Forwarder.configVersion() == 6);
  CHECK(Test.status(Test.begin("/read/1")) == 404);
}

TEST_CASE(
    "a request that a gate confirms as not run is retried at another gate") {
  fixture Test;
  const auto Call = Test.begin("/book/1");
  const std::string First = Test.lastNode();
  Test.end(run_outcome::NotRun, run_cause::Overloaded, false);
  CHECK(Test.lastNode() != First);
  Test.end(run_outcome::NotRun, run_cause::Overloaded, false);
  Test.end(run_outcome::NotRun, run_cause::Overloaded, false);
  CHECK(Test.status(Call) == 503);
  CHECK(findHeader(Test.Port.Answers[Call].Headers, "Retry-After"));
}

TEST_CASE("a non-idempotent request that may have run is not retried") {
  fixture Test;
  const auto Call = Test.begin("/book/1");
  Test.end(run_outcome::Unknown, run_cause::NoValidResponse, true);
  CHECK(Test.Port.Sent.size() == 1);
  CHECK(Test.status(Call) == 502);
  CHECK_FALSE(findHeader(Test.Port.Answers[Call].Headers, "Retry-After"));
}

TEST_CASE("an idempotent request is retried on at most the allowed instances") {
  fixture Test;
  const auto Call = Test.begin("/read/1");
  Test.end(run_outcome::Unknown, run_cause::NoValidResponse, true);
  CHECK(Test.Port.Sent.size() == 2);
  Test.end(run_outcome::Unknown, run_cause::NoValidResponse, true);
  CHECK(Test.Port.Sent.size() == 2);
  CHECK(Test.status(Call) == 502);
}

TEST_CASE("a request is not reported as not run once an attempt may have run") {
  fixture Test;
  const auto Call = Test.begin("/read/1");
  Test.end(run_outcome::Unknown, run_cause::NoValidResponse, true);
  Test.end(run_outcome::NotRun, run_cause::Overloaded, false);
  Test.end(run_outcome::NotRun, run_cause::Overloaded, false);
  CHECK(Test.status(Call) == 502);
}

TEST_CASE("retries stop when the budget is exhausted") {
  fixture Test;
  int Retries = 0;
  for (int Request = 0; Request < 40; ++Request) {
    Test.begin("/read/1");
    const std::size_t Before = Test.Port.Sent.size();
    Test.end(run_outcome::Unknown, run_cause::NoValidResponse, true);
    if (Test.Port.Sent.size() > Before) {
      ++Retries;
      Test.end(run_outcome::Completed, run_cause::None, true, 200);
    }
  }
  CHECK(Retries >= 1);
  CHECK(Retries <= 5);
}

TEST_CASE("a request is answered promptly when its deadline passes") {
  fixture Test;
  const auto Call = Test.begin("/book/1");
  Test.Now += 1000ms;
  Test.Forwarder.passTime(Test.Now);
  REQUIRE(std::holds_alternative<run_cancel>(Test.Port.Sent.back().second));
  SUBCASE("the gate confirms that it never started") {
    run_report Report;
    Report.Attempt = std::get<run_cancel>(Test.Port.Sent.back().second).Attempt;
    Report.Cause = run_cause::Cancelled;
    Test.Forwarder.handleReport(Test.lastNode(), Report, Test.Now);
    CHECK(Test.status(Call) == 503);
  }
  SUBCASE("the gate sends no report") {
    Test.Now += 100ms;
    Test.Forwarder.passTime(Test.Now);
    CHECK(Test.status(Call) == 504);
  }
}

TEST_CASE("a request waiting for a link that fails is sent to another gate") {
  fixture Test;
  Test.Port.Down = {"a", "b", "c"};
  const auto Call = Test.begin("/book/1");
  CHECK(Test.Port.Sent.empty());
  const std::string First = Test.Port.Opened.back();
  Test.Forwarder.linkDown(First, false, Test.Now);
  CHECK(Test.Port.Opened.back() != First);
  Test.Forwarder.linkUp(Test.Port.Opened.back(), 1, Test.Now);
  REQUIRE(Test.Port.Sent.size() == 1);
  Test.end(run_outcome::Completed, run_cause::None, true, 200);
  CHECK(Test.status(Call) == 200);
}

TEST_CASE("attempts on a lost link are queried after reconnecting") {
  fixture Test;
  const auto Call = Test.begin("/book/1");
  const std::string Node = Test.lastNode();
  const attempt_id Attempt = Test.lastOrder().Attempt;
  Test.Forwarder.linkDown(Node, true, Test.Now);
  CHECK(Test.Port.Opened.back() == Node);
  CHECK(Test.status(Call) == 0);
  SUBCASE("the same process of the node reports the result") {
    Test.Forwarder.linkUp(Node, 1, Test.Now);
    const auto &Query = std::get<run_query>(Test.Port.Sent.back().second);
    CHECK(Query.Attempt == Attempt);
    run_report Report;
    Report.Attempt = Attempt;
    Report.Outcome = run_outcome::Completed;
    Report.Response.Status = 200;
    Test.Forwarder.handleReport(Node, Report, Test.Now);
    CHECK(Test.status(Call) == 200);
  }
  SUBCASE("a new process of the node has no result") {
    Test.Forwarder.linkUp(Node, 2, Test.Now);
    CHECK(Test.status(Call) == 502);
  }
}

TEST_CASE("an idempotent request is retried when its link is unresponsive") {
  fixture Test;
  const auto Call = Test.begin("/read/1");
  const std::string Node = Test.lastNode();
  const attempt_id Attempt = Test.lastOrder().Attempt;
  SUBCASE("no messages arrive") {
    Test.Forwarder.linkUnresponsive(Node, Test.Now);
  }
  SUBCASE("it was lost and cannot be reopened") {
    Test.Forwarder.linkDown(Node, true, Test.Now);
    CHECK(Test.Port.Sent.size() == 1);
    Test.Forwarder.linkDown(Node, false, Test.Now);
  }
  REQUIRE(Test.Port.Sent.size() == 3);
  CHECK(std::get<run_cancel>(Test.Port.Sent[1].second).Attempt == Attempt);
  CHECK(Test.Port.Sent[1].first == Node);
  CHECK(Test.lastNode() != Node);
  CHECK(Test.status(Call) == 0);
  // The route allows two instances.
  Test.Forwarder.linkUnresponsive(Test.lastNode(), Test.Now);
  CHECK(Test.Port.Sent.size() == 3);
  Test.end(run_outcome::NotRun, run_cause::Overloaded, false);
  CHECK(Test.status(Call) == 502);
}

TEST_CASE("a non-idempotent request waits for an unresponsive link") {
  fixture Test;
  const auto Call = Test.begin("/book/1");
  Test.Forwarder.linkUnresponsive(Test.lastNode(), Test.Now);
  Test.Forwarder.linkDown(Test.lastNode(), false, Test.Now);
  CHECK(Test.Port.Sent.size() == 1);
  CHECK(Test.status(Call) == 0);
  Test.end(run_outcome::Completed, run_cause::None, true, 200);
  CHECK(Test.status(Call) == 200);
}

TEST_CASE("a request waits for an unresponsive link if it cannot be retried") {
  fixture Test;
  SUBCASE("the budget is exhausted") {
    for (int Request = 0; Request < 4; ++Request) {
      Test.begin("/read/1");
      Test.Forwarder.linkUnresponsive(Test.lastNode(), Test.Now);
    }
    const std::size_t Before = Test.Port.Sent.size();
    const auto Call = Test.begin("/read/1");
    Test.Forwarder.linkUnresponsive(Test.lastNode(), Test.Now);
    CHECK(Test.Port.Sent.size() == Before + 1);
    CHECK(Test.status(Call) == 0);
  }
  SUBCASE("every other gate is unresponsive as well") {
    const auto Call = Test.begin("/read/1");
    const std::string Node = Test.lastNode();
    for (const char *Other : {"a", "b", "c"})
      Test.Directory.markUnresponsive(Other, Test.Now);
    Test.Forwarder.linkUnresponsive(Node, Test.Now);
    CHECK(Test.Port.Sent.size() == 1);
    Test.end(run_outcome::Completed, run_cause::None, true, 200);
    CHECK(Test.status(Call) == 200);
  }
}

TEST_CASE("the attempt is cancelled when the caller disconnects") {
  fixture Test;
  SUBCASE("an idempotent request is aborted") {
    Test.Forwarder.callerDisconnected(Test.begin("/read/1"), Test.Now);
    CHECK(std::get<run_cancel>(Test.Port.Sent.back().second).AbortsRunning);
  }
  SUBCASE("a non-idempotent request may complete") {
    Test.Forwarder.callerDisconnected(Test.begin("/book/1"), Test.Now);
    CHECK_FALSE(
        std::get<run_cancel>(Test.Port.Sent.back().second).AbortsRunning);
  }
  CHECK(Test.Port.Answers.empty());
  CHECK(Test.Forwarder.active() == 0);
}

TEST_CASE("a stop whose time is up answers every request: as not run only if "
          "no attempt was sent") {
  fixture Test;
  const auto Sent = Test.begin("/book/1");
  Test.Port.Down = {"a", "b", "c"};
  const auto Unsent = Test.begin("/book/2");
  Test.Forwarder.answerAll(Test.Now);
  REQUIRE(Test.Port.Answers.contains(Sent));
  CHECK(Test.Port.Answers[Sent].Status == 502);
  REQUIRE(Test.Port.Answers.contains(Unsent));
  CHECK(Test.Port.Answers[Unsent].Status == 503);
  CHECK(Test.Forwarder.active() == 0);
  // The gate that has the attempt is told, in case it has not started it.
  CHECK(std::holds_alternative<run_cancel>(Test.Port.Sent.back().second));
}

TEST_CASE("at the end of a stop a request that its gate has not run is "
          "answered so, and is offered to no other gate") {
  fixture Test;
  const auto NotRun = Test.begin("/book/1");
  Test.Forwarder.cancelAll(Test.Now);
  CHECK(std::holds_alternative<run_cancel>(Test.Port.Sent.back().second));
  CHECK(Test.status(NotRun) == 0);
  Test.Port.Sent.pop_back();
  Test.end(run_outcome::NotRun, run_cause::Cancelled, false);
  CHECK(Test.status(NotRun) == 503);
  CHECK(Test.Port.Sent.size() == 1);
  const auto Waiting = Test.begin("/book/2");
  CHECK(Test.status(Waiting) == 503);
  CHECK(Test.Port.Sent.size() == 1);
}

TEST_CASE("at the end of a stop a request whose gate does not report is "
          "answered as possibly run") {
  fixture Test;
  const auto Call = Test.begin("/book/1");
  Test.Forwarder.cancelAll(Test.Now);
  Test.Now += 100ms;
  Test.Forwarder.passTime(Test.Now);
  CHECK(Test.status(Call) == 502);
  CHECK(Test.Forwarder.active() == 0);
}

TEST_CASE("a gate whose status shows no ready instance is not chosen") {
  fixture Test;
  Test.Directory.status("a", {"", 0, 0, 10, true});
  Test.Directory.status("b", {"", 0, 0, 10, true});
  for (int Request = 0; Request < 10; ++Request) {
    Test.begin("/read/1");
    CHECK(Test.lastNode() == "c");
  }
}

TEST_CASE("a node that ends gives its own instance no request that another "
          "one can run") {
  fixture Test;
  Test.Directory.markLeaving("a");
  Test.Directory.status("a", {"i", 0, 0, 10, true});
  Test.Directory.status("b", {"i", 10, 5, 10, true});
  Test.Directory.status("c", {"", 0, 0, 10, true});
  Test.begin("/read/1");
  CHECK(Test.lastNode() == "b");
  Test.Directory.status("b", {"", 0, 0, 10, true});
  Test.begin("/read/1");
  CHECK(Test.lastNode() == "a");
}

TEST_CASE("a gate whose link is unresponsive is avoided temporarily") {
  fixture Test;
  for (const char *Node : {"a", "b"})
    Test.Directory.markUnresponsive(Node, Test.Now);
  Test.Directory.status("c", {"i", 5, 0, 10, true});
  Test.begin("/read/1");
  CHECK(Test.lastNode() == "c");
  Test.Now += 400ms;
  Test.begin("/read/1");
  CHECK(Test.lastNode() != "c");
}

TEST_CASE(
    "a removed record stays valid for a grace period while its link is up") {
  fixture Test;
  Test.Directory.markRecordRemoved("a", Test.Now);
  const auto IsUp = [](const std::string &) { return true; };
  CHECK(Test.Directory.prune(IsUp, Test.Now + 1s).empty());
  CHECK(Test.Directory.prune(IsUp, Test.Now + 4s) ==
        std::vector<std::string>{"a"});
  Test.Directory.markRecordRemoved("b", Test.Now);
  const auto IsDown = [](const std::string &) { return false; };
  CHECK(Test.Directory.prune(IsDown, Test.Now).size() == 1);
  CHECK(Test.Directory.size() == 1);
}

TEST_CASE("a request that begins too late to finish before the process ends is "
          "refused as not run") {
  fixture Test;
  Test.Forwarder.refuseFrom(Test.Now + 10ms);
  const call_number Before = Test.begin("/book/1");
  Test.Now += 10ms;
  const call_number After = Test.begin("/book/2");
  CHECK_FALSE(Test.Port.Answers.contains(Before));
  REQUIRE(Test.Port.Answers.contains(After));
  CHECK(Test.Port.Answers.at(After).Status == 503);
  CHECK(findHeader(Test.Port.Answers.at(After).Headers, "Retry-After"));
  CHECK(Test.Port.Sent.size() == 1);
}
