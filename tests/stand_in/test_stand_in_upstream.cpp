#include "free_endpoint.h"
#include "stand_in_http/http_client.h"
#include "stand_in_upstream/server/service_time.h"
#include "stand_in_upstream/server/upstream_server.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>

using namespace clementine;
using namespace clementine::stand_in;
using namespace std::chrono_literals;

namespace {

/// A node that forwards calls to one upstream and records all requests.
class fake_node {
public:
  fake_node()
      : Endpoint(findFreeEndpoint()),
        Server(Endpoint, {},
               [this](const http_request &Request) { return serve(Request); }) {
  }

  std::string url() const { return "http://" + Endpoint.text(); }

  std::vector<http_request> requests(const std::string &Prefix) {
    const std::lock_guard Lock(Mutex);
    std::vector<http_request> Found;
    for (const http_request &Request : Seen)
      if (Request.Path.starts_with(Prefix))
        Found.push_back(Request);
    return Found;
  }

  std::string Target;

private:
  http_answer serve(const http_request &Request) {
    {
      const std::lock_guard Lock(Mutex);
      Seen.push_back(Request);
    }
    http_answer Answer;
    if (!Request.Path.starts_with("/call/"))
      return Answer;
    const std::size_t Slash = Request.Path.rfind('/');
    const auto Forwarded = Client.post(
        "http://" + Target + Request.Path.substr(Slash), {}, Request.Body, 2s);
    Answer.Status = Forwarded ? static_cast<unsigned>(Forwarded->Status) : 502;
    Answer.Body = Forwarded ? Forwarded->Body : "";
    return Answer;
  }

  std::mutex Mutex;
  std::vector<http_request> Seen;
  http_client Client;
  endpoint Endpoint;
  http_server Server;
};

upstream_settings settingsOf(const std::string &Service) {
  upstream_settings Settings;
  Settings.Service = Service;
  Settings.Listen = findFreeEndpoint();
  Settings.ServiceTime = 2ms;
  Settings.AnnounceInterval = 20ms;
  return Settings;
}

std::string urlOf(const upstream_settings &Settings) {
  return "http://" + Settings.Listen.text();
}

nlohmann::json runsOf(http_client &Client, const std::string &Url) {
  return nlohmann::json::parse(Client.get(Url + "/stand-in/runs", 2s)->Body);
}

/// A clock that always returns seven microseconds.
class stopped_clock final : public clementine::clock {
public:
  instant now() const override { return instant(7us); }
};

/// Waits until a condition holds, for 200 rounds of 10 ms at most.
template <class Condition> bool eventually(Condition Holds) {
  for (int Round = 0; Round < 200; ++Round) {
    if (Holds())
      return true;
    std::this_thread::sleep_for(10ms);
  }
  return false;
}

} // namespace

TEST_CASE("the spread has the mean 1 and the cold factor falls linearly") {
  seeded_random Random(7);
  double Sum = 0;
  constexpr int Samples = 200000;
  for (int Sample = 0; Sample < Samples; ++Sample)
    Sum += sampleSpread(Random, 0.5);
  CHECK(Sum / Samples == doctest::Approx(1).epsilon(0.01));
  CHECK(sampleSpread(Random, 0) == doctest::Approx(1));
  CHECK(coldFactor(0s, 10s, 3) == doctest::Approx(3));
  CHECK(coldFactor(5s, 10s, 3) == doctest::Approx(2));
  CHECK(coldFactor(10s, 10s, 3) == doctest::Approx(1));
}

TEST_CASE("a call plan is parsed completely or rejected") {
  call_plan Plan;
  CHECK(addToCallPlan("book=crematory-desk/reserve,kin-post/notify", Plan));
  CHECK(Plan["book"] == std::vector<sub_call>{{"crematory-desk", "reserve"},
                                              {"kin-post", "notify"}});
  for (const char *Text : {"", "book", "=a/b", "book=", "book=a", "book=/b",
                           "book=a/", "book=a/b,c"})
    CHECK_FALSE(addToCallPlan(Text, Plan));
  CHECK(Plan.size() == 1);
}

TEST_CASE("an answer contains the body and the answers of all sub-calls") {
  fake_node Node;
  const auto Deep = settingsOf("kin-post");
  auto Front = settingsOf("hall-desk");
  Front.Node = Node.url();
  addToCallPlan("book=kin-post/notify,kin-post/notify", Front.Calls);
  Node.Target = Deep.Listen.text();
  const upstream_server DeepServer(Deep);
  const upstream_server FrontServer(Front);
  http_client Client;
  const auto Answer =
      Client.post(urlOf(Front) + "/book",
                  {"Clementine-Request: t1", "Idempotency-Key: k1",
                   "Clementine-Timeout-Ms: 2000"},
                  "nonce-1 rest", 2s);
  REQUIRE(Answer);
  CHECK(Answer->Status == 200);
  const auto Body = nlohmann::json::parse(Answer->Body);
  CHECK(Body["echo"] == "nonce-1 rest");
  REQUIRE(Body["calls"].size() == 2);
  CHECK(Body["calls"][1]["service"] == "kin-post");
  CHECK(Body["calls"][1]["echo"] == "nonce-1 rest");
  const auto Calls = Node.requests("/call/kin-post/notify");
  REQUIRE(Calls.size() == 2);
  CHECK(Calls[0].header("Clementine-Request") == "t1");
  CHECK(Calls[0].header("Idempotency-Key") !=
        Calls[1].header("Idempotency-Key"));
  CHECK(std::stoi(Calls[1].header("Clementine-Timeout-Ms")) < 2000);
  CHECK(runsOf(Client, urlOf(Front))["runs"][0][2] == "nonce-1");
}

TEST_CASE("requests that expire or are cancelled while queued never run") {
  auto Settings = settingsOf("kin-post");
  Settings.ServiceTime = 400ms;
  const upstream_server Server(Settings);
  http_client Client;
  const std::string Url = urlOf(Settings);
  std::thread First([&] {
    CHECK(
        Client.post(Url + "/notify", {"Idempotency-Key: a"}, "a", 5s)->Status ==
        200);
  });
  CHECK(eventually([&] { return runsOf(Client, Url)["runs"].size() == 1; }));
  std::thread Third([&] {
    const auto Cancelled =
        Client.post(Url + "/notify",
                    {"Clementine-Request: c", "Idempotency-Key: c"}, "c", 5s);
    CHECK(Cancelled->Status == 503);
    CHECK(Cancelled->Outcome == "not-run");
  });
  CHECK(eventually([&] {
    return Client.post(Url + "/clementine/cancel/c", {}, "", 1s)->Status == 200;
  }));
  const auto Late =
      Client.post(Url + "/notify",
                  {"Idempotency-Key: b", "Clementine-Timeout-Ms: 20"}, "b", 5s);
  CHECK(Late->Outcome == "not-run");
  First.join();
  Third.join();
  const auto Runs = runsOf(Client, Url);
  CHECK(Runs["runs"].size() == 1);
  CHECK(Runs["runs"][0][4] == 1);
}

TEST_CASE("work that is cancelled or timed out counts as begun") {
  auto Settings = settingsOf("kin-post");
  Settings.Slots = 2;
  Settings.ServiceTime = 2s;
  const upstream_server Server(Settings);
  http_client Client;
  const std::string Url = urlOf(Settings);
  std::thread Cancelled([&] {
    const auto Answer =
        Client.post(Url + "/notify",
                    {"Clementine-Request: x", "Idempotency-Key: x"}, "x", 5s);
    CHECK(Answer->Status == 504);
    CHECK(Answer->Outcome.empty());
  });
  CHECK(eventually([&] { return runsOf(Client, Url)["runs"].size() == 1; }));
  CHECK(Client.post(Url + "/clementine/cancel/x", {}, "", 1s)->Status == 200);
  Cancelled.join();
  CHECK(Client.post(Url + "/notify", {"Clementine-Timeout-Ms: 30"}, "y", 5s)
            ->Status == 504);
  for (const auto &Row : runsOf(Client, Url)["runs"]) {
    CHECK(Row[3] == 1);
    CHECK(Row[4] == 0);
  }
}

TEST_CASE("switches truncate, shed and misreport; invalid ones are rejected") {
  auto Settings = settingsOf("kin-post");
  Settings.ReportLag = 0ms;
  const upstream_server Server(Settings);
  http_client Client;
  const std::string Url = urlOf(Settings);
  const auto Set = [&](const std::string &Json) {
    return Client.post(Url + "/stand-in/faults", {}, Json, 1s)->Status;
  };
  CHECK(Set(R"({"cut_answers":1})") == 200);
  CHECK_FALSE(Client.post(Url + "/notify", {}, "cut", 1s).has_value());
  CHECK(Client.post(Url + "/notify", {}, "whole", 1s)->Status == 200);
  CHECK(runsOf(Client, Url)["runs"].size() == 2);
  CHECK(Set(R"({"shed":true})") == 200);
  CHECK(Client.post(Url + "/notify", {}, "shed", 1s)->Outcome == "not-run");
  CHECK(runsOf(Client, Url)["runs"].size() == 2);
  CHECK(Client.get(Url + "/health", 1s)->Body == R"({"status":"ok"})");
  CHECK(Set(R"({"health_lies":true,"load_lies":true})") == 200);
  CHECK(Client.get(Url + "/health", 1s)->Body == R"({"status":"overloaded"})");
  // The slot of the previous request is released just after its answer.
  CHECK(eventually([&] {
    return nlohmann::json::parse(Client.get(Url + "/load", 1s)->Body)
               .at("in_use") == 1;
  }));
  CHECK(Set(R"({"slow_factor":0})") == 400);
  CHECK(Set(R"({"hang":1})") == 400);
  CHECK(Set("{") == 400);
}

TEST_CASE("a node receives periodic announcements, then the drain") {
  fake_node Node;
  auto Settings = settingsOf("kin-post");
  Settings.Node = Node.url();
  upstream_server Server(Settings);
  CHECK(eventually(
      [&] { return Node.requests("/upstream/announce").size() >= 3; }));
  const auto Body =
      nlohmann::json::parse(Node.requests("/upstream/announce")[0].Body);
  CHECK(Body["service"] == "kin-post");
  CHECK(Body["port"] == Settings.Listen.Port);
  CHECK(Body["cold"] == false);
  Server.drain();
  CHECK(Node.requests("/upstream/drain").size() == 1);
  CHECK(Server.awaitIdle(1s));
}

TEST_CASE("connections above the limit are closed") {
  auto Settings = settingsOf("kin-post");
  Settings.Connections = 2;
  Settings.Slots = 5;
  Settings.ServiceTime = 300ms;
  const upstream_server Server(Settings);
  std::atomic<int> Whole{0};
  constexpr std::size_t CallerCount = 5;
  std::vector<std::thread> Callers;
  Callers.reserve(CallerCount);
  for (std::size_t Caller = 0; Caller < CallerCount; ++Caller)
    Callers.emplace_back([&] {
      http_client Client;
      const auto Answer = Client.post(urlOf(Settings) + "/notify", {}, "x", 2s);
      Whole += Answer && Answer->Status == 200 ? 1 : 0;
    });
  for (std::thread &Caller : Callers)
    Caller.join();
  CHECK(Whole == 2);
}

TEST_CASE("the journal remains readable after the log is closed") {
  const std::string Path =
      std::string(CLEMENTINE_BINARY_DIR) + "/test_stand_in.journal";
  std::remove(Path.c_str());
  const stopped_clock Time;
  {
    run_log Log(Path, Time);
    Log.begin({"book", "k", "n"});
    Log.end({"book", "k", "n"}, true, 1500us);
    Log.begin({"book", "", "has\nbreak"});
    Log.end({"book", "", "has\nbreak"}, false, 0us);
  }
  std::ifstream File(Path);
  std::stringstream Text;
  Text << File.rdbuf();
  CHECK(Text.str() == "begin book k n 7\ncompleted book k n 1500\n"
                      "begin book - has 7\naborted book - has 0\n");
}
