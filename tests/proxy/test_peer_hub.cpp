#include "clementine_proxy/peers/peer_hub.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>

#include <string>
#include <vector>

using namespace clementine;
using namespace clementine::proxy;
namespace asio = boost::asio;

namespace {

/// Records the nodes whose links failed, and what arrives on links.
class recording_listener final : public peer_hub_listener {
public:
  peer_hello helloTo(const std::string &) override {
    peer_hello Hello;
    Hello.Self.Node = Name;
    return Hello;
  }
  peer_status status() override { return {}; }
  void peerUp(const std::string &, const peer_hello &) override { ++Up; }
  void peerDown(const std::string &Node, bool) override {
    Down.push_back(Node);
  }
  void peerUnresponsive(const std::string &) override {}
  void peerReplyReceived(const std::string &, peer_message) override {
    ++Replies;
  }
  void peerRequestReceived(std::uint64_t Link, peer_message) override {
    LastLink = Link;
  }

  std::string Name;
  std::vector<std::string> Down;
  int Up = 0;
  int Replies = 0;
  std::uint64_t LastLink = 0;
};

/// @returns a port of the loopback interface that is free at the moment.
std::uint16_t freePort() {
  asio::io_context Loop;
  return asio::ip::tcp::acceptor(Loop, {asio::ip::make_address("127.0.0.1"), 0})
      .local_endpoint()
      .port();
}

template <class Condition>
bool runUntil(asio::io_context &Loop, const Condition &IsMet) {
  for (int Step = 0; Step < 5000 && !IsMet(); ++Step) {
    Loop.restart();
    Loop.run_one_for(std::chrono::milliseconds(1));
  }
  return IsMet();
}

} // namespace

TEST_CASE("a record whose address is no IP address fails its link and not the "
          "process") {
  asio::io_context Loop;
  recording_listener Listener;
  peer_hub Hub(Loop, {}, {"127.0.0.1", 0}, Listener);
  for (const char *Host : {"", "not an address", "db.example", "1.2.3.4.5"}) {
    CAPTURE(Host);
    Listener.Down.clear();
    CHECK_FALSE(Hub.open("n", {Host, 80}));
    Loop.restart();
    CHECK_NOTHROW(Loop.run_for(std::chrono::milliseconds(50)));
    CHECK(Listener.Down == std::vector<std::string>{"n"});
  }
}

TEST_CASE(
    "reports that are queued when a node closes its links still reach the "
    "nodes that wait for them") {
  asio::io_context Loop;
  recording_listener GateListener;
  recording_listener EntryListener;
  GateListener.Name = "gate";
  const endpoint Gate{"127.0.0.1", freePort()};
  peer_hub GateHub(Loop, {}, Gate, GateListener);
  peer_hub EntryHub(Loop, {}, {"127.0.0.1", freePort()}, EntryListener);
  GateHub.start();
  EntryHub.open("gate", Gate);
  REQUIRE(runUntil(Loop, [&] { return EntryListener.Up == 1; }));
  run_report Report;
  Report.Outcome = run_outcome::Completed;
  Report.Response.Status = 200;
  Report.Response.Body = std::string(std::size_t{1} << 20U, 'x');
  constexpr int Count = 16;
  for (int Number = 0; Number < Count; ++Number)
    GateHub.reply(GateListener.LastLink, Report);
  EntryHub.sendTo("gate", run_query{});
  GateHub.beginClosing();
  CHECK(GateHub.hasLinks());
  CHECK(runUntil(Loop, [&] { return !GateHub.hasLinks(); }));
  CHECK(EntryListener.Replies == Count);
  CHECK(runUntil(Loop, [&] { return !EntryListener.Down.empty(); }));
  GateHub.stop();
  EntryHub.stop();
  Loop.restart();
  Loop.run_for(std::chrono::milliseconds(20));
}

TEST_CASE("an order that reaches a node whose links are closing is not run, as "
          "its report could not be sent") {
  asio::io_context Loop;
  recording_listener GateListener;
  recording_listener EntryListener;
  GateListener.Name = "gate";
  const endpoint Gate{"127.0.0.1", freePort()};
  peer_hub GateHub(Loop, {}, Gate, GateListener);
  peer_hub EntryHub(Loop, {}, {"127.0.0.1", freePort()}, EntryListener);
  GateHub.start();
  EntryHub.open("gate", Gate);
  REQUIRE(runUntil(Loop, [&] { return EntryListener.Up == 1; }));
  GateListener.LastLink = 0;
  GateHub.beginClosing();
  EntryHub.sendTo("gate", attempt_request{});
  CHECK(runUntil(Loop, [&] { return !GateHub.hasLinks(); }));
  CHECK(GateListener.LastLink == 0);
  GateHub.stop();
  EntryHub.stop();
  Loop.restart();
  Loop.run_for(std::chrono::milliseconds(20));
}
