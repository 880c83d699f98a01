#include "clementine_proxy/http/lingering_close.h"

#include <boost/asio/buffer.hpp>

#include <utility>

namespace clementine::proxy {

namespace asio = boost::asio;
using asio::ip::tcp;

lingering_close::lingering_close(tcp::socket Socket,
                                 lingering_close_limits Limits,
                                 std::function<void()> Closed)
    : Socket(std::move(Socket)), Timer(this->Socket.get_executor()),
      Limits(Limits), Closed(std::move(Closed)) {}

void lingering_close::start(tcp::socket Socket, lingering_close_limits Limits,
                            std::function<void()> Closed) {
  const std::shared_ptr<lingering_close> Closing(
      new lingering_close(std::move(Socket), Limits, std::move(Closed)));
  boost::system::error_code Ignored; // The read reports a broken connection.
  Closing->Socket.shutdown(tcp::socket::shutdown_send, Ignored);
  Closing->startTimer();
  Closing->read();
}

void lingering_close::startTimer() {
  Timer.expires_after(Limits.Timeout);
  Timer.async_wait([Weak = weak_from_this()](const auto &Error) {
    const auto Self = Weak.lock();
    if (!Error && Self)
      Self->close();
  });
}

void lingering_close::read() {
  Socket.async_read_some(
      asio::buffer(Buffer),
      [Self = shared_from_this()](const auto &Error, std::size_t Bytes) {
        Self->DiscardedBytes += Bytes;
        if (Error || Self->DiscardedBytes > Self->Limits.MaxDiscardedBytes)
          return Self->close();
        Self->read();
      });
}

void lingering_close::close() {
  if (!Socket.is_open())
    return;
  boost::system::error_code Ignored; // The socket is closed either way.
  Socket.close(Ignored);
  Timer.cancel();
  Closed();
}

} // namespace clementine::proxy
