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
  /// How long an idle connection may be reused if the instance sends no
  /// `Keep-Alive` header.
  duration KeepAlive = std::chrono::seconds(5);
  /// How long before the instance's keep-alive timeout a connection is no
  /// longer reused.
  duration KeepAliveMargin = std::chrono::milliseconds(700);
  /// A connection that was idle for longer is not used for requests that are
  /// not idempotent, since these could not be retried if it turned out broken.
  duration MaxIdleIfNotIdempotent = std::chrono::milliseconds(1000);
  /// How long after the run's deadline to wait for the response.
  duration AnswerGrace = std::chrono::milliseconds(60);
  /// The maximum size of a response body in bytes.
  std::uint64_t MaxBody = std::uint64_t{16} << 20U;
  /// The maximum number of bytes that the unfinished responses of all runs hold
  /// together. Above it the largest one is aborted.
  std::uint64_t MaxBufferedBytes = std::uint64_t{32} << 20U;
  /// The maximum number of responses to other requests that may precede the
  /// expected one on its connection.
  std::size_t MaxForeignResponses = 16;
};

/// A connection to the instance, which carries one call at a time.
class instance_connection;

/// Sends runs to this node's instance over a pool of persistent connections,
/// each of which serves one run at a time.
class instance_client {
public:
  /// Receives the result of each call; never called from within call().
  using listener =
      std::function<void(const attempt_id &Attempt, instance_result Result)>;

  instance_client(boost::asio::io_context &Loop,
                  instance_client_settings Settings, const header_names &Names,
                  listener Listener);
  ~instance_client();

  instance_client(const instance_client &) = delete;
  instance_client &operator=(const instance_client &) = delete;

  /// Sends a run; the listener receives its result unless it is aborted.
  void call(instance_call Call);
  /// Aborts a run by closing its connection.
  void abort(const attempt_id &Attempt);
  /// Closes the idle connections, as another instance now has the address.
  void dropIdle();
  void stop();

  /// @returns the bytes that unfinished responses hold together, and the most
  /// that they have held.
  std::uint64_t bufferedBytes() const { return BufferedBytes; }
  std::uint64_t mostBufferedBytes() const { return MostBufferedBytes; }

private:
  friend class instance_connection;

  /// @returns an idle connection, if one is fit: for a request that is not
  /// idempotent it was in use a moment ago and has never carried a refusal.
  std::shared_ptr<instance_connection> takeIdle(bool IsIdempotent);
  /// Makes room for a new connection, so that connections which only idempotent
  /// requests may use do not add up.
  void closeIdleWithRefusal();
  void ended(const std::shared_ptr<instance_connection> &Connection,
             instance_result Result, bool KeepsConnection);
  /// @returns whether a run is in progress on @p Connection.
  bool isBusy(const instance_connection &Connection) const;
  void bufferedBytesChanged(std::uint64_t Before, std::uint64_t After);
  /// Ends the run with the largest unfinished response if all of them together
  /// leave no room for another read.
  /// @returns whether that was the run of @p Reading.
  bool abortsLargestResponse(const instance_connection &Reading);

  boost::asio::io_context &Loop;
  const instance_client_settings Settings;
  const header_names &Names;
  const listener Listener;
  std::deque<std::shared_ptr<instance_connection>> Idle;
  std::map<attempt_id, std::shared_ptr<instance_connection>> Busy;
  std::uint64_t BufferedBytes = 0;
  std::uint64_t MostBufferedBytes = 0;
};

} // namespace clementine::proxy

#endif
