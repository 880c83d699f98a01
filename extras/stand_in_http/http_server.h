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

/// A request as a stand-in's handler sees it.
struct http_request {
  std::string Method;
  /// Without the query.
  std::string Path;
  std::map<std::string, std::string> Query;
  std::string Body;
  std::vector<std::pair<std::string, std::string>> Headers;

  /// @returns the value of a header, whatever the case of its name, or an
  /// empty text.
  std::string header(const std::string &Name) const;
};

/// Gives the next piece of a streamed body, waiting for it if need be; nothing
/// for the end.
using body_source = std::function<std::optional<std::string>()>;

/// What a handler answers.
struct http_answer {
  unsigned Status = 200;
  std::string Body;
  std::vector<std::pair<std::string, std::string>> Headers;
  /// If set, the body is streamed from here and Body is unused.
  body_source Stream;
  /// Whether the connection is closed when half of Body has been sent.
  bool IsTruncated = false;
};

/// The server could not be started.
class http_server_error final : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// An HTTP server over ulfius with a thread for each connection, so that a
/// handler may wait as a real service does. For stand-ins and tests.
class http_server {
public:
  struct limits {
    /// Connections above this are closed at once.
    unsigned MostConnections = 1000;
    /// A thread's stack, in bytes.
    std::size_t StackSize = std::size_t{256} << 10U;
    /// The library's memory for a connection, in bytes; it bounds the headers.
    std::size_t ConnectionMemory = std::size_t{8} << 10U;
    /// The largest body of a request, in bytes.
    std::size_t LargestBody = std::size_t{8} << 20U;
  };

  /// Called on the connection's thread.
  using handler = std::function<http_answer(const http_request &)>;

  /// Starts to listen.
  /// @throws http_server_error if the address can't be used.
  http_server(const endpoint &Listen, limits Limits, handler Handler);

  /// Stops; waits for handlers, which have to return soon by then.
  ~http_server();

  http_server(const http_server &) = delete;
  http_server &operator=(const http_server &) = delete;

private:
  struct state;
  std::unique_ptr<state> State;
};

/// Reads the form `host:port`.
/// @returns false, leaving @p Endpoint as it was, for any other text.
bool parseEndpoint(const std::string &Text, endpoint &Endpoint);

} // namespace clementine::stand_in

#endif
