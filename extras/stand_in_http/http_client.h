#ifndef STAND_IN_HTTP_HTTP_CLIENT_H
#define STAND_IN_HTTP_HTTP_CLIENT_H

#include "clementine_core/time/clock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace clementine::stand_in {

/// A blocking HTTP client with persistent connections, safe to use from any
/// thread.
///
/// libcurl never sends a request body a second time: a body that was partly
/// read can't be rewound.
class http_client {
public:
  struct answer {
    long Status = 0;
    std::string Body;
    /// By name, spelled as received.
    std::map<std::string, std::string> Headers;
    /// The value of the header Clementine-Outcome, if any.
    std::string Outcome;
  };

  /// Whether a call may reuse the connection of an earlier one.
  enum class connection : std::uint8_t { Persistent, SingleUse };

  http_client();
  ~http_client();

  http_client(const http_client &) = delete;
  http_client &operator=(const http_client &) = delete;

  /// Sends a POST request with @p Body to @p Url.
  /// @param Headers lines of the form `Name: value`.
  /// @returns the complete answer, or nothing if none arrived within
  /// @p Timeout.
  std::optional<answer> post(const std::string &Url,
                             const std::vector<std::string> &Headers,
                             const std::string &Body, duration Timeout);

  /// @returns the complete answer, or nothing if none arrived within
  /// @p Timeout.
  std::optional<answer> send(const std::string &Method, const std::string &Url,
                             const std::vector<std::string> &Headers,
                             const std::string &Body, duration Timeout,
                             connection Connection);

  /// Sends a GET request to @p Url.
  /// @returns the complete answer, or nothing if none arrived within
  /// @p Timeout.
  std::optional<answer> get(const std::string &Url, duration Timeout);

private:
  class handle;

  std::unique_ptr<handle> acquireHandle();
  void releaseHandle(std::unique_ptr<handle> Handle);

  std::mutex Mutex;
  std::vector<std::unique_ptr<handle>> Idle;
};

} // namespace clementine::stand_in

#endif
