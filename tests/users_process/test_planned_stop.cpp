#include "stand_in_users_platform/local_mesh.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <future>
#include <map>
#include <thread>

using namespace clementine;
using namespace clementine::stand_in;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// What a client has received on its connection.
struct received {
  std::map<std::string, int> Statuses;
  bool HasEnded = false;
};

/// Keeps one connection open and sends requests on it without waiting for the
/// responses.
class overlapping_client {
public:
  overlapping_client(const endpoint &Node, std::string Name)
      : Name(std::move(Name)) {
    Socket.connect({asio::ip::make_address(Node.Host), Node.Port});
    Socket.non_blocking(true);
  }

  void send() {
    const std::string Id = Name + "-" + std::to_string(++Sent);
    const std::string Bytes = "GET /archive/" + Id +
                              " HTTP/1.1\r\nHost: mesh.example\r\n"
                              "X-Request-Id: " +
                              Id + "\r\nX-Deadline-Ms: 5000\r\n\r\n";
    boost::system::error_code
        Ignored; // The node may have ended the connection.
    asio::write(Socket, asio::buffer(Bytes), Ignored);
  }

  void receive() {
    char Bytes[4096];
    boost::system::error_code Error;
    const std::size_t Count = Socket.read_some(asio::buffer(Bytes), Error);
    Input.append(Bytes, Count);
    HasEnded = Error && Error != asio::error::would_block;
  }

  bool hasEnded() const { return HasEnded; }

  /// @returns how often each status was received.
  received result() const {
    received Result;
    const std::string Line = "HTTP/1.1 ";
    for (std::size_t At = Input.find(Line); At != std::string::npos;
         At = Input.find(Line, At + 1))
      ++Result.Statuses[Input.substr(At + Line.size(), 3)];
    Result.HasEnded = HasEnded;
    return Result;
  }

private:
  const std::string Name;
  asio::io_context Loop;
  tcp::socket Socket{Loop};
  std::string Input;
  int Sent = 0;
  bool HasEnded = false;
};

/// Sends a request every @p Interval from @p Delay on, until the connection
/// ends.
received sendUntilClosed(const endpoint &Node, const std::string &Name,
                         std::chrono::milliseconds Delay,
                         std::chrono::milliseconds Interval) {
  overlapping_client Client(Node, Name);
  const auto Begun = std::chrono::steady_clock::now();
  auto Next = Begun + Delay;
  while (!Client.hasEnded() && std::chrono::steady_clock::now() - Begun < 15s) {
    if (std::chrono::steady_clock::now() >= Next) {
      Client.send();
      Next += Interval;
    }
    Client.receive();
    std::this_thread::sleep_for(2ms);
  }
  return Client.result();
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
  for (int Number = 0; Number < 4; ++Number)
    Add("overlapping" + std::to_string(Number), 0ms, 100ms);
  std::this_thread::sleep_for(500ms);
  std::thread LateClients([&] {
    std::this_thread::sleep_for(2400ms);
    for (const auto Delay : {100ms, 700ms, 1300ms, 2100ms})
      Add("late" + std::to_string(Delay.count()), Delay, 200ms);
  });
  CHECK(Mesh.node("archive-east").stop() == 0);
  LateClients.join();
  for (auto &Each : Clients) {
    const received Received = Each.get();
    CHECK(Received.HasEnded);
    CHECK_FALSE(Received.Statuses.contains("502"));
    CHECK_FALSE(Received.Statuses.contains("504"));
  }
}
