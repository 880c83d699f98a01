#ifndef CLEMENTINE_TRANSPORT_PEERS_PEER_CONNECTION_H
#define CLEMENTINE_TRANSPORT_PEERS_PEER_CONNECTION_H

#include "clementine_transport/peers/peer_transport.h"
#include "clementine_transport/session/peer_session.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <memory>
#include <string>

namespace clementine {

/// Receives the events of a connection.
class connection_owner {
public:
  virtual ~connection_owner() = default;
  virtual void connectionUp(link_id Link, const node_identity &Peer) = 0;
  virtual void connectionDown(link_id Link, bool WasUp) = 0;
  virtual void connectionMessage(link_id Link, peer_message Message) = 0;
  /// @returns whether reading should pause.
  virtual bool isCongested() const = 0;
};

/// One socket and its session. Pending asynchronous operations share ownership
/// of the connection.
class peer_connection final
    : public std::enable_shared_from_this<peer_connection> {
public:
  /// @p Clock and @p Owner have to outlive the connection.
  peer_connection(link_id Link, boost::asio::ip::tcp::socket Socket,
                  std::unique_ptr<peer_session> Session, const clock &Clock,
                  connection_owner &Owner)
      : Link(Link), Socket(std::move(Socket)), Session(std::move(Session)),
        Clock(Clock), Owner(Owner) {}

  peer_connection(const peer_connection &) = delete;
  peer_connection &operator=(const peer_connection &) = delete;

  /// Connects the socket, then begins.
  void dial(const boost::asio::ip::tcp::endpoint &Remote);
  /// Starts the session on a socket that is connected.
  void begin();
  /// A message that cannot be encoded, or finds the send buffer full, closes
  /// the connection.
  void send(const peer_message &Message);
  /// Sends a heartbeat if one is due; closes a connection that has timed out.
  void tick();
  /// Reads on if reading has paused because the owner was congested.
  void resumeReading();
  void close();

private:
  static constexpr std::size_t ReadBytes = 64U << 10U;

  void read();
  void finishRead(const boost::system::error_code &Error, std::size_t Count);
  void announceUp();
  void write();
  void writeRemaining();
  void finishWrite(const boost::system::error_code &Error, std::size_t Count);

  const link_id Link;
  boost::asio::ip::tcp::socket Socket;
  std::unique_ptr<peer_session> Session;
  const clock &Clock;
  connection_owner &Owner;
  std::array<char, ReadBytes> ReadBuffer{};
  std::string WriteBuffer;
  std::size_t WriteBufferSent = 0;
  bool Connected = false;
  bool Writing = false;
  bool Paused = false;
  bool AnnouncedUp = false;
  bool Closed = false;
};

} // namespace clementine

#endif
