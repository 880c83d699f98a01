#ifndef CLEMENTINE_PROXY_PEERS_PEER_LINK_H
#define CLEMENTINE_PROXY_PEERS_PEER_LINK_H

#include "clementine_proxy/peers/peer_messages.h"
#include "clementine_proxy/peers/transit_delay.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace clementine::proxy {

class peer_link;

/// Receives the events of links.
class peer_link_listener {
public:
  virtual ~peer_link_listener() = default;

  virtual void linkMessage(const std::shared_ptr<peer_link> &Link,
                           peer_message Message) = 0;
  /// Called when the number of bytes that the link holds of an incomplete
  /// message has changed. The link may be closed from within the call.
  virtual void linkBufferChanged(std::size_t Before, std::size_t After) = 0;
  /// Called once when the link is closed; no further messages follow.
  virtual void linkClosed(const std::shared_ptr<peer_link> &Link) = 0;
};

/// A TCP connection between two nodes that carries framed messages in both
/// directions. Pending reads and writes keep the object alive.
///
/// The time left of a received attempt_request is reduced by its transit_delay:
/// what waited in buffers, or for a process that was paused, must not run for
/// longer than its caller waits.
class peer_link final : public std::enable_shared_from_this<peer_link> {
public:
  /// TCP_USER_TIMEOUT: the connection fails if sent bytes stay unacknowledged
  /// for longer.
  static constexpr unsigned TcpUserTimeoutMilliseconds = 3000;
  /// The link is closed when more unsent bytes than this wait for a slow peer,
  /// unless they belong to a single message.
  static constexpr std::size_t MaxUnsentBytes = std::size_t{64} << 20U;

  /// The largest message that is accepted before the peer's hello, in bytes.
  static constexpr std::size_t MaxFirstMessageBytes = std::size_t{64} << 10U;

  /// @param Socket must be connected.
  /// @param Listener must outlive all use of the link on its executor.
  /// @param Number unique among the links of this process.
  peer_link(boost::asio::ip::tcp::socket Socket, peer_link_listener &Listener,
            std::uint64_t Number);

  peer_link(const peer_link &) = delete;
  peer_link &operator=(const peer_link &) = delete;

  /// Starts reading.
  void start();

  /// Queues a message for sending; does nothing on a closed link.
  void send(const peer_message &Message);

  /// Closes the link; linkClosed() is then called once, asynchronously.
  void close();
  /// Ends the sending direction once all queued messages are written. The link
  /// closes when the peer has received them and closes its end.
  void finishSending();

  /// @returns the number of the link, unique within the process.
  std::uint64_t number() const { return Number; }
  /// @returns when bytes were last received.
  instant lastReceivedAt() const { return LastReceivedAt; }
  instant openedAt() const { return OpenedAt; }
  bool isOpen() const { return IsOpen; }
  /// @returns the bytes of an incomplete message that were received.
  std::size_t bufferedBytes() const { return BufferedBytes; }
  /// @returns whether the peer's frames say when they were sent, as they do
  /// since the version that knows record_update.
  bool hasStampedFrames() const { return HasStampedFrames; }

  /// The peer node; set when its hello arrives.
  std::optional<node_record> Peer;

private:
  void setBufferedBytes(std::size_t Count);
  void read();
  void readDone(const boost::system::error_code &Error, std::size_t Bytes);
  void write();
  void shutDownSending();

  boost::asio::ip::tcp::socket Socket;
  peer_link_listener &Listener;
  const std::uint64_t Number;
  std::string Input;
  std::size_t BufferedBytes = 0;
  std::string Unsent;
  std::string Sending;
  const instant OpenedAt;
  instant LastReceivedAt;
  transit_delay TransitDelay;
  bool HasStampedFrames = false;
  /// No further messages are queued.
  bool IsFinishing = false;
  bool IsOpen = true;
};

/// Disables Nagle's algorithm and sets TCP_USER_TIMEOUT, which limits how long
/// sent bytes may stay unacknowledged.
void tunePeerSocket(boost::asio::ip::tcp::socket &Socket,
                    unsigned UserTimeoutMilliseconds);

} // namespace clementine::proxy

#endif
