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

/// Links that are up unless a test says otherwise.
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
    Forwarder.reported(lastNode(), Report, Now);
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

TEST_CASE("a request goes to one gate and its answer comes back") {
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

TEST_CASE("the time left is the shorter of the route's and the caller's") {
  fixture Test;
  Test.begin("/read/1", "300");
  CHECK(Test.lastOrder().TimeLeftMicroseconds == 300000);
}

TEST_CASE("unknown routes get 404, a node without a configuration says 503") {
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

TEST_CASE("an older configuration never takes the place of a newer one") {
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

TEST_CASE("what a gate certifies as not run goes to another gate") {
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

TEST_CASE("what may have run and may not be repeated is never sent again") {
  fixture Test;
  const auto Call = Test.begin("/book/1");
  Test.end(run_outcome::Unknown, run_cause::NoValidResponse, true);
  CHECK(Test.Port.Sent.size() == 1);
  CHECK(Test.status(Call) == 502);
  CHECK_FALSE(findHeader(Test.Port.Answers[Call].Headers, "Retry-After"));
}

TEST_CASE("what may be repeated is, but on no more instances than allowed") {
  fixture Test;
  const auto Call = Test.begin("/read/1");
  Test.end(run_outcome::Unknown, run_cause::NoValidResponse, true);
  CHECK(Test.Port.Sent.size() == 2);
  Test.end(run_outcome::Unknown, run_cause::NoValidResponse, true);
  CHECK(Test.Port.Sent.size() == 2);
  CHECK(Test.status(Call) == 502);
}

TEST_CASE("no promise of not having run follows an attempt that may have") {
  fixture Test;
  const auto Call = Test.begin("/read/1");
  Test.end(run_outcome::Unknown, run_cause::NoValidResponse, true);
  Test.end(run_outcome::NotRun, run_cause::Overloaded, false);
  Test.end(run_outcome::NotRun, run_cause::Overloaded, false);
  CHECK(Test.status(Call) == 502);
}

TEST_CASE("repeats stop when their budget is spent") {
  fixture Test;
  int Repeats = 0;
  for (int Request = 0; Request < 40; ++Request) {
    Test.begin("/read/1");
    const std::size_t Before = Test.Port.Sent.size();
    Test.end(run_outcome::Unknown, run_cause::NoValidResponse, true);
    if (Test.Port.Sent.size() > Before) {
      ++Repeats;
      Test.end(run_outcome::Completed, run_cause::None, true, 200);
    }
  }
  CHECK(Repeats >= 1);
  CHECK(Repeats <= 5);
}

TEST_CASE("at its time limit a request gets its answer without delay") {
  fixture Test;
  const auto Call = Test.begin("/book/1");
  Test.Now += 1000ms;
  Test.Forwarder.passTime(Test.Now);
  REQUIRE(std::holds_alternative<run_cancel>(Test.Port.Sent.back().second));
  SUBCASE("the gate knows that it never began") {
    run_report Report;
    Report.Attempt = std::get<run_cancel>(Test.Port.Sent.back().second).Attempt;
    Report.Cause = run_cause::Cancelled;
    Test.Forwarder.reported(Test.lastNode(), Report, Test.Now);
    CHECK(Test.status(Call) == 503);
  }
  SUBCASE("the gate says nothing") {
    Test.Now += 100ms;
    Test.Forwarder.passTime(Test.Now);
    CHECK(Test.status(Call) == 504);
  }
}

TEST_CASE("what waits for a link that fails has not left this node") {
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

TEST_CASE("a lost link is asked for what it owed") {
  fixture Test;
  const auto Call = Test.begin("/book/1");
  const std::string Node = Test.lastNode();
  const attempt_id Attempt = Test.lastOrder().Attempt;
  Test.Forwarder.linkDown(Node, true, Test.Now);
  CHECK(Test.Port.Opened.back() == Node);
  CHECK(Test.status(Call) == 0);
  SUBCASE("the same run of the node tells") {
    Test.Forwarder.linkUp(Node, 1, Test.Now);
    const auto &Query = std::get<run_query>(Test.Port.Sent.back().second);
    CHECK(Query.Attempt == Attempt);
    run_report Report;
    Report.Attempt = Attempt;
    Report.Outcome = run_outcome::Completed;
    Report.Response.Status = 200;
    Test.Forwarder.reported(Node, Report, Test.Now);
    CHECK(Test.status(Call) == 200);
  }
  SUBCASE("a new run of the node cannot know") {
    Test.Forwarder.linkUp(Node, 2, Test.Now);
    CHECK(Test.status(Call) == 502);
  }
}

TEST_CASE("what may be repeated leaves a link that brings nothing") {
  fixture Test;
  const auto Call = Test.begin("/read/1");
  const std::string Node = Test.lastNode();
  const attempt_id Attempt = Test.lastOrder().Attempt;
  SUBCASE("it is silent") { Test.Forwarder.linkSilent(Node, Test.Now); }
  SUBCASE("it was cut and cannot be made again") {
    Test.Forwarder.linkDown(Node, true, Test.Now);
    CHECK(Test.Port.Sent.size() == 1);
    Test.Forwarder.linkDown(Node, false, Test.Now);
  }
  REQUIRE(Test.Port.Sent.size() == 3);
  CHECK(std::get<run_cancel>(Test.Port.Sent[1].second).Attempt == Attempt);
  CHECK(Test.Port.Sent[1].first == Node);
  CHECK(Test.lastNode() != Node);
  CHECK(Test.status(Call) == 0);
  // Two instances are all that the route allows.
  Test.Forwarder.linkSilent(Test.lastNode(), Test.Now);
  CHECK(Test.Port.Sent.size() == 3);
  Test.end(run_outcome::NotRun, run_cause::Overloaded, false);
  CHECK(Test.status(Call) == 502);
}

TEST_CASE("what may not be repeated waits for a silent link") {
  fixture Test;
  const auto Call = Test.begin("/book/1");
  Test.Forwarder.linkSilent(Test.lastNode(), Test.Now);
  Test.Forwarder.linkDown(Test.lastNode(), false, Test.Now);
  CHECK(Test.Port.Sent.size() == 1);
  CHECK(Test.status(Call) == 0);
  Test.end(run_outcome::Completed, run_cause::None, true, 200);
  CHECK(Test.status(Call) == 200);
}

TEST_CASE("a silent link is waited for without a budget or another gate") {
  fixture Test;
  SUBCASE("the budget is spent") {
    for (int Request = 0; Request < 4; ++Request) {
      Test.begin("/read/1");
      Test.Forwarder.linkSilent(Test.lastNode(), Test.Now);
    }
    const std::size_t Before = Test.Port.Sent.size();
    const auto Call = Test.begin("/read/1");
    Test.Forwarder.linkSilent(Test.lastNode(), Test.Now);
    CHECK(Test.Port.Sent.size() == Before + 1);
    CHECK(Test.status(Call) == 0);
  }
  SUBCASE("every other gate is silent as well") {
    const auto Call = Test.begin("/read/1");
    const std::string Node = Test.lastNode();
    for (const char *Other : {"a", "b", "c"})
      Test.Directory.silent(Other, Test.Now);
    Test.Forwarder.linkSilent(Node, Test.Now);
    CHECK(Test.Port.Sent.size() == 1);
    Test.end(run_outcome::Completed, run_cause::None, true, 200);
    CHECK(Test.status(Call) == 200);
  }
}

TEST_CASE("a caller's leaving takes its attempt back") {
  fixture Test;
  SUBCASE("and breaks off what may be repeated") {
    Test.Forwarder.callerGone(Test.begin("/read/1"), Test.Now);
    CHECK(std::get<run_cancel>(Test.Port.Sent.back().second).AbortsRunning);
  }
  SUBCASE("but lets run what may not") {
    Test.Forwarder.callerGone(Test.begin("/book/1"), Test.Now);
    CHECK_FALSE(
        std::get<run_cancel>(Test.Port.Sent.back().second).AbortsRunning);
  }
  CHECK(Test.Port.Answers.empty());
  CHECK(Test.Forwarder.active() == 0);
}

TEST_CASE("a gate says for itself whether it takes work") {
  fixture Test;
  Test.Directory.status("a", {"", 0, 0, 10, true});
  Test.Directory.status("b", {"", 0, 0, 10, true});
  for (int Request = 0; Request < 10; ++Request) {
    Test.begin("/read/1");
    CHECK(Test.lastNode() == "c");
  }
}

TEST_CASE("a gate whose link falls silent is avoided for a while") {
  fixture Test;
  for (const char *Node : {"a", "b"})
    Test.Directory.silent(Node, Test.Now);
  Test.Directory.status("c", {"i", 5, 0, 10, true});
  Test.begin("/read/1");
  CHECK(Test.lastNode() == "c");
  Test.Now += 400ms;
  Test.begin("/read/1");
  CHECK(Test.lastNode() != "c");
}

TEST_CASE("a record that vanished counts while its link is up, for a while") {
  fixture Test;
  Test.Directory.vanished("a", Test.Now);
  const auto IsUp = [](const std::string &) { return true; };
  CHECK(Test.Directory.prune(IsUp, Test.Now + 1s).empty());
  CHECK(Test.Directory.prune(IsUp, Test.Now + 4s) ==
        std::vector<std::string>{"a"});
  Test.Directory.vanished("b", Test.Now);
  const auto IsDown = [](const std::string &) { return false; };
  CHECK(Test.Directory.prune(IsDown, Test.Now).size() == 1);
  CHECK(Test.Directory.size() == 1);
}
