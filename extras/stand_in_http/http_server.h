#ifndef STAND_IN_HTTP_HTTP_SERVER_H
#define STAND_IN_HTTP_HTTP_SERVER_H

#include "clementine_core/identity/identity.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace clementine::stand_in {

/// A request as it is passed to a handler.
struct http_request {
  std::string Method;
  /// The path without the query string.
  std::string Path;
  std::map<std::string, std::string> Query;
  std::string Body;
  std::vector<std::pair<std::string, std::string>> Headers;

  /// @returns the value of the first header with this name, ignoring case, or
  /// an empty string.
  std::string header(const std::string &Name) const;
};

/// Returns the next chunk of a streamed body, blocking until there is one, or
/// nothing at the end of the body.
using body_source = std::function<std::optional<std::string>()>;

/// The answer of a handler.
struct http_answer {
  unsigned Status = 200;
  std::string Body;
  std::vector<std::pair<std::string, std::string>> Headers;
  /// If set, the body is streamed from this source and Body is unused.
  body_source Stream;
  /// Whether the connection is closed after half of Body has been sent.
  bool IsTruncated = false;
};

/// Thrown if the server could not be started.
class http_server_error final : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// An HTTP server for stand-ins and tests, based on ulfius. Each connection has
/// its own thread, so that a handler may block as a real service does.
class http_server {
public:
  struct limits {
    /// Connections above this are closed at once.
    unsigned MostConnections = 1000;
    /// The stack size of each thread, in bytes.
    std::size_t StackSize = std::size_t{256} << 10U;
    /// The memory of the library for each connection, in bytes; it limits the
    /// size of the headers.
    std::size_t ConnectionMemory = std::size_t{8} << 10U;
    /// The largest body of a request, in bytes.
    std::size_t LargestBody = std::size_t{8} << 20U;
  };

  /// Called on the thread of the connection.
  using handler = std::function<http_answer(const http_request &)>;

  /// Starts to listen.
  /// @throws http_server_error if the address can't be used.
  http_server(const endpoint &Listen, limits Limits, handler Handler);

  /// Stops the server and waits for running handlers, which have to return
  /// promptly.
  ~http_server();

  http_server(const http_server &) = delete;
  http_server &operator=(const http_server &) = delete;

private:
  struct state;
  std::unique_ptr<state> State;
};

/// Parses `host:port`.
/// @returns false for any other text, and leaves @p Endpoint unchanged.
bool parseEndpoint(const std::string &Text, endpoint &Endpoint);

} // namespace clementine::stand_in

#endif
