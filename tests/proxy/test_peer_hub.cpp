#include "clementine_proxy/peers/peer_hub.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>

#include <string>
#include <vector>

using namespace clementine;
using namespace clementine::proxy;
namespace asio = boost::asio;

namespace {

/// Records the nodes whose links failed.
class recording_listener final : public peer_hub_listener {
public:
  peer_hello helloTo(const std::string &) override { return {}; }
  peer_status status() override { return {}; }
  void peerUp(const std::string &, const peer_hello &) override {}
  void peerDown(const std::string &Node, bool) override {
    Down.push_back(Node);
  }
  void peerUnresponsive(const std::string &) override {}
  void peerReplyReceived(const std::string &, peer_message) override {}
  void peerRequestReceived(std::uint64_t, peer_message) override {}

  std::vector<std::string> Down;
};

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
