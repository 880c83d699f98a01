#ifndef CLEMENTINE_NODE_CALLERS_CALLER_FRONTEND_H
#define CLEMENTINE_NODE_CALLERS_CALLER_FRONTEND_H

#include "clementine_http/server/http_server.h"
#include "clementine_request/entry/entry_ports.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace clementine {

/// What the upstream announces to the node on its VM.
struct upstream_announcement {
  std::string Service;
  endpoint Address;
  /// Whether it has just started and should receive reduced load at first.
  bool IsCold = false;

  bool operator==(const upstream_announcement &) const = default;
};

/// Receives the events of a caller_frontend. Called on many threads.
class frontend_listener {
public:
  virtual ~frontend_listener() = default;

  /// Accepts a request. @returns false when the node is too busy to accept it.
  virtual bool callerRequested(caller_request Request) = 0;
  virtual void upstreamAnnounced(const upstream_announcement &Upstream) = 0;
  virtual void upstreamDrains() = 0;
};

/// Converts HTTP requests from callers and from the upstream to events, and
/// the answers to HTTP responses.
///
/// Each waiting caller has a session that is shared by the thread of its
/// connection and the table of open calls, so that a late answer reaches its
/// own session or none.
class caller_frontend final : public http_handler, public caller_port {
public:
  /// @param Listener has to outlive the frontend.
  explicit caller_frontend(frontend_listener &Listener);

  caller_frontend(const caller_frontend &) = delete;
  caller_frontend &operator=(const caller_frontend &) = delete;

  http_response handle(const http_request &Request) override;
  void answerCaller(caller_answer Answer) override;

  /// Refuses new requests from callers; sub-calls of runs in flight are still
  /// accepted.
  void refuseNewCalls() { IsRefusing = true; }

  /// @returns the number of callers that wait for an answer.
  std::size_t waiting() const;

private:
  /// One caller that is waiting for its answer.
  struct caller_session {
    std::mutex Mutex;
    std::condition_variable AnswerReady;
    std::optional<caller_answer> Answer;
  };

  /// As call(); an exception ends the call as one that may have run.
  http_response callOrUnknown(const http_request &Request);
  http_response call(const http_request &Request);
  http_response announce(const http_request &Request);
  http_response drain(const http_request &Request);
  caller_answer submitAndWait(caller_request Request);
  bool passOn(caller_request Request);

  frontend_listener &Listener;
  std::atomic<bool> IsRefusing{false};
  mutable std::mutex Mutex;
  std::unordered_map<call_id, std::shared_ptr<caller_session>> Sessions;
  call_id NextCall = 1;
};

} // namespace clementine

#endif
