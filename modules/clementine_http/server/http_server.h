#ifndef CLEMENTINE_HTTP_SERVER_HTTP_SERVER_H
#define CLEMENTINE_HTTP_SERVER_HTTP_SERVER_H

#include "clementine_core/clementine_core.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace clementine {

/// Orders header names case-insensitively (RFC 9110, section 5.1).
struct header_name_less {
  bool operator()(std::string_view Left, std::string_view Right) const;
};

/// Header fields by name.
using header_map = std::map<std::string, std::string, header_name_less>;

/// A complete HTTP request received by the server.
struct http_request {
  std::string Method;
  /// The path without the query, beginning with a slash.
  std::string Path;
  header_map Headers;
  std::string Body;

  /// @returns the value of a header field; empty if there is none.
  std::string header(std::string_view Name) const;
};

/// The response to an http_request.
struct http_response {
  unsigned Status = 200;
  header_map Headers;
  std::string Body;
};

/// Handles requests. Called concurrently on many threads; may block. If it
/// throws, the server responds with status 500.
class http_handler {
public:
  virtual ~http_handler() = default;

  virtual http_response handle(const http_request &Request) = 0;
};

/// Limits of an http_server.
struct http_server_settings {
  endpoint Listen;
  /// The maximum accepted body size, in bytes; larger ones get status 413.
  std::size_t LargestBody = std::size_t{1} << 20U;
  /// The maximum number of concurrent connections.
  unsigned MostConnections = 1000;
  /// The memory pool of each connection, in bytes; it limits the header size.
  std::size_t ConnectionMemory = std::size_t{8} << 10U;
  /// A connection that is idle for this long is closed.
  std::chrono::seconds IdleLimit{120};
  /// How long a stop lets responses in progress be written.
  std::chrono::milliseconds StopLimit{1000};
};

/// An HTTP server based on ulfius with one thread per connection.
///
/// A request whose body exceeds the limit is never passed to the handler.
class http_server final : public supervised {
public:
  /// @param Name for logs.
  /// @param Handler has to outlive the server.
  http_server(std::string Name, http_server_settings Settings,
              http_handler &Handler);
  ~http_server() override;

  http_server(const http_server &) = delete;
  http_server &operator=(const http_server &) = delete;

  const std::string &name() const override { return Name; }

  /// Binds the socket and starts to serve requests.
  /// @throws std::system_error when the address cannot be bound.
  void start() override;

  /// Accepts no more connections, waits for the requests in a handler and, at
  /// most http_server_settings::StopLimit, until their responses are written,
  /// then closes all connections.
  void stop() override;

  /// @returns the number of requests that are in a handler or whose response is
  /// not written yet. Called while the server runs.
  std::size_t inProgress() const;

private:
  class implementation;

  const std::string Name;
  const http_server_settings Settings;
  http_handler &Handler;
  std::unique_ptr<implementation> Implementation;
};

} // namespace clementine

#endif
