#include "clementine_transport/gossip/gossip_socket.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>

namespace clementine {

namespace {

namespace asio = boost::asio;
using udp = asio::ip::udp;

constexpr std::size_t LargestDatagram = 2048;

} // namespace

class gossip_socket::implementation {
public:
  implementation(endpoint Listen, duration Tick, gossip_handler &Handler)
      : Listen(std::move(Listen)), Tick(Tick), Handler(Handler),
        Socket(Context), Timer(Context), Task(
                                             "gossip",
                                             [this](const std::atomic<bool> &) {
                                               Context.restart();
                                               Context.run();
                                             },
                                             [this] { Context.stop(); }, {}) {}

  void start() {
    const udp::endpoint Local(asio::ip::make_address(Listen.Host), Listen.Port);
    Socket.open(Local.protocol());
    Socket.bind(Local);
    Socket.non_blocking(true);
    receive();
    scheduleTick();
    Task.start();
  }

  void stop() {
    Task.stop();
    boost::system::error_code Ignored;
    Socket.close(Ignored);
  }

  void post(std::function<void()> Work) {
    asio::post(Context, std::move(Work));
  }

  const std::string &name() const { return Task.name(); }

private:
  void receive() {
    Socket.async_receive_from(
        asio::buffer(Buffer), Sender,
        [this](const auto &Error, std::size_t Count) {
          if (Error == asio::error::operation_aborted)
            return;
          if (!Error)
            send(Handler.datagramArrived(
                {Sender.address().to_string(), Sender.port()},
                std::span(Buffer.data(), Count)));
          receive();
        });
  }

  void scheduleTick() {
    Timer.expires_after(Tick);
    Timer.async_wait([this](const auto &Error) {
      if (Error)
        return;
      send(Handler.onTick());
      scheduleTick();
    });
  }

  /// Send errors are ignored: UDP may lose datagrams anyway. The socket does
  /// not block, so a datagram that does not fit the send buffer is dropped.
  void send(const std::vector<addressed_datagram> &Datagrams) {
    for (const addressed_datagram &Datagram : Datagrams) {
      boost::system::error_code Ignored;
      const auto Address = asio::ip::make_address(Datagram.To.Host, Ignored);
      if (!Ignored)
        Socket.send_to(asio::buffer(Datagram.Bytes),
                       udp::endpoint(Address, Datagram.To.Port), 0, Ignored);
    }
  }

  const endpoint Listen;
  const duration Tick;
  gossip_handler &Handler;
  asio::io_context Context;
  udp::socket Socket;
  asio::steady_timer Timer;
  std::array<std::byte, LargestDatagram> Buffer{};
  udp::endpoint Sender;
  supervised_task Task;
};

gossip_socket::gossip_socket(endpoint Listen, duration Tick,
                             gossip_handler &Handler)
    : Implementation(
          std::make_shared<implementation>(std::move(Listen), Tick, Handler)) {}

gossip_socket::~gossip_socket() { gossip_socket::stop(); }

const std::string &gossip_socket::name() const {
  return Implementation->name();
}

void gossip_socket::start() { Implementation->start(); }

void gossip_socket::stop() { Implementation->stop(); }

void gossip_socket::post(std::function<void()> Work) {
  Implementation->post(std::move(Work));
}

} // namespace clementine
