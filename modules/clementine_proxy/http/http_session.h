#ifndef CLEMENTINE_PROXY_HTTP_HTTP_SESSION_H
#define CLEMENTINE_PROXY_HTTP_HTTP_SESSION_H

#include "clementine_proxy/http/message_reader.h"
#include "clementine_proxy/model/routing_config.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>

namespace clementine::proxy {

/// Answers the requests of an http_listener.
class http_handler {
public:
  /// Gives the final answer to a request; called at most once, on the loop.
  using responder = std::function<void(response)>;
  /// Called when the sender has gone before its answer.
  using disconnect_callback = std::function<void()>;

  virtual ~http_handler() = default;

  /// Takes a whole request.
  /// @param OnDisconnect set it to hear of the sender's leaving.
  virtual void handle(request Request, responder Respond,
                      disconnect_callback &OnDisconnect) = 0;
  /// @returns the bounds for new connections.
  virtual caller_limits limits() const = 0;
  /// @returns whether answers end their connections.
  virtual bool isClosing() const = 0;
};

/// One connection of a client. Requests are read ahead while earlier ones are
/// at work; answers leave in the order of the requests. It lives while a read
/// or a write is under way.
class http_session final : public std::enable_shared_from_this<http_session> {
public:
  /// The most bytes that are read at once.
  static constexpr std::size_t ReadChunk = 4096;
  /// The most requests of one connection at work.
  static constexpr std::size_t MaxPipelined = 32;
  /// The most answer bytes that wait for a slow reader before further requests
  /// are left unread.
  static constexpr std::size_t MaxUnsent = std::size_t{1} << 20U;
  /// A client that reads nothing for so long is given up.
  static constexpr std::chrono::seconds WriteTimeout{10};

  http_session(boost::asio::ip::tcp::socket Socket, http_handler &Handler);

  http_session(const http_session &) = delete;
  http_session &operator=(const http_session &) = delete;

  void start();
  /// Closes the connection if no request is at work on it.
  void closeIfIdle();
  /// @returns whether a request is at work or an answer under way.
  bool isBusy() const { return !Exchanges.empty() || IsWriting; }

private:
  struct exchange {
    bool KeepsAlive = true;
    bool IsForHead = false;
    std::optional<response> Answer;
    http_handler::disconnect_callback OnDisconnect;
  };

  void read();
  void readDone(const boost::system::error_code &Error, std::size_t Bytes);
  void parse();
  void accept(request Request);
  void refuse(read_fault Fault);
  void answered(const std::shared_ptr<exchange> &Exchange, response Answer);
  void flush();
  void write();
  void leave();
  void close();
  void watchTime();
  void checkTime();

  boost::asio::ip::tcp::socket Socket;
  boost::asio::steady_timer Timer;
  http_handler &Handler;
  const caller_limits Limits;
  request_reader Reader;
  std::array<char, ReadChunk> Chunk;
  std::string Input;
  std::string Unsent;
  std::string Sending;
  std::deque<std::shared_ptr<exchange>> Exchanges;
  instant IdleSince;
  instant HeaderSince;
  instant WriteSince;
  bool IsReading = false;
  bool IsWriting = false;
  /// No further request is taken.
  bool IsEnding = false;
  bool IsClosed = false;
  bool HasContinued = false;
};

/// Accepts clients on one address.
class http_listener {
public:
  http_listener(boost::asio::io_context &Loop, endpoint Listen,
                http_handler &Handler, std::size_t MaxConnections);

  http_listener(const http_listener &) = delete;
  http_listener &operator=(const http_listener &) = delete;

  /// @throws boost::system::system_error when the address cannot be bound.
  void start();
  /// Accepts no more, and closes the connections without a request.
  void stop();
  /// @returns whether a request is at work or an answer under way.
  bool isBusy() const;

private:
  void accept();

  boost::asio::io_context &Loop;
  const endpoint Listen;
  http_handler &Handler;
  const std::size_t MaxConnections;
  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::steady_timer Pause;
  std::vector<std::weak_ptr<http_session>> Sessions;
};

} // namespace clementine::proxy

#endif
