#include "clementine_proxy/http/lingering_close.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

using namespace clementine;
using namespace clementine::proxy;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// A connection that is being closed, and the client at its other end.
struct fixture {
  explicit fixture(lingering_close_limits Limits) {
    tcp::acceptor Acceptor(Loop, {asio::ip::make_address("127.0.0.1"), 0});
    Client.connect(Acceptor.local_endpoint());
    lingering_close::start(Acceptor.accept(), Limits, [this] { ++Closed; });
  }

  void runFor(std::chrono::milliseconds Span) {
    Loop.restart();
    Loop.run_for(Span);
  }

  /// @returns the error of a read, which is eof behind an orderly end.
  boost::system::error_code readError() {
    char Byte = 0;
    boost::system::error_code Error;
    Client.read_some(asio::buffer(&Byte, 1), Error);
    return Error;
  }

  asio::io_context Loop;
  tcp::socket Client{Loop};
  int Closed = 0;
};

} // namespace

TEST_CASE(
    "a lingering connection ends its sending direction at once and closes "
    "when the client does") {
  fixture Test({.Timeout = 10s});
  CHECK(Test.readError() == asio::error::eof);
  asio::write(Test.Client, asio::buffer(std::string(1000, 'x')));
  Test.runFor(20ms);
  CHECK(Test.Closed == 0);
  Test.Client.close();
  Test.runFor(20ms);
  CHECK(Test.Closed == 1);
}

TEST_CASE(
    "a lingering connection whose client never closes is closed after its "
    "timeout") {
  fixture Test({.Timeout = 30ms});
  Test.runFor(15ms);
  CHECK(Test.Closed == 0);
  Test.runFor(100ms);
  CHECK(Test.Closed == 1);
}

TEST_CASE("a lingering connection whose client sends without end is closed") {
  fixture Test({.Timeout = 10s, .MaxDiscardedBytes = 8192});
  boost::system::error_code Ignored; // The connection may be closed meanwhile.
  for (int Chunk = 0; Chunk < 16 && Test.Closed == 0; ++Chunk) {
    asio::write(Test.Client, asio::buffer(std::string(1024, 'x')), Ignored);
    Test.runFor(5ms);
  }
  CHECK(Test.Closed == 1);
}
