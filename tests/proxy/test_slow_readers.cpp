#include "clementine_proxy/clementine_proxy.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

using namespace clementine;
using namespace clementine::proxy;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t LargeBody = std::size_t{12} << 20U;
/// A client that reads this much at a time needs longer than WriteTimeout for a
/// large body.
constexpr std::size_t BytesPerRead = 20000;
constexpr std::chrono::milliseconds ReadInterval{50};
constexpr int ReceiveBufferBytes = 65536;
/// Longer than WriteTimeout and the interval of its check.
constexpr std::chrono::seconds ObservationTime{13};

/// Answers every request with a large body at once.
class large_handler final : public http_handler {
public:
  void handle(request, responder Respond, disconnect_callback &) override {
    response Response;
    Response.Status = 200;
    Response.Body.assign(LargeBody, 'b');
    Respond(std::move(Response));
  }
  caller_limits limits() const override { return {}; }
};

/// A client that has sent a request and is not in a hurry to read the answer.
struct slow_client {
  slow_client(asio::io_context &Loop, http_handler &Handler) : Client(Loop) {
    tcp::acceptor Acceptor(Loop, {asio::ip::make_address("127.0.0.1"), 0});
    Client.open(tcp::v4());
    Client.set_option(tcp::socket::receive_buffer_size(ReceiveBufferBytes));
    Client.connect(Acceptor.local_endpoint());
    Session = std::make_shared<http_session>(Acceptor.accept(), Handler);
    Session->start();
    asio::write(Client,
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
    Client.non_blocking(true);
  }

  void readSome() {
    std::string Bytes(BytesPerRead, '\0');
    boost::system::error_code Error;
    ReceivedBytes += Client.read_some(asio::buffer(Bytes), Error);
  }

  tcp::socket Client;
  std::shared_ptr<http_session> Session;
  std::size_t ReceivedBytes = 0;
};

} // namespace

// A steady reader was cut off 10 s after the write had begun: review/8.
TEST_CASE("a client that reads slowly but steadily is not cut off, one that "
          "takes nothing is") {
  large_handler Handler;
  asio::io_context Loop;
  slow_client Steady(Loop, Handler);
  slow_client Silent(Loop, Handler);
  const instant End = boot_clock().now() + ObservationTime;
  while (boot_clock().now() < End) {
    Steady.readSome();
    Loop.restart();
    Loop.run_for(ReadInterval);
  }
  CHECK_FALSE(Silent.Session->isInUse());
  REQUIRE(Steady.ReceivedBytes < LargeBody);
  CHECK(Steady.Session->isBusy());
  for (int Read = 0; Read < 100000 && Steady.ReceivedBytes < LargeBody;
       ++Read) {
    Steady.readSome();
    Loop.restart();
    Loop.run_for(100us);
  }
  CHECK(Steady.ReceivedBytes >= LargeBody);
}
