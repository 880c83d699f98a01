#ifndef CLEMENTINE_PROXY_PEERS_PEER_LINK_H
#define CLEMENTINE_PROXY_PEERS_PEER_LINK_H

#include "clementine_proxy/peers/peer_messages.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace clementine::proxy {

class peer_link;

/// Hears what happens on links.
class peer_link_listener {
public:
  virtual ~peer_link_listener() = default;

  virtual void linkMessage(const std::shared_ptr<peer_link> &Link,
                           peer_message Message) = 0;
  /// The link is closed; nothing more comes from it.
  virtual void linkClosed(const std::shared_ptr<peer_link> &Link) = 0;
};

/// One TCP connection between two nodes, which carries framed messages both
/// ways. It lives while a read or a write is under way.
class peer_link final : public std::enable_shared_from_this<peer_link> {
public:
  /// A peer that takes no bytes for so long, in milliseconds, is given up.
  static constexpr unsigned UserTimeout = 3000;
  /// The most bytes that wait for a slow peer.
  static constexpr std::size_t MaxUnsent = std::size_t{64} << 20U;

  /// @param Socket connected.
  /// @param Listener outlives every use of the link on its executor.
  peer_link(boost::asio::ip::tcp::socket Socket, peer_link_listener &Listener,
            std::uint64_t Number);

  peer_link(const peer_link &) = delete;
  peer_link &operator=(const peer_link &) = delete;

  /// Begins to read.
  void start();

  /// Sends a message. On a closed link it does nothing.
  void send(const peer_message &Message);

  /// Closes the link; linkClosed() follows once.
  void close();

  /// @returns a number that no other link of the process has.
  std::uint64_t number() const { return Number; }
  /// @returns when bytes last came.
  instant lastHeard() const { return LastHeard; }
  bool isOpen() const { return IsOpen; }

  /// Who is at the other end, once its hello has come.
  std::optional<node_record> Peer;

private:
  void read();
  void readDone(const boost::system::error_code &Error, std::size_t Bytes);
  void write();

  boost::asio::ip::tcp::socket Socket;
  peer_link_listener &Listener;
  const std::uint64_t Number;
  std::string Input;
  std::string Unsent;
  std::string Sending;
  instant LastHeard;
  bool IsOpen = true;
};

/// Turns off Nagle's delay and bounds how long unacknowledged bytes wait.
void tunePeerSocket(boost::asio::ip::tcp::socket &Socket,
                    unsigned UserTimeoutMilliseconds);

} // namespace clementine::proxy

#endif
