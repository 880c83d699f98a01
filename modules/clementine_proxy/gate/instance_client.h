#ifndef CLEMENTINE_PROXY_GATE_INSTANCE_CLIENT_H
#define CLEMENTINE_PROXY_GATE_INSTANCE_CLIENT_H

#include "clementine_proxy/gate/instance_gate.h"
#include "clementine_proxy/http/header_names.h"
#include "clementine_proxy/http/message_reader.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace clementine::proxy {

/// Times and limits of an instance_client.
struct instance_client_settings {
  endpoint Address;
  duration ConnectTimeout = std::chrono::milliseconds(1000);
  /// How long a kept connection is used if the instance does not say.
  duration KeepAlive = std::chrono::seconds(5);
  /// How much sooner than the instance a kept connection is given up.
  duration KeepAliveMargin = std::chrono::milliseconds(700);
  /// A kept connection that was idle for longer carries no request that may
  /// not be repeated, since its loss could not be mended.
  duration FreshEnough = std::chrono::milliseconds(1000);
  /// How long the answer is waited for after the run's deadline.
  duration AnswerGrace = std::chrono::milliseconds(60);
  /// The most bytes of an answer's body.
  std::uint64_t MaxBody = std::uint64_t{64} << 20U;
};

/// One connection to the instance and the call that it carries.
class instance_connection;

/// Carries runs to the instance beside this node, on connections that are kept
/// and serve one run at a time.
class instance_client {
public:
  /// Hears how each call ended; never called from within call().
  using listener =
      std::function<void(const attempt_id &Attempt, instance_result Result)>;

  instance_client(boost::asio::io_context &Loop,
                  instance_client_settings Settings, const header_names &Names,
                  listener Listener);
  ~instance_client();

  instance_client(const instance_client &) = delete;
  instance_client &operator=(const instance_client &) = delete;

  /// Sends a run; the listener hears its end unless it is aborted.
  void call(instance_call Call);
  /// Closes the connection that carries a run.
  void abort(const attempt_id &Attempt);
  /// Drops the kept connections: another instance has the address.
  void dropIdle();
  void stop();

private:
  friend class instance_connection;

  std::shared_ptr<instance_connection> takeIdle(bool MustBeFresh);
  void ended(const std::shared_ptr<instance_connection> &Connection,
             instance_result Result, bool KeepsConnection);

  boost::asio::io_context &Loop;
  const instance_client_settings Settings;
  const header_names &Names;
  const listener Listener;
  std::deque<std::shared_ptr<instance_connection>> Idle;
  std::map<attempt_id, std::shared_ptr<instance_connection>> Busy;
};

} // namespace clementine::proxy

#endif
