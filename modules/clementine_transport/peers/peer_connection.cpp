#include "clementine_transport/peers/peer_connection.h"

#include <boost/asio/buffer.hpp>

#include <utility>

namespace clementine {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

void peer_connection::dial(const tcp::endpoint &Remote) {
  Socket.async_connect(Remote, [Self = shared_from_this()](const auto &Error) {
    if (Error)
      Self->close();
    else
      Self->begin();
  });
}

void peer_connection::begin() {
  boost::system::error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  Connected = true;
  read();
  write();
}

void peer_connection::send(const peer_message &Message) {
  if (Closed)
    return;
  // A full send buffer is treated as a lost connection; so is a message that
  // cannot be encoded.
  if (!Session->send(Message))
    close();
  else
    write();
}

void peer_connection::tick() {
  if (Closed)
    return;
  if (Session->tick(Clock.now()).has_error())
    close();
  else
    write();
}

void peer_connection::resumeReading() {
  if (!Paused || Closed)
    return;
  Paused = false;
  read();
}

void peer_connection::close() {
  if (Closed)
    return;
  Closed = true;
  boost::system::error_code Ignored;
  Socket.close(Ignored);
  Owner.connectionDown(Link, AnnouncedUp);
}

void peer_connection::read() {
  if (Owner.isCongested()) {
    Paused = true;
    return;
  }
  Socket.async_read_some(
      asio::buffer(ReadBuffer),
      [Self = shared_from_this()](const auto &Error, std::size_t Count) {
        Self->finishRead(Error, Count);
      });
}

void peer_connection::finishRead(const boost::system::error_code &Error,
                                 std::size_t Count) {
  if (Closed)
    return;
  if (Error) {
    close();
    return;
  }
  auto Messages = Session->receive({ReadBuffer.data(), Count}, Clock.now());
  if (Messages.has_error()) {
    close();
    return;
  }
  announceUp();
  for (peer_message &Message : Messages.value())
    Owner.connectionMessage(Link, std::move(Message));
  write();
  read();
}

void peer_connection::announceUp() {
  if (AnnouncedUp || !Session->peer())
    return;
  AnnouncedUp = true;
  Owner.connectionUp(Link, *Session->peer());
}

void peer_connection::write() {
  if (Writing || !Connected || Closed || Session->output().empty())
    return;
  Writing = true;
  // The session's buffer may be reallocated while more output is added, so a
  // copy is sent.
  WriteBuffer.assign(Session->output());
  Session->consumeOutput(WriteBuffer.size());
  WriteBufferSent = 0;
  writeRemaining();
}

void peer_connection::writeRemaining() {
  Socket.async_write_some(
      asio::buffer(WriteBuffer.data() + WriteBufferSent,
                   WriteBuffer.size() - WriteBufferSent),
      [Self = shared_from_this()](const auto &Error, std::size_t Count) {
        Self->finishWrite(Error, Count);
      });
}

void peer_connection::finishWrite(const boost::system::error_code &Error,
                                  std::size_t Count) {
  if (Closed)
    return;
  if (Error) {
    close();
    return;
  }
  WriteBufferSent += Count;
  if (WriteBufferSent < WriteBuffer.size()) {
    writeRemaining();
    return;
  }
  Writing = false;
  write();
}

} // namespace clementine
