#ifndef CLEMENTINE_PROXY_HTTP_HTTP_LISTENER_H
#define CLEMENTINE_PROXY_HTTP_HTTP_LISTENER_H

#include "clementine_proxy/http/http_session.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <vector>

namespace clementine::proxy {

/// Accepts client connections on one address.
class http_listener {
public:
  http_listener(boost::asio::io_context &Loop, endpoint Listen,
                http_handler &Handler, std::size_t MaxConnections);

  http_listener(const http_listener &) = delete;
  http_listener &operator=(const http_listener &) = delete;

  /// @throws boost::system::system_error when the address cannot be bound.
  void start();
  /// Accepts the connections that wait to be accepted, then no more, and begins
  /// to close each connection.
  void stop();
  /// @returns whether any session is busy.
  bool isBusy() const;
  /// @returns whether any session is in use.
  bool isInUse() const;

private:
  bool anySession(bool (http_session::*Predicate)() const) const;
  void addLateSession(boost::asio::ip::tcp::socket Socket);
  void eraseExpired();
  void accept();
  void acceptQueued();
  void addSession(boost::asio::ip::tcp::socket Socket);

  boost::asio::io_context &Loop;
  const endpoint Listen;
  http_handler &Handler;
  const std::size_t MaxConnections;
  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::steady_timer AcceptRetryTimer;
  std::vector<std::weak_ptr<http_session>> Sessions;
};

} // namespace clementine::proxy

#endif
