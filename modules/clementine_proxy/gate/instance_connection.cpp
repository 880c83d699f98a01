#include "clementine_proxy/gate/instance_connection.h"

#include "clementine_proxy/model/abandon_on_fault.h"
#include "clementine_proxy/model/boot_clock.h"
#include "clementine_proxy/peers/peer_link.h"
#include "clementine_telemetry/clementine_telemetry.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

#include <sys/socket.h>

namespace clementine::proxy {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr unsigned FirstSuccessStatus = 200;
constexpr unsigned FirstRedirectStatus = 300;
/// How long sent bytes may stay unacknowledged before the connection is closed,
/// in milliseconds.
constexpr unsigned UserTimeoutMs = 5000;

const logger &log() {
  static const logger Log("instance");
  return Log;
}

instant now() { return boot_clock().now(); }

/// @returns the timeout in the `Keep-Alive` header of a response, if present.
std::optional<duration> keepAliveOf(const response &Answer) {
  const auto Text = findHeader(Answer.Headers, "Keep-Alive");
  if (!Text)
    return std::nullopt;
  constexpr std::string_view Key = "timeout=";
  const std::size_t At = Text->find(Key);
  unsigned Seconds = 0;
  if (At == std::string_view::npos ||
      std::from_chars(Text->data() + At + Key.size(),
                      Text->data() + Text->size(), Seconds)
              .ec != std::errc())
    return std::nullopt;
  return std::chrono::seconds(Seconds);
}

} // namespace

void instance_connection::connect(instance_call Next) {
  Call = std::move(Next);
  arm(std::min(Call.Deadline, now() + Client.Settings.ConnectTimeout));
  const auto &Address = Client.Settings.Address;
  Socket.async_connect(
      {asio::ip::make_address(Address.Host), Address.Port},
      [Self = shared_from_this()](const auto &Error) {
        if (Self->IsClosed)
          return;
        if (Error)
          return Self->end(run_outcome::NotRun, run_cause::Unreachable);
        tunePeerSocket(Self->Socket, UserTimeoutMs);
        abandonOnFault([&] { Self->send(); }, [&] { Self->abandon(); });
      });
}

void instance_connection::reuse(instance_call Next) {
  Call = std::move(Next);
  IsReused = true;
  ForeignResponses = 0;
  send();
}

bool instance_connection::isOpenAndIdle() {
  if (IsClosed || !Input.empty())
    return false;
  char Byte = 0;
  const auto Got =
      ::recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void instance_connection::close() {
  if (IsClosed)
    return;
  IsClosed = true;
  setBufferedBytes(0);
  Timer.cancel();
  boost::system::error_code Ignored; // The socket is discarded either way.
  Socket.close(Ignored);
}

void instance_connection::endForMemory() {
  log().warning("response aborted: buffered responses exceed their limit",
                {{"id", RequestId}, {"bytes", BufferedBytes}});
  end(run_outcome::Unknown, run_cause::NoValidResponse);
}

void instance_connection::send() {
  const instant Now = now();
  const auto Left =
      std::chrono::duration_cast<std::chrono::milliseconds>(Call.Deadline - Now)
          .count();
  if (Left <= 0) {
    asio::post(Client.Loop, [Self = shared_from_this()] {
      if (!Self->IsClosed)
        Self->end(run_outcome::NotRun, run_cause::TooLate);
    });
    return;
  }
  request Sent = std::move(Call.Request);
  Sent.Headers.emplace_back(Client.Names.Deadline, std::to_string(Left));
  Sent.Headers.emplace_back(Client.Names.ExpectedInstance, Call.Instance);
  RequestId = findHeader(Sent.Headers, Client.Names.RequestId).value_or("");
  Output = serialized(Sent);
  Reader.emplace(Sent.Method == "HEAD", Client.Settings.MaxBody);
  arm(Call.Deadline + Client.Settings.AnswerGrace);
  IsSending = true;
  asio::async_write(
      Socket, asio::buffer(Output),
      [Self = shared_from_this()](const auto &Error, std::size_t /*Bytes*/) {
        Self->IsSending = false;
        // The instance may have sent a refusal before the write
        // failed, so the result is left to the read operation.
        (void)Error;
      });
  read();
}

void instance_connection::read() {
  const std::size_t BufferedBytes = Input.size();
  Input.resize(BufferedBytes + ReadChunkBytes);
  Socket.async_read_some(
      asio::buffer(Input.data() + BufferedBytes, ReadChunkBytes),
      [Self = shared_from_this(), BufferedBytes](const auto &Error,
                                                 std::size_t Bytes) {
        if (Self->IsClosed)
          return;
        Self->Input.resize(BufferedBytes + Bytes);
        abandonOnFault([&] { Self->readDone(Error); },
                       [&] { Self->abandon(); });
      });
}

void instance_connection::readDone(const boost::system::error_code &Error) {
  const read_progress Progress =
      Error == asio::error::eof ? endOfInput() : Reader->read(Input);
  if (Progress == read_progress::Complete)
    return answered(Reader->take(), Error == asio::error::eof);
  if (Error || Progress == read_progress::Failed) {
    logRejection();
    return end(run_outcome::Unknown, run_cause::NoValidResponse);
  }
  setBufferedBytes(Input.size() + Reader->bodyBytes());
  if (Client.abortsLargestResponse(*this))
    return;
  read();
}

/// An answer that breaks off is left to the log of the run.
void instance_connection::logRejection() const {
  const read_fault Fault = Reader->fault();
  if (Fault != read_fault::None && Fault != read_fault::Truncated)
    log().warning("answer rejected",
                  {{"id", RequestId}, {"fault", readFaultName(Fault)}});
}

void instance_connection::setBufferedBytes(std::uint64_t Count) {
  const std::uint64_t Before = std::exchange(BufferedBytes, Count);
  Client.bufferedBytesChanged(Before, Count);
}

/// A socket reports a reset only once: if the write in progress has taken the
/// report, the read ends like one of a connection that was closed in order.
/// Only the latter can still be shut down.
read_progress instance_connection::endOfInput() {
  const read_progress Progress = Reader->read(Input);
  if (Progress != read_progress::Incomplete)
    return Progress;
  boost::system::error_code Error;
  Socket.shutdown(tcp::socket::shutdown_send, Error);
  return Error ? read_progress::Failed : Reader->readEnd();
}

void instance_connection::answered(response Answer, bool HasEnded) {
  const auto EchoedId = findHeader(Answer.Headers, Client.Names.RequestId);
  if (!EchoedId || *EchoedId != RequestId) {
    log().info("answer to another request",
               {{"id", RequestId}, {"found", EchoedId.value_or("")}});
    // A response to an earlier request may precede the expected one.
    if (EchoedId && !HasEnded && Answer.KeepsAlive &&
        ++ForeignResponses <= Client.Settings.MaxForeignResponses)
      return readDone({});
    return end(run_outcome::Unknown, run_cause::NoValidResponse);
  }
  KeepsConnection =
      Answer.KeepsAlive && !HasEnded && !IsSending && Input.empty();
  const auto KeepAliveTime = keepAliveOf(Answer);
  UsableUntil = now() + KeepAliveTime.value_or(Client.Settings.KeepAlive) -
                Client.Settings.KeepAliveMargin;
  Notice = noticeOf(Answer, Client.Names);
  if (findHeader(Answer.Headers, Client.Names.NotExecuted))
    return end(run_outcome::NotRun, run_cause::Rejected);
  const bool IsSuccess = Answer.Status >= FirstSuccessStatus &&
                         Answer.Status < FirstRedirectStatus;
  const bool IsSigned =
      findHeader(Answer.Headers, Client.Names.Signature).has_value();
  const bool IsEncoded =
      findHeader(Answer.Headers, "Content-Encoding").has_value();
  if (!IsSigned || (IsSuccess && IsEncoded)) {
    // Logged if the response has no signature header, whatever its status, or
    // if its status is 2xx and it has a Content-Encoding header. The attempt
    // then ends with the outcome Unknown and the cause NoValidResponse, and
    // the connection is closed.
    log().warning("answer without a valid proof",
                  {{"id", RequestId}, {"status", Answer.Status}});
    return end(run_outcome::Unknown, run_cause::NoValidResponse);
  }
  removeConnectionHeaders(Answer.Headers);
  finish({run_outcome::Completed, run_cause::None, true, std::move(Answer),
          std::exchange(Notice, std::nullopt)});
}

void instance_connection::end(run_outcome Outcome, run_cause Cause) {
  const bool WasSent =
      Cause == run_cause::Rejected || Outcome == run_outcome::Unknown;
  if (Cause == run_cause::Rejected) {
    HasCarriedRefusal = true;
    KeepsConnection = KeepsConnection && Call.IsIdempotent;
  }
  if (Outcome == run_outcome::Unknown)
    KeepsConnection = false;
  if (Outcome == run_outcome::NotRun && Cause == run_cause::TooLate)
    KeepsConnection = IsReused;
  finish({Outcome, Cause, WasSent, {}, std::exchange(Notice, std::nullopt)});
}

void instance_connection::abandon() {
  if (!IsClosed && Client.isBusy(*this))
    end(run_outcome::Unknown, run_cause::NoValidResponse);
}

void instance_connection::finish(instance_result Result) {
  setBufferedBytes(0);
  disarm();
  IdleSince = now();
  Output.clear();
  Reader.reset();
  Client.ended(shared_from_this(), std::move(Result), KeepsConnection);
}

void instance_connection::disarm() {
  ++TimerNumber;
  Timer.cancel();
}

void instance_connection::arm(instant Time) {
  const std::uint64_t Number = ++TimerNumber;
  Timer.expires_after(std::max<duration>(Time - now(), duration(0)));
  Timer.async_wait([Self = shared_from_this(), Number](const auto &Error) {
    if (Error || Self->IsClosed || Number != Self->TimerNumber)
      return;
    if (Self->Reader)
      Self->end(run_outcome::Unknown, run_cause::NoValidResponse);
    else
      Self->end(run_outcome::NotRun, run_cause::Unreachable);
  });
}

} // namespace clementine::proxy
