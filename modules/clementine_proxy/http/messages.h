#ifndef CLEMENTINE_PROXY_HTTP_MESSAGES_H
#define CLEMENTINE_PROXY_HTTP_MESSAGES_H

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace clementine::proxy {

/// Header fields in the order in which they came.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// A whole request.
struct request {
  std::string Method;
  /// Path and query as they were sent.
  std::string Target;
  header_list Headers;
  std::string Body;
  /// Whether the sender keeps the connection after the answer.
  bool KeepsAlive = true;

  bool operator==(const request &) const = default;

  /// @returns the target without its query.
  std::string_view path() const {
    return std::string_view(Target).substr(0, Target.find('?'));
  }
};

/// A whole answer.
struct response {
  unsigned Status = 0;
  header_list Headers;
  std::string Body;
  /// Whether the sender keeps the connection.
  bool KeepsAlive = true;

  bool operator==(const response &) const = default;
};

/// @returns the value of the first field named @p Name, whatever its case.
std::optional<std::string_view> findHeader(const header_list &Headers,
                                           std::string_view Name);

/// Removes every field named @p Name, whatever its case.
void removeHeader(header_list &Headers, std::string_view Name);

/// Removes the fields that concern one connection only (RFC 9110, 7.6.1), those
/// that `Connection` names among them, and the framing of the body.
void removeConnectionHeaders(header_list &Headers);

/// @returns the bytes of @p Request, with the body's length.
std::string serialized(const request &Request);

/// @returns the bytes of @p Response.
/// @param Closes whether the connection ends after it.
/// @param IsForHead whether the body is left out, as for HEAD.
std::string serialized(const response &Response, bool Closes, bool IsForHead);

} // namespace clementine::proxy

#endif
