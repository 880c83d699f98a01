#include "clementine_proxy/clementine_proxy.h"

#include <doctest/doctest.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

using namespace clementine;
using namespace clementine::proxy;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr caller_limits Low{.MaxHeader = 512,
                            .MaxBody = 100,
                            .HeaderTimeout = 3s,
                            .IdleTimeout = 300ms};
constexpr caller_limits High{.MaxHeader = 8192,
                             .MaxBody = 10000,
                             .HeaderTimeout = 3s,
                             .IdleTimeout = 30s};

/// Answers each request at once, under limits that a test changes.
class limited_handler final : public http_handler {
public:
  void handle(request Request, responder Respond,
              disconnect_callback &) override {
    ++Requests;
    response Response;
    Response.Status = 200;
    Response.Body = std::to_string(Request.Body.size()) + "/end";
    Respond(std::move(Response));
  }
  caller_limits limits() const override { return Limits; }

  caller_limits Limits = Low;
  int Requests = 0;
};

/// A client with an open connection.
struct kept_client {
  explicit kept_client(caller_limits First) {
    Handler.Limits = First;
    tcp::acceptor Acceptor(Loop, {asio::ip::make_address("127.0.0.1"), 0});
    Client.connect(Acceptor.local_endpoint());
    Session = std::make_shared<http_session>(Acceptor.accept(), Handler);
    Session->start();
    Client.non_blocking(true);
  }

  void send(const std::string &Bytes) {
    asio::write(Client, asio::buffer(Bytes));
  }

  /// Sends a request. @returns the answer, empty if the connection was closed.
  std::string ask(std::size_t HeaderBytes, std::size_t BodyBytes) {
    send(head(HeaderBytes, BodyBytes) + std::string(BodyBytes, 'b'));
    return receive();
  }

  static std::string head(std::size_t HeaderBytes, std::size_t BodyBytes) {
    return "POST / HTTP/1.1\r\nHost: h\r\nX-Pad: " +
           std::string(HeaderBytes, 'p') +
           "\r\nContent-Length: " + std::to_string(BodyBytes) + "\r\n\r\n";
  }

  std::string receive() {
    std::string Received;
    boost::system::error_code Error;
    const instant End = boot_clock().now() + 5s;
    while (Received.find("/end") == std::string::npos &&
           Received.find("HTTP/1.1 4") == std::string::npos &&
           boot_clock().now() < End &&
           (!Error || Error == asio::error::would_block)) {
      run(1ms);
      std::string Bytes(4096, '\0');
      Bytes.resize(Client.read_some(asio::buffer(Bytes), Error));
      Received += Bytes;
    }
    return Received;
  }

  void run(duration Time) {
    Loop.restart();
    Loop.run_for(Time);
  }

  bool isOpen() {
    char Byte = 0;
    boost::system::error_code Error;
    Client.read_some(asio::buffer(&Byte, 1), Error);
    return Error == asio::error::would_block;
  }

  asio::io_context Loop;
  limited_handler Handler;
  tcp::socket Client{Loop};
  std::shared_ptr<http_session> Session;
};

bool isOk(const std::string &Answer) {
  return Answer.find("HTTP/1.1 200") != std::string::npos;
}

bool hasStatus(const std::string &Answer, const std::string &Status) {
  return Answer.find("HTTP/1.1 " + Status) != std::string::npos;
}

} // namespace

// Open connections kept the limits of their start: review/15.
TEST_CASE("a raised limit holds on connections that are open") {
  kept_client Client(Low);
  REQUIRE(isOk(Client.ask(10, 50)));
  Client.Handler.Limits = High;
  SUBCASE("of the body") { CHECK(isOk(Client.ask(10, 5000))); }
  SUBCASE("of the header") { CHECK(isOk(Client.ask(4000, 50))); }
  SUBCASE("of the idle time") {
    Client.run(1500ms);
    REQUIRE(Client.isOpen());
    CHECK(isOk(Client.ask(10, 50)));
  }
  SUBCASE("behind a request that is answered") {
    Client.send(kept_client::head(10, 0) + kept_client::head(10, 5000) +
                std::string(5000, 'b'));
    Client.receive();
    Client.run(50ms);
    CHECK(Client.Handler.Requests == 3);
  }
}

TEST_CASE("a lowered limit holds on connections that are open") {
  kept_client Client(High);
  REQUIRE(isOk(Client.ask(4000, 5000)));
  Client.Handler.Limits = Low;
  SUBCASE("of the body") { CHECK(hasStatus(Client.ask(10, 5000), "413")); }
  SUBCASE("of the header") { CHECK(hasStatus(Client.ask(4000, 50), "431")); }
  SUBCASE("of the idle time, from the next request on") {
    Client.run(1500ms);
    REQUIRE(Client.isOpen());
    REQUIRE(isOk(Client.ask(10, 50)));
    Client.run(1500ms);
    CHECK_FALSE(Client.isOpen());
  }
}

TEST_CASE("a request that has begun is held to the limits of its beginning") {
  kept_client Client(High);
  const std::string Head = kept_client::head(10, 5000);
  Client.send(Head.substr(0, 20));
  Client.run(20ms);
  Client.Handler.Limits = Low;
  Client.send(Head.substr(20) + std::string(5000, 'b'));
  CHECK(isOk(Client.receive()));
  CHECK(hasStatus(Client.ask(10, 5000), "413"));
}

// A connection that is accepted before the first configuration is known has
// the limits that are built in.
TEST_CASE("a connection that was open before the first configuration follows "
          "its limits") {
  kept_client Client(caller_limits{});
  Client.Handler.Limits = Low;
  CHECK(hasStatus(Client.ask(10, 5000), "413"));
}
