#include "stand_in_process/child_process.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <fcntl.h>

namespace asio = boost::asio;
using asio::ip::tcp;
using clementine::stand_in::child_process;

TEST_CASE("an address can be listened on again at once, although a child was "
          "started while it was in use") {
  asio::io_context Loop;
  tcp::endpoint Address(asio::ip::make_address("127.0.0.1"), 0);
  for (int Round = 0; Round < 200; ++Round) {
    CAPTURE(Round);
    tcp::acceptor Former(Loop, Address);
    Address = Former.local_endpoint();
    REQUIRE(fcntl(Former.native_handle(), F_SETFD, FD_CLOEXEC) == 0);
    const child_process Child("/bin/sleep", {"5"}, "/dev/null");
    Former.close();
    boost::system::error_code Error;
    tcp::acceptor Next(Loop);
    Next.open(Address.protocol());
    Next.set_option(tcp::acceptor::reuse_address(true));
    Next.bind(Address, Error);
    if (!Error)
      Next.listen(tcp::acceptor::max_listen_connections, Error);
    REQUIRE_FALSE(Error);
  }
}
