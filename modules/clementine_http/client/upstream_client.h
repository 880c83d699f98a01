#ifndef CLEMENTINE_HTTP_CLIENT_UPSTREAM_CLIENT_H
#define CLEMENTINE_HTTP_CLIENT_UPSTREAM_CLIENT_H

#include "clementine_core/clementine_core.h"
#include "clementine_request/gate/upstream_port.h"

#include <memory>
#include <string>

namespace clementine {

/// Limits of an upstream_client.
struct upstream_client_settings {
  /// The most connections to the upstream at once.
  unsigned MostConnections = 100;
  std::chrono::milliseconds ConnectTimeout{500};
  /// An idle connection older than this is not used again.
  std::chrono::seconds LongestIdle{30};
  std::size_t CommandCapacity = 1U << 14U;
};

/// Hears how calls ended. Called on the client's thread; may block shortly.
class upstream_listener {
public:
  virtual ~upstream_listener() = default;

  virtual void upstreamCallEnded(upstream_result Result) = 0;
};

/// Calls the upstream over HTTP on a thread of its own, with libcurl.
///
/// The client of ulfius stands on libcurl and opens a connection for each
/// request, at a millisecond each, so libcurl is used directly. Left alone it
/// sends a request a second time when a kept connection turns out to be closed;
/// here each call is begun at most once. A call that libcurl never began is
/// NotSent, any other without a whole answer Broken. An answer that is framed
/// only by the end of its connection could be cut, so it counts as Broken.
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

  /// Says where the upstream is; calls before the first one are NotSent.
  void setUpstream(const endpoint &Address);

  void callUpstream(upstream_call Call) override;
  void cancelUpstream(const request_id &Token) override;

private:
  class implementation;
  std::unique_ptr<implementation> Implementation;
};

} // namespace clementine

#endif
