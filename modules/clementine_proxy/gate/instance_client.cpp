#include "clementine_proxy/gate/instance_client.h"

#include "clementine_proxy/model/boot_clock.h"
#include "clementine_proxy/peers/peer_link.h"
#include "clementine_telemetry/clementine_telemetry.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <charconv>

#include <sys/socket.h>

namespace clementine::proxy {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t ReadChunkBytes = 8192;
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

class instance_connection final
    : public std::enable_shared_from_this<instance_connection> {
public:
  instance_connection(instance_client &Client)
      : Client(Client), Socket(Client.Loop), Timer(Client.Loop) {}

  /// Opens the connection and sends @p Next on it.
  void connect(instance_call Next) {
    Call = std::move(Next);
    arm(std::min(Call.Deadline, now() + Client.Settings.ConnectTimeout));
    const auto &Address = Client.Settings.Address;
    Socket.async_connect({asio::ip::make_address(Address.Host), Address.Port},
                         [Self = shared_from_this()](const auto &Error) {
                           if (Self->IsClosed)
                             return;
                           if (Error)
                             return Self->end(run_outcome::NotRun,
                                              run_cause::Unreachable);
                           tunePeerSocket(Self->Socket, UserTimeoutMs);
                           Self->send();
                         });
  }

  /// Sends @p Next on this idle connection.
  void reuse(instance_call Next) {
    Call = std::move(Next);
    IsReused = true;
    ForeignResponses = 0;
    send();
  }

  /// @returns whether the connection is open and has no unread input, as is
  /// required before it carries a run.
  bool isOpenAndIdle() {
    if (IsClosed || !Input.empty())
      return false;
    char Byte = 0;
    const auto Got =
        ::recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return Got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  void close() {
    if (IsClosed)
      return;
    IsClosed = true;
    setBufferedBytes(0);
    Timer.cancel();
    boost::system::error_code Ignored; // The socket is discarded either way.
    Socket.close(Ignored);
  }

  /// @returns how many bytes of its unfinished response it holds.
  std::uint64_t bufferedBytes() const { return BufferedBytes; }

  /// Ends the call because its response holds too much of the memory that all
  /// responses share.
  void endForMemory() {
    log().warning("response aborted: buffered responses exceed their limit",
                  {{"id", RequestId}, {"bytes", BufferedBytes}});
    end(run_outcome::Unknown, run_cause::NoValidResponse);
  }

  const instance_call &call() const { return Call; }
  bool isUsableAt(instant Now) const { return Now < UsableUntil; }
  instant idleSince() const { return IdleSince; }
  /// @returns whether a refusal came on it, which the instance may write again.
  bool hasCarriedRefusal() const { return HasCarriedRefusal; }

private:
  void send() {
    const instant Now = now();
    const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
                          Call.Deadline - Now)
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

  void read() {
    const std::size_t BufferedBytes = Input.size();
    Input.resize(BufferedBytes + ReadChunkBytes);
    Socket.async_read_some(
        asio::buffer(Input.data() + BufferedBytes, ReadChunkBytes),
        [Self = shared_from_this(), BufferedBytes](const auto &Error,
                                                   std::size_t Bytes) {
          if (Self->IsClosed)
            return;
          Self->Input.resize(BufferedBytes + Bytes);
          Self->readDone(Error);
        });
  }

  void readDone(const boost::system::error_code &Error) {
    const read_progress Progress =
        Error == asio::error::eof ? endOfInput() : Reader->read(Input);
    if (Progress == read_progress::Complete)
      return answered(Reader->take(), Error == asio::error::eof);
    if (Error || Progress == read_progress::Failed)
      return end(run_outcome::Unknown, run_cause::NoValidResponse);
    setBufferedBytes(Input.size() + Reader->bodyBytes());
    if (Client.abortsLargestResponse(*this))
      return;
    read();
  }

  void setBufferedBytes(std::uint64_t Count) {
    const std::uint64_t Before = std::exchange(BufferedBytes, Count);
    Client.bufferedBytesChanged(Before, Count);
  }

  read_progress endOfInput() {
    const read_progress Progress = Reader->read(Input);
    return Progress == read_progress::Incomplete ? Reader->readEnd() : Progress;
  }

  void answered(response Answer, bool HasEnded) {
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
    finish({run_outcome::Completed, run_cause::None, true, std::move(Answer)});
  }

  void end(run_outcome Outcome, run_cause Cause) {
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
    finish({Outcome, Cause, WasSent, {}});
  }

  void finish(instance_result Result) {
    setBufferedBytes(0);
    disarm();
    IdleSince = now();
    Output.clear();
    Reader.reset();
    Client.ended(shared_from_this(), std::move(Result), KeepsConnection);
  }

  /// A timer that has run out cannot be cancelled any more: its handler may
  /// already be waiting behind the one that disarms it.
  void disarm() {
    ++TimerNumber;
    Timer.cancel();
  }

  void arm(instant Time) {
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

  instance_client &Client;
  tcp::socket Socket;
  asio::steady_timer Timer;
  /// Changes whenever the timer is armed or disarmed.
  std::uint64_t TimerNumber = 0;
  instance_call Call;
  std::string RequestId;
  std::string Output;
  std::string Input;
  std::optional<response_reader> Reader;
  std::uint64_t BufferedBytes = 0;
  std::size_t ForeignResponses = 0;
  instant UsableUntil;
  instant IdleSince;
  bool IsReused = false;
  bool IsSending = false;
  bool KeepsConnection = false;
  bool HasCarriedRefusal = false;
  bool IsClosed = false;
};

instance_client::instance_client(asio::io_context &Loop,
                                 instance_client_settings Settings,
                                 const header_names &Names, listener Listener)
    : Loop(Loop), Settings(std::move(Settings)), Names(Names),
      Listener(std::move(Listener)) {}

instance_client::~instance_client() = default;

void instance_client::call(instance_call Call) {
  auto &Connection = Busy[Call.Attempt];
  Connection = takeIdle(Call.IsIdempotent);
  if (Connection)
    return Connection->reuse(std::move(Call));
  Connection = std::make_shared<instance_connection>(*this);
  Connection->connect(std::move(Call));
}

std::shared_ptr<instance_connection>
instance_client::takeIdle(bool IsIdempotent) {
  const instant Now = now();
  for (auto Next = Idle.end(); Next != Idle.begin();) {
    --Next;
    if (!IsIdempotent && (*Next)->hasCarriedRefusal())
      continue;
    if (!IsIdempotent && (*Next)->isUsableAt(Now) &&
        Now - (*Next)->idleSince() > Settings.MaxIdleIfNotIdempotent)
      break;
    auto Connection = *Next;
    Next = Idle.erase(Next);
    if (Connection->isUsableAt(Now) && Connection->isOpenAndIdle())
      return Connection;
    Connection->close();
  }
  if (!IsIdempotent)
    closeIdleWithRefusal();
  return nullptr;
}

void instance_client::closeIdleWithRefusal() {
  const auto Oldest =
      std::ranges::find_if(Idle, &instance_connection::hasCarriedRefusal);
  if (Oldest == Idle.end())
    return;
  (*Oldest)->close();
  Idle.erase(Oldest);
}

void instance_client::ended(
    const std::shared_ptr<instance_connection> &Connection,
    instance_result Result, bool KeepsConnection) {
  const attempt_id Attempt = Connection->call().Attempt;
  Busy.erase(Attempt);
  const instant Now = now();
  while (!Idle.empty() && !Idle.front()->isUsableAt(Now)) {
    Idle.front()->close();
    Idle.pop_front();
  }
  if (KeepsConnection)
    Idle.push_back(Connection);
  else
    Connection->close();
  Listener(Attempt, std::move(Result));
}

void instance_client::abort(const attempt_id &Attempt) {
  const auto Found = Busy.find(Attempt);
  if (Found == Busy.end())
    return;
  Found->second->close();
  Busy.erase(Found);
}

void instance_client::bufferedBytesChanged(std::uint64_t Before,
                                           std::uint64_t After) {
  BufferedBytes = BufferedBytes + After - Before;
  MostBufferedBytes = std::max(MostBufferedBytes, BufferedBytes);
}

bool instance_client::abortsLargestResponse(
    const instance_connection &Reading) {
  if (BufferedBytes + ReadChunkBytes <= Settings.MaxBufferedBytes)
    return false;
  const auto Largest = std::max_element(
      Busy.begin(), Busy.end(), [](const auto &A, const auto &B) {
        return A.second->bufferedBytes() < B.second->bufferedBytes();
      });
  const auto Connection = Largest->second;
  Connection->endForMemory();
  return Connection.get() == &Reading;
}

void instance_client::dropIdle() {
  for (const auto &Connection : Idle)
    Connection->close();
  Idle.clear();
}

void instance_client::stop() {
  dropIdle();
  for (const auto &[Attempt, Connection] : Busy)
    Connection->close();
  Busy.clear();
}

} // namespace clementine::proxy
