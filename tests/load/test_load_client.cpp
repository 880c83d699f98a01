#include "clementine_load/run/load_client.h"
#include "clementine_load/run/process_group.h"
#include "stand_in_http/http_server.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <mutex>
#include <thread>

using namespace clementine;
using namespace clementine::load;
using namespace std::chrono_literals;

namespace {

using stand_in::http_answer;
using stand_in::http_request;

constexpr std::uint16_t NodePort = 20990;

/// A node that answers each request from a script by the number of its send.
class scripted_node {
public:
  using script = std::function<http_answer(const http_request &, int)>;

  explicit scripted_node(script Script)
      : Script(std::move(Script)),
        Server({"127.0.0.1", NodePort}, {},
               [this](const http_request &Request) { return serve(Request); }) {
  }

  std::vector<http_request> Seen;

private:
  http_answer serve(const http_request &Request) {
    int Number = 0;
    {
      const std::lock_guard Lock(Mutex);
      Seen.push_back(Request);
      Number = ++Sends[Request.header("Idempotency-Key")];
    }
    return Script(Request, Number);
  }

  const script Script;
  std::mutex Mutex;
  std::map<std::string, int> Sends;
  stand_in::http_server Server;
};

http_answer wholeAnswer(const std::string &Nonce) {
  const nlohmann::json Body = {{"service", "back"},
                               {"operation", "hold"},
                               {"echo", Nonce},
                               {"calls", nlohmann::json::array()}};
  return {200, Body.dump(), {{"Clementine-Outcome", "completed"}}, {}, false};
}

std::vector<request_record> runAgainst(const std::string &Url,
                                       resend_kind Resend) {
  deployment Deployment;
  Deployment.Services.resize(1);
  Deployment.Services[0].Name = "back";
  scenario Scenario;
  Scenario.Patience = 1s;
  Scenario.SendTimeout = 300ms;
  Scenario.Resend = Resend;
  Scenario.MostSends = 2;
  Scenario.Streams = {{"web", {"back", "hold"}, importance::Low, 1}};
  const std::vector<std::string> Entries = {Url};
  load_client Client(Deployment, Scenario, Entries, 5);
  return Client.run(std::chrono::steady_clock::now(),
                    {{0ms, 0}, {10ms, 0}, {20ms, 0}});
}

const std::string NodeUrl = "http://127.0.0.1:" + std::to_string(NodePort);

} // namespace

TEST_CASE("a client sends again under the same key and says so") {
  scripted_node Node([](const http_request &Request, int Number) {
    if (Number == 1)
      return http_answer{
          504, "", {{"Clementine-Outcome", "unknown"}}, {}, false};
    return wholeAnswer(Request.Body);
  });
  const auto Records = runAgainst(NodeUrl, resend_kind::Hard);
  REQUIRE(Records.size() == 3);
  for (const request_record &Record : Records) {
    REQUIRE(Record.Sends.size() == 2);
    CHECK(Record.Sends[0].Outcome == send_outcome::Unknown);
    CHECK(Record.isWhole());
  }
  CHECK(Node.Seen.size() == 6);
  int Again = 0;
  for (const http_request &Request : Node.Seen) {
    CHECK(Request.Path == "/call/back/hold");
    CHECK(Request.header("Clementine-Caller") == "web");
    CHECK(Request.header("Idempotency-Key") == Request.Body);
    Again += Request.header("Clementine-Send") == "again" ? 1 : 0;
  }
  CHECK(Again == 3);
}

TEST_CASE("answers that are cut, foreign or late are told apart") {
  {
    scripted_node Node([](const http_request &Request, int) {
      auto Answer = wholeAnswer(Request.Body);
      Answer.IsTruncated = true;
      return Answer;
    });
    CHECK(runAgainst(NodeUrl, resend_kind::Never)[0].Sends[0].Outcome ==
          send_outcome::Broken);
  }
  {
    scripted_node Node(
        [](const http_request &, int) { return wholeAnswer("another"); });
    CHECK(runAgainst(NodeUrl, resend_kind::Hard)[0].Sends.size() == 1);
  }
  {
    scripted_node Node([](const http_request &Request, int) {
      std::this_thread::sleep_for(500ms);
      return wholeAnswer(Request.Body);
    });
    CHECK(runAgainst(NodeUrl, resend_kind::Never)[0].Sends[0].Outcome ==
          send_outcome::Broken);
  }
}

TEST_CASE("a node that can't be reached was sent nothing") {
  const auto Records = runAgainst(NodeUrl, resend_kind::Never);
  for (const send_record &Send : Records[0].Sends)
    CHECK(Send.Outcome == send_outcome::Unsent);
  CHECK(Records[0].Sends.size() == 5);
}

TEST_CASE("processes are ended by their identifiers, gently if they can") {
  process_group Group;
  const std::string Log = std::string(CLEMENTINE_BINARY_DIR) + "/process.log";
  CHECK(Group.start("good", {"sleep", "60"}, Log));
  CHECK(Group.start("stubborn", {"sh", "-c", "trap '' TERM; sleep 2; sleep 2"},
                    Log));
  CHECK(Group.start("short", {"sh", "-c", "exit 3"}, Log));
  CHECK_FALSE(Group.start("missing", {"/no/such/program"}, Log));
  CHECK(Group.await("short", 5s) == 3);
  CHECK(Group.await("good", 0s) == -1);
  std::this_thread::sleep_for(100ms);
  CHECK(Group.stop({"good", "stubborn"}, 300ms) ==
        std::vector<std::string>{"stubborn"});
  CHECK_FALSE(Group.signal("good", SIGTERM));
}
