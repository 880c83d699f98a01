#include "clementine_http/clementine_http.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <future>
#include <stdexcept>
#include <string>
#include <thread>

using namespace clementine;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/// Answers with a body of fixed size after a time.
class slow_handler final : public http_handler {
public:
  http_response handle(const http_request &) override {
    IsRunning = true;
    if (Fails)
      throw std::runtime_error("planted fault");
    std::this_thread::sleep_for(Time);
    return {200, {}, std::string(BodyBytes, 'b')};
  }

  std::chrono::milliseconds Time{0};
  std::size_t BodyBytes = 10;
  std::atomic<bool> IsRunning{false};
  std::atomic<bool> Fails{false};
};

endpoint freeEndpoint() {
  asio::io_context Loop;
  const tcp::acceptor Probe(
      Loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  return {"127.0.0.1", Probe.local_endpoint().port()};
}

struct fixture {
  explicit fixture(std::chrono::milliseconds StopLimit) {
    Settings.Listen = freeEndpoint();
    Settings.StopLimit = StopLimit;
    Server = std::make_unique<http_server>("test", Settings, Handler);
    Server->start();
    Client.connect({asio::ip::make_address("127.0.0.1"), Settings.Listen.Port});
  }

  void sendRequest() {
    asio::write(Client, asio::buffer(
                            std::string("GET /x HTTP/1.1\r\nHost: h\r\n\r\n")));
    while (!Handler.IsRunning)
      std::this_thread::sleep_for(1ms);
  }

  /// Reads until the connection ends.
  /// @returns how many bytes were received.
  std::size_t readAll(std::size_t ChunkBytes, std::chrono::milliseconds Pause) {
    std::string Chunk(ChunkBytes, '\0');
    std::size_t Received = 0;
    boost::system::error_code Error;
    while (!Error) {
      Received += asio::read(Client, asio::buffer(Chunk), Error);
      std::this_thread::sleep_for(Pause);
    }
    return Received;
  }

  slow_handler Handler;
  http_server_settings Settings;
  std::unique_ptr<http_server> Server;
  asio::io_context Loop;
  tcp::socket Client{Loop};
};

} // namespace

TEST_CASE("a stop does not cut off the response to a request whose handler is "
          "running") {
  fixture Test(1000ms);
  Test.Handler.Time = 300ms;
  Test.sendRequest();
  CHECK(Test.Server->inProgress() == 1);
  auto Stop = std::async(std::launch::async, [&] { Test.Server->stop(); });
  CHECK(Test.readAll(16, 0ms) > Test.Handler.BodyBytes);
  Stop.get();
}

TEST_CASE("a stop does not cut off a response that is read slowly, but waits "
          "no longer than its limit") {
  constexpr std::size_t ChunkBytes = std::size_t{1} << 20U;
  const auto Limit = 3000ms;
  fixture Test(Limit);
  Test.Handler.BodyBytes = 20 * ChunkBytes;
  Test.sendRequest();
  const auto Begun = std::chrono::steady_clock::now();
  auto Stop = std::async(std::launch::async, [&] { Test.Server->stop(); });
  SUBCASE("read within the limit") {
    CHECK(Test.readAll(ChunkBytes, 40ms) > Test.Handler.BodyBytes);
    Stop.get();
  }
  SUBCASE("not read") {
    Stop.get();
    CHECK(Test.readAll(ChunkBytes, 0ms) < Test.Handler.BodyBytes);
  }
  CHECK(std::chrono::steady_clock::now() - Begun < Limit + 2000ms);
}

TEST_CASE("a connection that sends only a part of a request delays no stop") {
  fixture Test(20000ms);
  asio::write(Test.Client, asio::buffer(std::string("GET /x HTTP/1.1\r\nHo")));
  std::this_thread::sleep_for(100ms);
  CHECK(Test.Server->inProgress() == 0);
  const auto Begun = std::chrono::steady_clock::now();
  Test.Server->stop();
  CHECK(std::chrono::steady_clock::now() - Begun < 5s);
}

TEST_CASE("a handler that throws costs one response, not the process") {
  fixture Test(1000ms);
  Test.Handler.Fails = true;
  Test.sendRequest();
  std::string Line(32, '\0');
  asio::read(Test.Client, asio::buffer(Line));
  CHECK(Line.starts_with("HTTP/1.1 500"));
  Test.Handler.Fails = false;
  tcp::socket Next(Test.Loop);
  Next.connect(
      {asio::ip::make_address("127.0.0.1"), Test.Settings.Listen.Port});
  asio::write(Next,
              asio::buffer(std::string("GET /x HTTP/1.1\r\nHost: h\r\n\r\n")));
  asio::read(Next, asio::buffer(Line));
  CHECK(Line.starts_with("HTTP/1.1 200"));
  Test.Server->stop();
}
