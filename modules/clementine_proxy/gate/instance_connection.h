#ifndef CLEMENTINE_PROXY_GATE_INSTANCE_CONNECTION_H
#define CLEMENTINE_PROXY_GATE_INSTANCE_CONNECTION_H

#include "clementine_proxy/gate/instance_client.h"
#include "clementine_proxy/http/message_reader.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>

namespace clementine::proxy {

/// A connection to the instance, which carries one call at a time. Pending
/// reads, writes and timers keep the object alive.
class instance_connection final
    : public std::enable_shared_from_this<instance_connection> {
public:
  /// Maximum size of a single read.
  static constexpr std::size_t ReadChunkBytes = 8192;

  /// @param Client has to outlive the connection.
  explicit instance_connection(instance_client &Client)
      : Client(Client), Socket(Client.Loop), Timer(Client.Loop) {}

  /// Opens the connection and sends @p Next on it.
  void connect(instance_call Next);

  /// Sends @p Next on this idle connection.
  void reuse(instance_call Next);

  /// @returns whether the connection is open and has no unread input, as is
  /// required before it carries a run.
  bool isOpenAndIdle();

  void close();

  /// @returns how many bytes of its unfinished response it holds.
  std::uint64_t bufferedBytes() const { return BufferedBytes; }

  /// Ends the call because its response holds too much of the memory that all
  /// responses share.
  void endForMemory();

  const instance_call &call() const { return Call; }
  bool isUsableAt(instant Now) const { return Now < UsableUntil; }
  instant idleSince() const { return IdleSince; }
  /// @returns whether a refusal came on it, which the instance may write again.
  bool hasCarriedRefusal() const { return HasCarriedRefusal; }

  instance_connection(const instance_connection &) = delete;
  instance_connection &operator=(const instance_connection &) = delete;

private:
  void send();
  void read();
  void readDone(const boost::system::error_code &Error);
  void logRejection() const;
  void setBufferedBytes(std::uint64_t Count);
  read_progress endOfInput();
  void answered(response Answer, bool HasEnded);
  void end(run_outcome Outcome, run_cause Cause);

  /// Ends the call if its handling has failed before it ended.
  void abandon();
  void finish(instance_result Result);

  /// A timer that has run out cannot be cancelled any more: its handler may
  /// already be waiting behind the one that disarms it.
  void disarm();
  void arm(instant Time);

  instance_client &Client;
  boost::asio::ip::tcp::socket Socket;
  boost::asio::steady_timer Timer;
  /// Changes whenever the timer is armed or disarmed.
  std::uint64_t TimerNumber = 0;
  instance_call Call;
  std::string RequestId;
  std::string Output;
  std::string Input;
  std::optional<response_reader> Reader;
  std::uint64_t BufferedBytes = 0;
  std::size_t ForeignResponses = 0;
  /// What the response to the call says about the instance.
  std::optional<instance_notice> Notice;
  instant UsableUntil;
  instant IdleSince;
  bool IsReused = false;
  bool IsSending = false;
  bool KeepsConnection = false;
  bool HasCarriedRefusal = false;
  bool IsClosed = false;
};

} // namespace clementine::proxy

#endif
