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

/// Sends JSON over HTTP to one server on connections that are kept open.
///
/// It uses libcurl itself: the client of ulfius, which stands on libcurl, makes
/// a handle for each request and with it a new connection, which costs a
/// millisecond and counts against the server's connections.
///
/// Calls may be made from several threads; each uses a connection of its own.
class http_channel {
public:
  /// What a call may cost.
  struct limits {
    /// The time allowed for a connection attempt.
    duration ConnectTimeout = std::chrono::milliseconds(500);
    /// The time allowed for a whole call.
    duration CallTimeout = std::chrono::seconds(2);
    /// The longest time without a byte on a stream.
    duration StreamIdleTimeout = std::chrono::seconds(15);
    /// The largest body sent, in bytes.
    std::size_t LargestRequest = std::size_t{4} << 20U;
    /// The largest body accepted, in bytes; on a stream, the longest line.
    std::size_t LargestAnswer = std::size_t{8} << 20U;
  };

  /// A whole answer.
  struct answer {
    long Status = 0;
    std::string Body;
  };

  /// Takes a line of a stream; false ends the stream.
  using line_listener = std::function<bool(std::string_view Line)>;

  /// @param BaseUrl such as `http://127.0.0.1:2379`.
  http_channel(std::string BaseUrl, limits Limits);
  ~http_channel();

  http_channel(const http_channel &) = delete;
  http_channel &operator=(const http_channel &) = delete;

  /// Posts @p Body and waits for the whole answer, whatever its status.
  result<answer, platform_error> post(const std::string &Path,
                                      const std::string &Body);

  /// Asks for @p Path and waits for the whole answer, whatever its status.
  /// @param CallTimeout the time allowed; 0 for that of the limits.
  /// @param Stopping null but for a long poll: once true, the call ends within
  /// a second, and a broken connection always shows as a failure.
  result<answer, platform_error>
  get(const std::string &Path, duration CallTimeout = duration(0),
      const std::atomic<bool> *Stopping = nullptr);

  /// Sends DELETE for @p Path and waits for the whole answer.
  result<answer, platform_error> remove(const std::string &Path);

  /// Posts @p Body and hands each line of the answer to @p Listener until it
  /// declines, @p Stopping turns true or the stream breaks.
  /// @returns success if it was ended from this side.
  result<void, platform_error> stream(const std::string &Path,
                                      const std::string &Body,
                                      const line_listener &Listener,
                                      const std::atomic<bool> &Stopping);

  /// Makes calls under way, and later ones, fail within a second.
  void interrupt() { Interrupted = true; }

private:
  class handle;

  std::unique_ptr<handle> acquireHandle();
  void releaseHandle(std::unique_ptr<handle> Handle);

  const std::string BaseUrl;
  const limits Limits;
  std::atomic<bool> Interrupted{false};
  std::mutex Mutex;
  std::vector<std::unique_ptr<handle>> Idle;
};

} // namespace clementine

#endif
