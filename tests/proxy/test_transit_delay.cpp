#include "clementine_proxy/model/boot_clock.h"
#include "clementine_proxy/peers/peer_link.h"
#include "clementine_proxy/peers/transit_delay.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <memory>
#include <thread>
#include <vector>

using namespace clementine;
using namespace clementine::proxy;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Stores the messages that a link receives.
class recording_listener final : public peer_link_listener {
public:
  void linkMessage(const std::shared_ptr<peer_link> &,
                   peer_message Message) override {
    Messages.push_back(std::move(Message));
  }
  void linkBufferChanged(std::size_t, std::size_t) override {}
  void linkClosed(const std::shared_ptr<peer_link> &) override {}

  std::vector<peer_message> Messages;
};

} // namespace

TEST_CASE("clocks that differ do not count as delay") {
  transit_delay Delay;
  const instant Now{1000s};
  CHECK(Delay.measure(5s, Now) == 0s);
  CHECK(Delay.measure(6s, Now + 1s) == 0s);
  CHECK(Delay.measure(7s, Now + 2s + 3ms) == 3ms);
  // A faster message shows that the ones before it were delayed.
  CHECK(Delay.measure(8s, Now + 3s - 2ms) == 0s);
  CHECK(Delay.measure(9s, Now + 4s) == 2ms);
}

TEST_CASE("messages that waited for seconds are recognised one by one") {
  transit_delay Delay;
  const instant Now{1000s};
  Delay.measure(5s, Now);
  CHECK(Delay.measure(6s, Now + 4s) == 3s);
  CHECK(Delay.measure(7s, Now + 4s) == 2s);
  CHECK(Delay.measure(9s, Now + 4s) == 0s);
}

TEST_CASE("a drift between two clocks is forgotten within two windows") {
  transit_delay Delay;
  const instant Start{1000s};
  duration Last{0};
  for (int Second = 0; Second < 3600; ++Second) {
    const duration Drift = Second * 100us;
    Last = Delay.measure(std::chrono::seconds(Second),
                         Start + std::chrono::seconds(Second) + Drift);
  }
  CHECK(Last <= 2 * duration(transit_delay::Window) / 10000);
}

TEST_CASE("an order that a paused process finds in its socket has less time "
          "left by as much as it has waited") {
  asio::io_context SenderLoop;
  asio::io_context ReceiverLoop;
  tcp::acceptor Acceptor(ReceiverLoop,
                         tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  tcp::socket Socket(SenderLoop);
  Socket.connect(Acceptor.local_endpoint());
  recording_listener Sent;
  recording_listener Received;
  auto Sender = std::make_shared<peer_link>(std::move(Socket), Sent, 1);
  auto Receiver =
      std::make_shared<peer_link>(Acceptor.accept(ReceiverLoop), Received, 2);
  Sender->start();
  Receiver->start();
  // The delay is counted beyond that of the fastest message, which is at most
  // the shortest time that one of these takes from one end to the other.
  constexpr std::size_t Probes = 5;
  duration Calm = duration::max();
  for (std::size_t Probe = 1; Probe <= Probes; ++Probe) {
    const instant SentAt = boot_clock().now();
    Sender->send(peer_probe{});
    while (Received.Messages.size() < Probe &&
           boot_clock().now() - SentAt < 5s) {
      SenderLoop.restart();
      SenderLoop.poll();
      ReceiverLoop.restart();
      ReceiverLoop.poll();
    }
    REQUIRE(Received.Messages.size() == Probe);
    Calm = std::min(Calm, boot_clock().now() - SentAt);
  }

  attempt_request Order;
  Order.TimeLeftMicroseconds = std::chrono::microseconds(2s).count();
  const instant OrderSentAt = boot_clock().now();
  Sender->send(Order);
  SenderLoop.restart();
  SenderLoop.run_for(20ms);
  std::this_thread::sleep_for(300ms); // The receiving process stands still.
  ReceiverLoop.restart();
  ReceiverLoop.run_for(50ms);
  REQUIRE(Received.Messages.size() == Probes + 1);
  const auto Left = std::chrono::microseconds(
      std::get<attempt_request>(Received.Messages.back()).TimeLeftMicroseconds);
  CHECK(Left <= 2s - 300ms + Calm);
  CHECK(Left >= 2s - (boot_clock().now() - OrderSentAt) - 1ms);
}
