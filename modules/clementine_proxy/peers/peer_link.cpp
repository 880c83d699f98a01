#include "clementine_proxy/peers/peer_link.h"

#include "clementine_proxy/model/abandon_on_fault.h"
#include "clementine_proxy/model/boot_clock.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <utility>

#include <netinet/tcp.h>

namespace clementine::proxy {

namespace asio = boost::asio;

namespace {

using std::chrono::microseconds;

constexpr std::size_t ReadChunkBytes = 16384;

} // namespace

void tunePeerSocket(asio::ip::tcp::socket &Socket,
                    unsigned UserTimeoutMilliseconds) {
  boost::system::error_code Ignored; // Neither option is essential.
  Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  using user_timeout =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  Socket.set_option(user_timeout(static_cast<int>(UserTimeoutMilliseconds)),
                    Ignored);
}

peer_link::peer_link(asio::ip::tcp::socket Socket, peer_link_listener &Listener,
                     std::uint64_t Number)
    : Socket(std::move(Socket)), Listener(Listener), Number(Number),
      OpenedAt(boot_clock().now()), LastReceivedAt(OpenedAt) {
  tunePeerSocket(this->Socket, TcpUserTimeoutMilliseconds);
}

void peer_link::start() { read(); }

void peer_link::send(const peer_message &Message) {
  if (!IsOpen || IsFinishing)
    return;
  const std::string Frame =
      encodeFrame(Message, std::chrono::duration_cast<microseconds>(
                               boot_clock().now().time_since_epoch()));
  if (!Unsent.empty() && Unsent.size() + Frame.size() > MaxUnsentBytes)
    return close();
  Unsent += Frame;
  if (Sending.empty())
    write();
}

void peer_link::close() {
  if (!IsOpen)
    return;
  IsOpen = false;
  setBufferedBytes(0);
  boost::system::error_code Ignored; // The socket is discarded either way.
  Socket.close(Ignored);
  asio::post(Socket.get_executor(),
             [Self = shared_from_this()] { Self->Listener.linkClosed(Self); });
}

void peer_link::setBufferedBytes(std::size_t Count) {
  const std::size_t Before = std::exchange(BufferedBytes, Count);
  if (Before != Count)
    Listener.linkBufferChanged(Before, Count);
}

void peer_link::finishSending() {
  IsFinishing = true;
  if (IsOpen && Sending.empty())
    shutDownSending();
}

void peer_link::shutDownSending() {
  boost::system::error_code Ignored; // The read reports a broken connection.
  Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
}

void peer_link::read() {
  const std::size_t BufferedBytes = Input.size();
  Input.resize(BufferedBytes + ReadChunkBytes);
  Socket.async_read_some(
      asio::buffer(Input.data() + BufferedBytes, ReadChunkBytes),
      [Self = shared_from_this(), BufferedBytes](const auto &Error,
                                                 std::size_t Bytes) {
        Self->Input.resize(BufferedBytes + Bytes);
        abandonOnFault([&] { Self->readDone(Error, Bytes); },
                       [&] { Self->close(); });
      });
}

void peer_link::readDone(const boost::system::error_code &Error,
                         std::size_t Bytes) {
  if (!IsOpen)
    return;
  if (Error || Bytes == 0)
    return close();
  LastReceivedAt = boot_clock().now();
  std::size_t Offset = 0;
  while (IsOpen) {
    peer_message Message;
    std::optional<microseconds> SentAt;
    const frame_progress Progress =
        decodeFrame(Input, Offset, Message, SentAt,
                    Peer ? MaxPeerMessageBytes : MaxFirstMessageBytes);
    if (Progress == frame_progress::Incomplete)
      break;
    if (Progress == frame_progress::Malformed)
      return close();
    HasStampedFrames = SentAt.has_value();
    if (SentAt)
      reduceTimeLeft(Message, TransitDelay.measure(*SentAt, LastReceivedAt));
    Listener.linkMessage(shared_from_this(), std::move(Message));
  }
  Input.erase(0, Offset);
  if (Input.empty())
    Input.shrink_to_fit();
  if (IsOpen)
    setBufferedBytes(Input.size());
  if (IsOpen)
    read();
}

void peer_link::write() {
  Sending.swap(Unsent);
  asio::async_write(
      Socket, asio::buffer(Sending),
      [Self = shared_from_this()](const auto &Error, std::size_t /*Bytes*/) {
        Self->Sending.clear();
        if (!Self->IsOpen)
          return;
        if (Error)
          return Self->close();
        if (!Self->Unsent.empty())
          Self->write();
        else if (Self->IsFinishing)
          Self->shutDownSending();
      });
}

} // namespace clementine::proxy
