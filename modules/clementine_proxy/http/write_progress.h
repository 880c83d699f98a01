#ifndef CLEMENTINE_PROXY_HTTP_WRITE_PROGRESS_H
#define CLEMENTINE_PROXY_HTTP_WRITE_PROGRESS_H

#include "clementine_core/clementine_core.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>

namespace clementine::proxy {

/// Measures for how long the peer of a connection has taken none of the bytes
/// that are being written to it. A peer that reads slowly makes progress even
/// while the socket accepts no further bytes.
class write_progress {
public:
  /// @param Socket has to outlive the object.
  explicit write_progress(boost::asio::ip::tcp::socket &Socket)
      : Socket(Socket) {}

  write_progress(const write_progress &) = delete;
  write_progress &operator=(const write_progress &) = delete;

  /// Begins to measure a write.
  void begin(instant Now);

  /// @param Bytes how many bytes of the write the socket has accepted so far.
  void accepted(std::size_t Bytes) {
    AcceptedBytes = static_cast<std::int64_t>(Bytes);
  }

  /// Called regularly during the write.
  /// @returns for how long the peer has taken no bytes.
  duration stalledFor(instant Now);

private:
  std::int64_t takenBytes();

  boost::asio::ip::tcp::socket &Socket;
  std::int64_t AcceptedBytes = 0;
  /// What the peer had taken of the write when this last changed; negative
  /// while bytes of earlier writes are on their way.
  std::int64_t TakenBytes = 0;
  instant ChangedAt;
};

} // namespace clementine::proxy

#endif
