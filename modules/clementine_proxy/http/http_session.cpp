#include "clementine_proxy/http/http_session.h"

#include "clementine_proxy/http/lingering_close.h"
#include "clementine_proxy/model/abandon_on_fault.h"
#include "clementine_proxy/model/boot_clock.h"
#include "clementine_proxy/model/message_limits.h"
#include "clementine_telemetry/clementine_telemetry.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/completion_condition.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace clementine::proxy {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds TimeoutCheckInterval{500};

constexpr unsigned BadRequest = 400;
constexpr unsigned RequestTimeout = 408;
constexpr unsigned ContentTooLarge = 413;
constexpr unsigned HeaderFieldsTooLarge = 431;

const logger &log() {
  static const logger Log("http");
  return Log;
}

instant now() { return boot_clock().now(); }

unsigned statusOf(read_fault Fault) {
  switch (Fault) {
  case read_fault::HeaderTooLarge:
    return HeaderFieldsTooLarge;
  case read_fault::BodyTooLarge:
    return ContentTooLarge;
  default:
    return BadRequest;
  }
}

/// Bounds what a connection buffers, whatever the configuration says.
caller_limits bounded(caller_limits Limits) {
  Limits.MaxHeader =
      std::min<std::uint64_t>(Limits.MaxHeader, MaxCallerHeaderBytes);
  Limits.MaxBody = std::min<std::uint64_t>(Limits.MaxBody, MaxCallerBodyBytes);
  return Limits;
}

} // namespace

http_session::http_session(tcp::socket Socket, http_handler &Handler)
    : Socket(std::move(Socket)), Timer(this->Socket.get_executor()),
      Handler(Handler), Limits(bounded(Handler.limits())),
      Reader(Limits.MaxHeader, Limits.MaxBody), IdleSince(now()),
      WriteProgress(this->Socket) {
  boost::system::error_code Ignored; // The option is not essential.
  this->Socket.set_option(tcp::no_delay(true), Ignored);
}

void http_session::start() {
  read();
  scheduleTimeoutCheck();
}

void http_session::read() {
  if (IsReading || IsClosed)
    return;
  IsReading = true;
  Socket.async_read_some(asio::buffer(ReadBuffer), [Self = shared_from_this()](
                                                       const auto &Error,
                                                       std::size_t Bytes) {
    Self->IsReading = false;
    if (std::exchange(Self->EndsAfterRead, false) && (Error || Self->IsEnding))
      return Self->closeGracefully();
    abandonOnFault([&] { Self->readDone(Error, Bytes); },
                   [&] { Self->disconnect(); });
  });
}

void http_session::readDone(const boost::system::error_code &Error,
                            std::size_t Bytes) {
  if (IsClosed)
    return;
  if (Error || Bytes == 0)
    return disconnect();
  Input.append(ReadBuffer.data(), Bytes);
  parse();
  if (IsEnding)
    Input.clear();
  // A pending read detects that the client disconnects. Reading stops while
  // too much unparsed input is buffered; further bytes stay in socket buffers.
  if (!IsClosed && Input.size() <= ReadChunkBytes + Limits.MaxHeader)
    read();
}

void http_session::parse() {
  while (!IsEnding && !IsClosed && Exchanges.size() < MaxPipelined &&
         Unsent.size() < MaxUnsentBytes) {
    const bool HadPartialRequest = Reader.hasPartialRequest();
    if (!HadPartialRequest && !Input.empty())
      updateLimits();
    const read_progress Progress = Reader.read(Input);
    if (Progress == read_progress::Failed)
      return reject(Reader.fault());
    if (Progress == read_progress::Incomplete) {
      if (Reader.hasPartialRequest() && !HadPartialRequest)
        HeaderSince = now();
      if (Reader.expectsContinue() && !HasSentContinue && Exchanges.empty()) {
        HasSentContinue = true;
        Unsent += "HTTP/1.1 100 Continue\r\n\r\n";
        write();
      }
      return;
    }
    HasSentContinue = false;
    accept(Reader.take());
  }
}

/// A request is held to the limits in force at its first byte.
void http_session::updateLimits() {
  const caller_limits Current = bounded(Handler.limits());
  if (Current == Limits)
    return;
  Limits = Current;
  Reader.setLimits(Limits.MaxHeader, Limits.MaxBody);
}

/// A lower limit holds from the next request of the client on, which may have
/// relied on the higher one.
duration http_session::idleTimeout() const {
  return std::max(Limits.IdleTimeout, Handler.limits().IdleTimeout);
}

void http_session::accept(request Request) {
  if (IsClosing)
    log().info("request accepted while the connection is closing",
               {{"pending", Exchanges.size()},
                {"first", HasAcceptedRequest ? 0 : 1},
                {"target", Request.Target}});
  HasAcceptedRequest = true;
  auto Exchange = std::make_shared<exchange>();
  Exchange->KeepsAlive = Request.KeepsAlive && !IsClosing;
  Exchange->IsForHead = Request.Method == "HEAD";
  IsEnding = !Exchange->KeepsAlive;
  Exchanges.push_back(Exchange);
  Handler.handle(
      std::move(Request),
      [Self = shared_from_this(), Exchange](response Response) {
        Self->complete(Exchange, std::move(Response));
      },
      Exchange->OnDisconnect);
}

void http_session::reject(read_fault Fault) {
  log().info("request not accepted", {{"fault", readFaultName(Fault)}});
  IsEnding = true;
  auto Exchange = std::make_shared<exchange>();
  Exchange->KeepsAlive = false;
  Exchanges.push_back(Exchange);
  response Response;
  Response.Status = statusOf(Fault);
  complete(Exchange, std::move(Response));
}

void http_session::complete(const std::shared_ptr<exchange> &Exchange,
                            response Response) {
  Exchange->OnDisconnect = nullptr;
  Exchange->Response = std::move(Response);
  abandonOnFault([this] { flush(); }, [this] { disconnect(); });
}

void http_session::flush() {
  if (IsClosed)
    return;
  while (!Exchanges.empty() && Exchanges.front()->Response) {
    const auto Exchange = Exchanges.front();
    Unsent += serialized(*Exchange->Response, !Exchange->KeepsAlive,
                         Exchange->IsForHead);
    Exchanges.pop_front();
  }
  if (!Unsent.empty())
    write();
}

void http_session::write() {
  if (IsWriting || IsClosed)
    return;
  IsWriting = true;
  WriteProgress.begin(now());
  Sending.swap(Unsent);
  asio::async_write(
      Socket, asio::buffer(Sending),
      [Self = shared_from_this()](const auto &Error, std::size_t Bytes) {
        Self->WriteProgress.accepted(Bytes);
        return asio::transfer_all()(Error, Bytes);
      },
      [Self = shared_from_this()](const auto &Error, std::size_t /*Bytes*/) {
        Self->IsWriting = false;
        abandonOnFault([&] { Self->writeDone(Error); },
                       [&] { Self->disconnect(); });
      });
}

void http_session::writeDone(const boost::system::error_code &Error) {
  Sending.clear();
  if (Sending.capacity() > ReadChunkBytes)
    Sending.shrink_to_fit();
  if (IsClosed)
    return;
  if (Error)
    return disconnect();
  if (!Unsent.empty())
    return write();
  if (Exchanges.empty()) {
    IdleSince = now();
    if (IsEnding)
      return closeGracefully();
  }
  parse();
  if (IsClosing)
    closeIfIdle();
  read();
}

void http_session::disconnect() {
  std::deque<std::shared_ptr<exchange>> Unanswered;
  Unanswered.swap(Exchanges);
  close();
  for (const auto &Exchange : Unanswered)
    if (const auto OnDisconnect =
            std::exchange(Exchange->OnDisconnect, nullptr))
      OnDisconnect();
}

void http_session::close() {
  if (IsClosed)
    return;
  IsClosed = true;
  boost::system::error_code Ignored; // The connection is closed either way.
  Socket.shutdown(tcp::socket::shutdown_send, Ignored);
  Socket.close(Ignored);
  Timer.cancel();
}

/// Closes the connection so that the responses written last reach the client.
/// After lingering_close_limits::Timeout without a request they have reached
/// it.
void http_session::closeGracefully() {
  if (IsClosed)
    return;
  LingerTimeout = lingering_close_limits().Timeout - (now() - IdleSince);
  if (LingerTimeout <= duration(0))
    return close();
  if (IsReading) {
    // The read may have taken a request already: only its handler knows.
    EndsAfterRead = true;
    boost::system::error_code Ignored;
    Socket.cancel(Ignored);
    return;
  }
  IsClosed = true;
  IsLingering = true;
  Timer.cancel();
  startLingering();
}

void http_session::startLingering() {
  lingering_close::start(
      std::move(Socket), {.Timeout = LingerTimeout},
      [Self = shared_from_this()] { Self->IsLingering = false; });
}

void http_session::beginClosing() {
  IsClosing = true;
  if (Exchanges.empty())
    return closeIfIdle();
  Exchanges.back()->KeepsAlive = false;
  IsEnding = true;
}

void http_session::closeIfIdle() {
  if (!IsClosed && !isBusy() && !isAwaitingFirstRequest() &&
      !Reader.hasPartialRequest() && !hasUnreadInput())
    closeGracefully();
}

bool http_session::hasUnreadInput() {
  boost::system::error_code Error;
  return Socket.available(Error) > 0 && !Error;
}

bool http_session::isAwaitingFirstRequest() const {
  return !HasAcceptedRequest && !IsClosed &&
         now() - IdleSince < FirstRequestGrace;
}

bool http_session::isInUse() const {
  if (IsClosed)
    return IsLingering;
  return IsClosing || isBusy() || isAwaitingFirstRequest() ||
         Reader.hasPartialRequest();
}

void http_session::scheduleTimeoutCheck() {
  Timer.expires_after(TimeoutCheckInterval);
  Timer.async_wait([Session = weak_from_this()](const auto &Error) {
    const auto Self = Session.lock();
    if (Error || !Self || Self->IsClosed)
      return;
    abandonOnFault([&] { Self->checkTimeouts(); }, [&] { Self->disconnect(); });
    if (!Self->IsClosed)
      Self->scheduleTimeoutCheck();
  });
}

void http_session::checkTimeouts() {
  const instant Now = now();
  if (IsWriting && WriteProgress.stalledFor(Now) > WriteTimeout) {
    log().info("closed: the client takes no bytes of its response");
    return disconnect();
  }
  if (isBusy())
    return;
  if (Reader.hasPartialRequest()) {
    if (Now - HeaderSince <= Limits.HeaderTimeout)
      return;
    log().info("timed out while reading the request");
    IsEnding = true;
    auto Exchange = std::make_shared<exchange>();
    Exchange->KeepsAlive = false;
    Exchanges.push_back(Exchange);
    response Response;
    Response.Status = RequestTimeout;
    return complete(Exchange, std::move(Response));
  }
  if (IsClosing || Now - IdleSince > idleTimeout())
    closeIfIdle();
}

} // namespace clementine::proxy
