#include "stand_in_http/pipelining_client.h"
#include "stand_in_users_platform/local_mesh.h"

#include <doctest/doctest.h>

#include <chrono>
#include <future>
#include <map>
#include <thread>

using namespace clementine;
using namespace clementine::stand_in;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t OverlappingClients = 4;

/// How often a client has received each status, and whether its connection was
/// ended.
struct received {
  std::map<long, int> Statuses;
  bool WasToldToClose = false;
  bool HasEnded = false;
};

/// Sends a request every @p Interval from @p Delay on, until the connection
/// ends.
received sendUntilClosed(const endpoint &Node, const std::string &Name,
                         std::chrono::milliseconds Delay,
                         std::chrono::milliseconds Interval) {
  pipelining_client Client(Node);
  received Received;
  const auto Begun = std::chrono::steady_clock::now();
  auto Next = Begun + Delay;
  int Sent = 0;
  while (!Received.HasEnded && std::chrono::steady_clock::now() - Begun < 15s) {
    if (std::chrono::steady_clock::now() >= Next) {
      const std::string Id = Name + "-" + std::to_string(++Sent);
      std::string Text = "GET /archive/1 HTTP/1.1\r\nHost: mesh.example\r\n"
                         "X-Deadline-Ms: 5000\r\nX-Request-Id: ";
      Text += Id;
      Client.send(Text += "\r\n\r\n");
      Next += Interval;
    }
    for (const auto &Answer : Client.receive(4096)) {
      CHECK_FALSE(Received.WasToldToClose);
      ++Received.Statuses[Answer.Status];
      Received.WasToldToClose = Answer.header("connection") == "close";
    }
    Received.HasEnded = Client.hasEnded();
    std::this_thread::sleep_for(2ms);
  }
  CHECK_FALSE(Client.hasPartialAnswer());
  return Received;
}

} // namespace

TEST_CASE("a planned stop answers each request that it takes from connections "
          "on which requests overlap or come late") {
  local_mesh::settings Settings;
  Settings.ServiceTime = 250ms;
  local_mesh Mesh(Settings);
  REQUIRE(Mesh.awaitReady());
  const endpoint Node = Mesh.outboundOf("archive-east");
  std::vector<std::future<received>> Clients;
  const auto Add = [&](const std::string &Name, auto Delay, auto Interval) {
    Clients.push_back(std::async(std::launch::async, [=] {
      return sendUntilClosed(Node, Name, Delay, Interval);
    }));
  };
  for (std::size_t Number = 0; Number < OverlappingClients; ++Number)
    Add("overlapping" + std::to_string(Number), 0ms, 100ms);
  std::this_thread::sleep_for(500ms);
  std::thread LateClients([&] {
    std::this_thread::sleep_for(2400ms);
    for (const auto Delay : {100ms, 700ms, 1300ms, 2100ms})
      Add("late" + std::to_string(Delay.count()), Delay, 200ms);
  });
  CHECK(Mesh.node("archive-east").stop() == 0);
  LateClients.join();
  for (std::size_t Number = 0; Number < Clients.size(); ++Number) {
    const received Received = Clients[Number].get();
    const bool IsOverlapping = Number < OverlappingClients;
    CHECK((!IsOverlapping || Received.Statuses.contains(200)));
    CHECK(Received.HasEnded);
    CHECK(Received.WasToldToClose == !Received.Statuses.empty());
    CHECK_FALSE(Received.Statuses.contains(502));
    CHECK_FALSE(Received.Statuses.contains(504));
  }
}
