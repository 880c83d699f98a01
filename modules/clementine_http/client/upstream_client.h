#ifndef CLEMENTINE_HTTP_CLIENT_UPSTREAM_CLIENT_H
#define CLEMENTINE_HTTP_CLIENT_UPSTREAM_CLIENT_H

#include "clementine_core/clementine_core.h"
#include "clementine_request/gate/upstream_port.h"

#include <memory>
#include <string>

namespace clementine {

/// Limits of an upstream_client.
struct upstream_client_settings {
  /// The maximum number of concurrent connections to the upstream.
  unsigned MostConnections = 100;
  std::chrono::milliseconds ConnectTimeout{500};
  /// An idle connection older than this is not reused.
  std::chrono::seconds LongestIdle{30};
  std::size_t CommandCapacity = 1U << 14U;
};

/// Receives the results of calls. Called on the client's thread; may block
/// briefly.
class upstream_listener {
public:
  virtual ~upstream_listener() = default;

  virtual void upstreamCallEnded(upstream_result Result) = 0;
};

/// Calls the upstream over HTTP with libcurl on a dedicated thread.
///
/// The client of ulfius is based on libcurl and opens a connection for each
/// request, which takes a millisecond, so libcurl is used directly. By default
/// libcurl resends a request when a reused connection turns out to be closed;
/// here each call is sent at most once. A call that libcurl never started to
/// send ends as NotSent, any other call without a complete response as Broken.
/// A response that is delimited only by the end of its connection may be
/// truncated, so it counts as Broken.
class upstream_client final : public supervised, public upstream_port {
public:
  /// @param Listener has to outlive the client.
  upstream_client(upstream_client_settings Settings,
                  upstream_listener &Listener);
  ~upstream_client() override;

  upstream_client(const upstream_client &) = delete;
  upstream_client &operator=(const upstream_client &) = delete;

  const std::string &name() const override;
  void start() override;
  void stop() override;

  /// Sets the upstream's address; calls before the first one are NotSent.
  void setUpstream(const endpoint &Address);

  void callUpstream(upstream_call Call) override;
  void cancelUpstream(const request_id &Token) override;

private:
  class implementation;
  std::unique_ptr<implementation> Implementation;
};

} // namespace clementine

#endif
