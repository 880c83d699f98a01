#ifndef CLEMENTINE_PROXY_HTTP_HTTP_SESSION_H
#define CLEMENTINE_PROXY_HTTP_HTTP_SESSION_H

#include "clementine_proxy/http/message_reader.h"
#include "clementine_proxy/http/write_progress.h"
#include "clementine_proxy/model/routing_config.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>

namespace clementine::proxy {

/// Handles the requests received by an http_listener.
class http_handler {
public:
  /// Sends the final response to a request; called at most once, on the event
  /// loop.
  using responder = std::function<void(response)>;
  /// Called when the client disconnects before its request is answered.
  using disconnect_callback = std::function<void()>;

  virtual ~http_handler() = default;

  /// Handles a complete request.
  /// @param OnDisconnect set by the handler to be notified when the client
  /// disconnects.
  virtual void handle(request Request, responder Respond,
                      disconnect_callback &OnDisconnect) = 0;
  /// @returns the limits for requests that begin now. They may change while
  /// connections are open.
  virtual caller_limits limits() const = 0;
};

/// One client connection. Pipelined requests are read while earlier ones are in
/// progress; responses are sent in the order of the requests. Pending reads,
/// writes and requests keep the object alive.
///
/// The connection ends behind a response that says "Connection: close"; no
/// request is accepted behind the one that it answers. See
/// docs/design/closing.md for what ends a connection in each state.
class http_session final : public std::enable_shared_from_this<http_session> {
public:
  /// Maximum size of a single read.
  static constexpr std::size_t ReadChunkBytes = 4096;
  /// Maximum number of requests in progress on one connection.
  static constexpr std::size_t MaxPipelined = 32;
  /// No further requests are parsed while at least this many response bytes
  /// wait for a slow client.
  static constexpr std::size_t MaxUnsentBytes = std::size_t{1} << 20U;
  /// A connection whose client takes no bytes of a write for longer than this
  /// is closed.
  static constexpr std::chrono::seconds WriteTimeout{10};
  /// How long the first request of a new connection is waited for when the
  /// connection is to be closed: the client may have sent it already.
  static constexpr std::chrono::milliseconds FirstRequestGrace{500};

  http_session(boost::asio::ip::tcp::socket Socket, http_handler &Handler);

  http_session(const http_session &) = delete;
  http_session &operator=(const http_session &) = delete;

  void start();
  /// Ends the connection behind the last request accepted so far. If there is
  /// none, ends it behind the request that is partly read, waiting to be read
  /// or expected as the first one of a new connection, or at once.
  void beginClosing();
  /// @returns whether a request is in progress or a response is being written.
  bool isBusy() const { return !Exchanges.empty() || IsWriting; }
  /// @returns whether ending the process now would cut off a client: the
  /// session is busy, may still accept a request, or its last response may not
  /// have reached the client yet.
  bool isInUse() const;

private:
  struct exchange {
    bool KeepsAlive = true;
    bool IsForHead = false;
    std::optional<response> Response;
    http_handler::disconnect_callback OnDisconnect;
  };

  void read();
  void readDone(const boost::system::error_code &Error, std::size_t Bytes);
  void parse();
  void updateLimits();
  duration idleTimeout() const;
  void accept(request Request);
  void reject(read_fault Fault);
  void complete(const std::shared_ptr<exchange> &Exchange, response Response);
  void flush();
  void write();
  void writeDone(const boost::system::error_code &Error);
  void closeIfIdle();
  bool isAwaitingFirstRequest() const;
  bool hasUnreadInput();
  void disconnect();
  void close();
  void closeGracefully();
  void startLingering();
  void scheduleTimeoutCheck();
  void checkTimeouts();

  boost::asio::ip::tcp::socket Socket;
  boost::asio::steady_timer Timer;
  http_handler &Handler;
  /// The limits of the request that was begun last.
  caller_limits Limits;
  request_reader Reader;
  std::array<char, ReadChunkBytes> ReadBuffer;
  std::string Input;
  std::string Unsent;
  std::string Sending;
  std::deque<std::shared_ptr<exchange>> Exchanges;
  instant IdleSince;
  instant HeaderSince;
  write_progress WriteProgress;
  bool IsReading = false;
  bool IsWriting = false;
  /// The connection is ended as soon as no request is in progress or expected.
  bool IsClosing = false;
  /// No further requests are parsed on this connection.
  bool IsEnding = false;
  bool IsClosed = false;
  /// The connection is closed for this session, but the client may still be
  /// reading its last response.
  bool IsLingering = false;
  /// The connection is closed once the pending read has ended, unless it
  /// brought a request.
  bool EndsAfterRead = false;
  duration LingerTimeout{0};
  bool HasSentContinue = false;
  bool HasAcceptedRequest = false;
};

} // namespace clementine::proxy

#endif
