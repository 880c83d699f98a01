#ifndef CLEMENTINE_PROXY_HTTP_LINGERING_CLOSE_H
#define CLEMENTINE_PROXY_HTTP_LINGERING_CLOSE_H

#include "clementine_core/clementine_core.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>

namespace clementine::proxy {

/// Limits of a lingering_close.
struct lingering_close_limits {
  /// How long the peer may take to close its end.
  duration Timeout = std::chrono::seconds(2);
  /// How many bytes of the peer are discarded.
  std::size_t MaxDiscardedBytes = std::size_t{4} << 20U;

  bool operator==(const lingering_close_limits &) const = default;
};

/// Closes a connection without destroying what was sent on it.
///
/// Closing a socket that has unread input, or that receives more, resets the
/// connection, and the reset discards the bytes that the peer has not read yet.
/// This ends the sending direction only, then reads and discards until the peer
/// closes its end or a limit is reached. The pending read keeps the object
/// alive.
class lingering_close final
    : public std::enable_shared_from_this<lingering_close> {
public:
  /// Starts to close @p Socket, on which no operation may be pending.
  /// @param Closed called once on the event loop when the socket is closed.
  static void start(boost::asio::ip::tcp::socket Socket,
                    lingering_close_limits Limits,
                    std::function<void()> Closed);

  lingering_close(const lingering_close &) = delete;
  lingering_close &operator=(const lingering_close &) = delete;

private:
  static constexpr std::size_t ReadChunkBytes = 4096;

  lingering_close(boost::asio::ip::tcp::socket Socket,
                  lingering_close_limits Limits, std::function<void()> Closed);

  void startTimer();
  void read();
  void close();

  boost::asio::ip::tcp::socket Socket;
  boost::asio::steady_timer Timer;
  const lingering_close_limits Limits;
  const std::function<void()> Closed;
  std::array<char, ReadChunkBytes> Buffer;
  std::size_t DiscardedBytes = 0;
};

} // namespace clementine::proxy

#endif
