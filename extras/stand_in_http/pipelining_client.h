#ifndef STAND_IN_HTTP_PIPELINING_CLIENT_H
#define STAND_IN_HTTP_PIPELINING_CLIENT_H

#include "clementine_core/clementine_core.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <string>
#include <vector>

namespace clementine::stand_in {

/// An HTTP client that sends requests on one connection without waiting for the
/// answers, and reads only as much as it is told to.
class pipelining_client {
public:
  /// A complete answer.
  struct answer {
    long Status = 0;
    /// By name, in lower case.
    std::map<std::string, std::string> Headers;
    std::string Body;

    /// @returns the value of a header, empty if it is missing.
    std::string header(const std::string &Name) const;
  };

  /// @throws boost::system::system_error if no connection can be made.
  explicit pipelining_client(const endpoint &Server);

  pipelining_client(const pipelining_client &) = delete;
  pipelining_client &operator=(const pipelining_client &) = delete;

  /// Sends the bytes of a request; does nothing on a connection that has ended.
  void send(const std::string &Bytes);

  /// Reads at most @p MaxBytes without waiting.
  /// @returns the answers that are complete now, in their order.
  std::vector<answer> receive(std::size_t MaxBytes);

  /// @returns whether the server has ended the connection.
  bool hasEnded() const { return HasEnded; }
  /// @returns whether part of an answer was received.
  bool hasPartialAnswer() const { return !Input.empty(); }

private:
  bool takeAnswer(answer &Answer);

  boost::asio::io_context Loop;
  boost::asio::ip::tcp::socket Socket{Loop};
  std::string Input;
  bool HasEnded = false;
};

} // namespace clementine::stand_in

#endif
