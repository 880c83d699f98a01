#ifndef CLEMENTINE_HTTP_SERVER_HTTP_SERVER_H
#define CLEMENTINE_HTTP_SERVER_HTTP_SERVER_H

#include "clementine_core/clementine_core.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace clementine {

/// Orders header names without regard to case (RFC 9110, section 5.1).
struct header_name_less {
  bool operator()(std::string_view Left, std::string_view Right) const;
};

/// Header fields by name.
using header_map = std::map<std::string, std::string, header_name_less>;

/// A whole HTTP request as the server took it in.
struct http_request {
  std::string Method;
  /// The path without the query, beginning with a slash.
  std::string Path;
  header_map Headers;
  std::string Body;

  /// @returns the value of a header field; empty when there is none.
  std::string header(std::string_view Name) const;
};

/// What the server answers.
struct http_response {
  unsigned Status = 200;
  header_map Headers;
  std::string Body;
};

/// Answers requests. Called on many threads at once; may block.
class http_handler {
public:
  virtual ~http_handler() = default;

  virtual http_response handle(const http_request &Request) = 0;
};

/// Limits of an http_server.
struct http_server_settings {
  endpoint Listen;
  /// The largest body that is accepted, in bytes; larger ones get status 413.
  std::size_t LargestBody = std::size_t{1} << 20U;
  /// The most connections at once.
  unsigned MostConnections = 1000;
  /// The memory pool of each connection, in bytes; it bounds the header.
  std::size_t ConnectionMemory = std::size_t{8} << 10U;
  /// A connection that is silent for this long is closed.
  std::chrono::seconds IdleLimit{120};
};

/// An HTTP server on ulfius with a thread for each connection.
///
/// A body that is cut by the limit never reaches the handler.
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

  /// Binds the socket and begins to serve.
  /// @throws std::system_error when the address cannot be bound.
  void start() override;

  /// Ends all connections; requests in a handler are waited for.
  void stop() override;

private:
  class implementation;

  const std::string Name;
  const http_server_settings Settings;
  http_handler &Handler;
  std::unique_ptr<implementation> Implementation;
};

} // namespace clementine

#endif
