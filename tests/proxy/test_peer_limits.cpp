#include "clementine_proxy/peers/peer_hub.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace clementine;
using namespace clementine::proxy;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

class silent_listener final : public peer_hub_listener {
public:
  peer_hello helloTo(const std::string &) override {
    peer_hello Hello;
    Hello.Self.Node = "hub";
    return Hello;
  }
  peer_status status() override { return {}; }
  void peerUp(const std::string &, const peer_hello &) override {}
  void peerDown(const std::string &, bool) override {}
  void peerUnresponsive(const std::string &) override {}
  void peerReplyReceived(const std::string &, peer_message) override {}
  void peerRequestReceived(std::uint64_t, peer_message) override { ++Requests; }

  int Requests = 0;
};

/// A connection to the hub that sends whatever it is told to.
class raw_peer {
public:
  raw_peer(asio::io_context &Loop, const endpoint &Hub) : Socket(Loop) {
    Socket.connect({asio::ip::make_address(Hub.Host), Hub.Port});
    Socket.non_blocking(true);
  }

  void sendHello(const std::string &Node) {
    peer_hello Hello;
    Hello.Self.Node = Node;
    send(encodeFrame(Hello));
  }

  /// Sends what the socket takes now.
  void send(const std::string &Bytes) {
    boost::system::error_code Error;
    Socket.write_some(asio::buffer(Bytes), Error);
    if (Error && Error != asio::error::would_block)
      IsClosed = true;
  }

  bool hasEnded() {
    std::string Received(4096, '\0');
    boost::system::error_code Error;
    Socket.read_some(asio::buffer(Received), Error);
    return IsClosed || (Error && Error != asio::error::would_block);
  }

private:
  tcp::socket Socket;
  bool IsClosed = false;
};

struct fixture {
  fixture() {
    asio::io_context Probe;
    Address.Port =
        tcp::acceptor(Probe, {asio::ip::make_address(Address.Host), 0})
            .local_endpoint()
            .port();
    Settings.HelloTimeout = 300ms;
    Settings.MaxUnknownLinks = 3;
    Settings.MaxAcceptedLinks = 6;
    Settings.MaxBufferedBytes = std::size_t{2} << 20U;
    Hub = std::make_unique<peer_hub>(Loop, Settings, Address, Listener);
    Hub->start();
  }
  ~fixture() { Hub->stop(); }

  fixture(const fixture &) = delete;
  fixture &operator=(const fixture &) = delete;

  raw_peer &add() {
    Peers.push_back(std::make_unique<raw_peer>(Loop, Address));
    passTime();
    return *Peers.back();
  }
  void passTime(duration Span = 20ms) {
    Loop.restart();
    Loop.run_for(Span);
  }

  asio::io_context Loop;
  endpoint Address{"127.0.0.1", 0};
  peer_hub_settings Settings;
  silent_listener Listener;
  std::unique_ptr<peer_hub> Hub;
  std::vector<std::unique_ptr<raw_peer>> Peers;
};

/// The length prefix of a message of 70 MiB.
const std::string LargeMessage("\x04\x60\x00\x00", 4);
const std::string Filling(std::size_t{64} << 10U, 'x');

} // namespace

TEST_CASE("a peer that has not said who it is can make a node buffer nothing "
          "large") {
  fixture Test;
  raw_peer &Peer = Test.add();
  Peer.send(LargeMessage);
  Test.passTime();
  CHECK(Peer.hasEnded());
  CHECK(Test.Listener.Requests == 0);
}

TEST_CASE("links whose peer says nothing neither add up nor stay open") {
  fixture Test;
  for (int Number = 0; Number < 5; ++Number)
    Test.add();
  CHECK_FALSE(Test.Peers[2]->hasEnded());
  CHECK(Test.Peers[3]->hasEnded());
  CHECK(Test.Peers[4]->hasEnded());
  Test.passTime(600ms);
  CHECK(Test.Peers[0]->hasEnded());
  raw_peer &Known = Test.add();
  Known.sendHello("n");
  Test.passTime(600ms);
  CHECK_FALSE(Known.hasEnded());
  CHECK(Test.Listener.Requests == 1);
}

TEST_CASE("the number of links that a node accepts is bounded") {
  fixture Test;
  for (int Number = 0; Number < 8; ++Number)
    Test.add().sendHello("n" + std::to_string(Number));
  Test.passTime();
  CHECK_FALSE(Test.Peers[5]->hasEnded());
  CHECK(Test.Peers[6]->hasEnded());
  CHECK(Test.Peers[7]->hasEnded());
}

TEST_CASE("messages without end on many links hold no more than their limit, "
          "and cost no other link") {
  fixture Test;
  raw_peer &Other = Test.add();
  Other.sendHello("other");
  for (int Number = 0; Number < 4; ++Number) {
    raw_peer &Peer = Test.add();
    Peer.sendHello("n" + std::to_string(Number));
    Test.passTime();
    Peer.send(LargeMessage);
  }
  int Closed = 0;
  for (int Round = 0; Round < 400 && Closed < 3; ++Round) {
    for (std::size_t Number = 1; Number < Test.Peers.size(); ++Number)
      Test.Peers[Number]->send(Filling);
    Test.passTime(2ms);
    Closed = 0;
    for (const auto &Peer : Test.Peers)
      Closed += Peer->hasEnded() ? 1 : 0;
  }
  CHECK(Closed >= 3);
  CHECK_FALSE(Other.hasEnded());
  const int Before = Test.Listener.Requests;
  Other.send(encodeFrame(peer_probe{}));
  Test.passTime();
  CHECK(Test.Listener.Requests == Before + 1);
}
