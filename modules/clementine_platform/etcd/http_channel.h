#ifndef CLEMENTINE_PLATFORM_ETCD_HTTP_CHANNEL_H
#define CLEMENTINE_PLATFORM_ETCD_HTTP_CHANNEL_H

#include "clementine_core/errors/result.h"
#include "clementine_core/time/clock.h"
#include "clementine_platform/store/platform_error.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace clementine {

/// Sends JSON over HTTP to one server on persistent connections.
///
/// It uses libcurl directly: the client of ulfius, which is based on libcurl,
/// creates a handle and thereby a connection for each request, which costs a
/// millisecond and counts against the server's connection limit.
///
/// Calls may be made from several threads; each uses its own connection.
class http_channel {
public:
  /// The timeouts and size limits of a call.
  struct limits {
    /// The timeout of a connection attempt.
    duration ConnectTimeout = std::chrono::milliseconds(500);
    /// The timeout of a complete call.
    duration CallTimeout = std::chrono::seconds(2);
    /// The maximum time without received data on a stream.
    duration StreamIdleTimeout = std::chrono::seconds(15);
    /// The maximum size of a request body, in bytes.
    std::size_t LargestRequest = std::size_t{4} << 20U;
    /// The maximum size of a response body or, on a stream, of a line, in
    /// bytes.
    std::size_t LargestAnswer = std::size_t{8} << 20U;
  };

  /// A complete response.
  struct answer {
    long Status = 0;
    std::string Body;
    /// The value of the wanted header, empty if the response has none.
    std::string Header;
  };

  /// Receives a line of a stream; returning false ends the stream.
  using line_listener = std::function<bool(std::string_view Line)>;

  /// @param BaseUrl such as `http://127.0.0.1:2379`.
  /// @param WantedHeader the header to be read from responses; may be empty.
  http_channel(std::string BaseUrl, limits Limits,
               std::string WantedHeader = {});
  ~http_channel();

  http_channel(const http_channel &) = delete;
  http_channel &operator=(const http_channel &) = delete;

  /// Posts @p Body and waits for the complete response, whatever its status.
  result<answer, platform_error> post(const std::string &Path,
                                      const std::string &Body);

  /// Gets @p Path and waits for the complete response, whatever its status.
  /// @param CallTimeout the timeout; 0 for that of the limits.
  /// @param Stopping null except for a long poll: once true, the call ends
  /// within a second, and a lost connection is always reported as a failure.
  result<answer, platform_error>
  get(const std::string &Path, duration CallTimeout = duration(0),
      const std::atomic<bool> *Stopping = nullptr);

  /// Sends DELETE for @p Path and waits for the complete response.
  result<answer, platform_error> remove(const std::string &Path);

  /// Posts @p Body and passes each line of the response to @p Listener until it
  /// returns false, @p Stopping becomes true or the stream fails.
  /// @returns success if the stream was ended by the listener or the flag.
  result<void, platform_error> stream(const std::string &Path,
                                      const std::string &Body,
                                      const line_listener &Listener,
                                      const std::atomic<bool> &Stopping);

  /// Makes calls in progress, and later ones, fail within a second.
  void interrupt() { Interrupted = true; }

private:
  class handle;

  std::unique_ptr<handle> acquireHandle();
  /// @param IsAnswered whether its last call was answered. If not, it and all
  /// idle handles are discarded: their connections may be dead as well.
  void releaseHandle(std::unique_ptr<handle> Handle, bool IsAnswered);

  const std::string BaseUrl;
  const limits Limits;
  const std::string WantedHeader;
  std::atomic<bool> Interrupted{false};
  std::mutex Mutex;
  std::vector<std::unique_ptr<handle>> Idle;
};

} // namespace clementine

#endif
