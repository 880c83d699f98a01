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

/// A node whose answers are scripted by request and number of the send.
class scripted_node {
public:
  using script = std::function<http_answer(const http_request &, int)>;

  explicit scripted_node(script Script)
      : Script(std::move(Script)),
        Server({"127.0.0.1", NodePort}, {},
               [this](const http_request &Request) { return serve(Request); }) {
  }

  std::vector<http_request> Received;

private:
  http_answer serve(const http_request &Request) {
    int Number = 0;
    {
      const std::lock_guard Lock(Mutex);
      Received.push_back(Request);
      Number = ++Sends[Request.header("Idempotency-Key")];
    }
    return Script(Request, Number);
  }

  const script Script;
  std::mutex Mutex;
  std::map<std::string, int> Sends;
  stand_in::http_server Server;
};

http_answer successfulAnswer(const std::string &Nonce) {
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
  Scenario.RequestTimeout = 1s;
  Scenario.SendTimeout = 300ms;
  Scenario.Resend = Resend;
  Scenario.MaxSends = 2;
  Scenario.Streams = {{"web", {"back", "hold"}, importance::Low, 1}};
  const std::vector<std::string> NodeUrls = {Url};
  load_client Client(Deployment, Scenario, NodeUrls, 5);
  return Client.run(std::chrono::steady_clock::now(),
                    {{0ms, 0}, {10ms, 0}, {20ms, 0}});
}

const std::string NodeUrl = "http://127.0.0.1:" + std::to_string(NodePort);

} // namespace

TEST_CASE("a client resends with the same key and marks the send as repeated") {
  scripted_node Node([](const http_request &Request, int Number) {
    if (Number == 1)
      return http_answer{
          504, "", {{"Clementine-Outcome", "unknown"}}, {}, false};
    return successfulAnswer(Request.Body);
  });
  const auto Records = runAgainst(NodeUrl, resend_kind::Immediate);
  REQUIRE(Records.size() == 3);
  for (const request_record &Record : Records) {
    REQUIRE(Record.Sends.size() == 2);
    CHECK(Record.Sends[0].Outcome == send_outcome::Unknown);
    CHECK(Record.hasSucceeded());
  }
  CHECK(Node.Received.size() == 6);
  int Again = 0;
  for (const http_request &Request : Node.Received) {
    CHECK(Request.Path == "/call/back/hold");
    CHECK(Request.header("Clementine-Caller") == "web");
    CHECK(Request.header("Idempotency-Key") == Request.Body);
    Again += Request.header("Clementine-Send") == "again" ? 1 : 0;
  }
  CHECK(Again == 3);
}

TEST_CASE("truncated or late answers are broken, a foreign one is not resent") {
  {
    scripted_node Node([](const http_request &Request, int) {
      auto Answer = successfulAnswer(Request.Body);
      Answer.IsTruncated = true;
      return Answer;
    });
    CHECK(runAgainst(NodeUrl, resend_kind::Never)[0].Sends[0].Outcome ==
          send_outcome::Broken);
  }
  {
    scripted_node Node(
        [](const http_request &, int) { return successfulAnswer("another"); });
    CHECK(runAgainst(NodeUrl, resend_kind::Immediate)[0].Sends.size() == 1);
  }
  {
    scripted_node Node([](const http_request &Request, int) {
      std::this_thread::sleep_for(500ms);
      return successfulAnswer(Request.Body);
    });
    CHECK(runAgainst(NodeUrl, resend_kind::Never)[0].Sends[0].Outcome ==
          send_outcome::Broken);
  }
}

TEST_CASE("sends to an unreachable node are recorded as unsent") {
  const auto Records = runAgainst(NodeUrl, resend_kind::Never);
  for (const send_record &Send : Records[0].Sends)
    CHECK(Send.Outcome == send_outcome::Unsent);
  CHECK(Records[0].Sends.size() == 5);
}

TEST_CASE("a process is terminated, or killed if it ignores SIGTERM") {
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
