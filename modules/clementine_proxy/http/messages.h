#ifndef CLEMENTINE_PROXY_HTTP_MESSAGES_H
#define CLEMENTINE_PROXY_HTTP_MESSAGES_H

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace clementine::proxy {

/// Header fields in the order in which they were received.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// A complete request.
struct request {
  std::string Method;
  /// Path and query as sent by the client.
  std::string Target;
  header_list Headers;
  std::string Body;
  /// Whether the client keeps the connection open after the response.
  bool KeepsAlive = true;

  bool operator==(const request &) const = default;

  /// @returns the target without its query.
  std::string_view path() const {
    return std::string_view(Target).substr(0, Target.find('?'));
  }
};

/// A complete response.
struct response {
  unsigned Status = 0;
  header_list Headers;
  std::string Body;
  /// Whether the server keeps the connection open after the response.
  bool KeepsAlive = true;

  bool operator==(const response &) const = default;
};

/// @returns the value of the first field named @p Name, ignoring case.
std::optional<std::string_view> findHeader(const header_list &Headers,
                                           std::string_view Name);

/// Removes every field named @p Name, ignoring case.
void removeHeader(header_list &Headers, std::string_view Name);

/// Removes the hop-by-hop fields (RFC 9110, section 7.6.1), including those
/// listed in `Connection`, and the fields that frame the body.
void removeConnectionHeaders(header_list &Headers);

/// @returns @p Request in wire format, with a Content-Length if it has a body
/// or its method is not GET, HEAD or DELETE.
std::string serialized(const request &Request);

/// @returns @p Response in wire format.
/// @param Closes whether the connection is closed after the response.
/// @param IsForHead whether the body is omitted because the request was HEAD.
std::string serialized(const response &Response, bool Closes, bool IsForHead);

} // namespace clementine::proxy

#endif
