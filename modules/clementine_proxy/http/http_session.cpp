#include "clementine_proxy/http/http_session.h"

#include "clementine_proxy/model/boot_clock.h"
#include "clementine_telemetry/clementine_telemetry.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace clementine::proxy {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds TimeoutCheckInterval{500};
constexpr std::chrono::milliseconds AcceptRetryDelay{20};

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

} // namespace

http_session::http_session(tcp::socket Socket, http_handler &Handler)
    : Socket(std::move(Socket)), Timer(this->Socket.get_executor()),
      Handler(Handler), Limits(Handler.limits()),
      Reader(Limits.MaxHeader, Limits.MaxBody), IdleSince(now()) {
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
  Socket.async_read_some(
      asio::buffer(ReadBuffer),
      [Self = shared_from_this()](const auto &Error, std::size_t Bytes) {
        Self->IsReading = false;
        Self->Input.append(Self->ReadBuffer.data(), Bytes);
        Self->readDone(Error, Bytes);
      });
}

void http_session::readDone(const boost::system::error_code &Error,
                            std::size_t Bytes) {
  if (IsClosed)
    return;
  if (Error || Bytes == 0)
    return disconnect();
  parse();
  // A pending read detects that the client disconnects. Reading stops while
  // too much unparsed input is buffered; further bytes stay in socket buffers.
  if (!IsClosed && Input.size() <= ReadChunkBytes + Limits.MaxHeader)
    read();
}

void http_session::parse() {
  while (!IsEnding && !IsClosed && Exchanges.size() < MaxPipelined &&
         Unsent.size() < MaxUnsentBytes) {
    const bool HadPartialRequest = Reader.hasPartialRequest();
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

void http_session::accept(request Request) {
  if (Handler.isClosing())
    log().info("request accepted during the stop",
               {{"pending", Exchanges.size()},
                {"first", HasAcceptedRequest ? 0 : 1},
                {"target", Request.Target}});
  HasAcceptedRequest = true;
  auto Exchange = std::make_shared<exchange>();
  Exchange->KeepsAlive = Request.KeepsAlive;
  Exchange->IsForHead = Request.Method == "HEAD";
  IsEnding = !Request.KeepsAlive;
  Exchanges.push_back(Exchange);
  Handler.handle(
      std::move(Request),
      [Session = weak_from_this(), Exchange](response Response) {
        if (const auto Self = Session.lock())
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
  flush();
}

void http_session::flush() {
  if (IsClosed)
    return;
  while (!Exchanges.empty() && Exchanges.front()->Response) {
    const auto Exchange = Exchanges.front();
    const bool IsLast = Exchanges.size() == 1;
    const bool Closes =
        !Exchange->KeepsAlive || (IsLast && Handler.isClosing());
    Unsent += serialized(*Exchange->Response, Closes, Exchange->IsForHead);
    Exchanges.pop_front();
    if (Closes)
      IsEnding = true;
  }
  if (!Unsent.empty())
    write();
}

void http_session::write() {
  if (IsWriting || IsClosed)
    return;
  IsWriting = true;
  WriteSince = now();
  Sending.swap(Unsent);
  asio::async_write(
      Socket, asio::buffer(Sending),
      [Self = shared_from_this()](const auto &Error, std::size_t /*Bytes*/) {
        Self->IsWriting = false;
        Self->Sending.clear();
        if (Self->Sending.capacity() > ReadChunkBytes)
          Self->Sending.shrink_to_fit();
        if (Self->IsClosed)
          return;
        if (Error)
          return Self->disconnect();
        if (!Self->Unsent.empty())
          return Self->write();
        if (Self->Exchanges.empty()) {
          if (Self->IsEnding)
            return Self->close();
          Self->IdleSince = now();
        }
        Self->parse();
        Self->read();
      });
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

void http_session::closeIfIdle() {
  boost::system::error_code Error;
  const bool HasUnreadInput = Socket.available(Error) > 0 && !Error;
  if (!isBusy() && !isAwaitingFirstRequest() && !Reader.hasPartialRequest() &&
      !HasUnreadInput)
    close();
}

bool http_session::isAwaitingFirstRequest() const {
  return !HasAcceptedRequest && !IsClosed &&
         now() - IdleSince < FirstRequestGrace;
}

void http_session::scheduleTimeoutCheck() {
  Timer.expires_after(TimeoutCheckInterval);
  Timer.async_wait([Session = weak_from_this()](const auto &Error) {
    const auto Self = Session.lock();
    if (Error || !Self || Self->IsClosed)
      return;
    Self->checkTimeouts();
    if (!Self->IsClosed)
      Self->scheduleTimeoutCheck();
  });
}

void http_session::checkTimeouts() {
  const instant Now = now();
  if (IsWriting && Now - WriteSince > WriteTimeout)
    return disconnect();
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
  if (Now - IdleSince > Limits.IdleTimeout)
    close();
}

http_listener::http_listener(asio::io_context &Loop, endpoint Listen,
                             http_handler &Handler, std::size_t MaxConnections)
    : Loop(Loop), Listen(std::move(Listen)), Handler(Handler),
      MaxConnections(MaxConnections), Acceptor(Loop), AcceptRetryTimer(Loop) {}

void http_listener::start() {
  const tcp::endpoint Address(asio::ip::make_address(Listen.Host), Listen.Port);
  Acceptor.open(Address.protocol());
  Acceptor.set_option(tcp::acceptor::reuse_address(true));
  Acceptor.bind(Address);
  Acceptor.listen();
  accept();
}

void http_listener::addSession(tcp::socket Socket) {
  auto Session = std::make_shared<http_session>(std::move(Socket), Handler);
  Sessions.push_back(Session);
  Session->start();
}

void http_listener::accept() {
  Acceptor.async_accept([this](const auto &Error, tcp::socket Socket) {
    if (Error == asio::error::operation_aborted || !Acceptor.is_open())
      return;
    std::erase_if(Sessions, [](const auto &Each) { return Each.expired(); });
    if (!Error && Sessions.size() < MaxConnections) {
      addSession(std::move(Socket));
      return accept();
    }
    log().warning(
        "connection not accepted: accept error or connection limit reached",
        {{"error", Error.message()}, {"open", Sessions.size()}});
    AcceptRetryTimer.expires_after(AcceptRetryDelay);
    AcceptRetryTimer.async_wait([this](const auto &Cancelled) {
      if (!Cancelled)
        accept();
    });
  });
}

/// Closing the acceptor resets the connections in its queue, whose clients may
/// have sent requests already.
void http_listener::acceptQueued() {
  boost::system::error_code Error;
  Acceptor.cancel(Error);
  Acceptor.non_blocking(true, Error);
  while (!Error && Sessions.size() < MaxConnections) {
    tcp::socket Socket(Loop);
    Acceptor.accept(Socket, Error);
    if (!Error)
      addSession(std::move(Socket));
  }
}

void http_listener::stop() {
  if (Acceptor.is_open())
    acceptQueued();
  boost::system::error_code Ignored; // Accepting ends either way.
  Acceptor.close(Ignored);
  AcceptRetryTimer.cancel();
  for (const auto &Each : Sessions)
    if (const auto Session = Each.lock())
      Session->closeIfIdle();
}

bool http_listener::isBusy() const {
  return std::any_of(Sessions.begin(), Sessions.end(), [](const auto &Each) {
    const auto Session = Each.lock();
    return Session && (Session->isBusy() || Session->isAwaitingFirstRequest());
  });
}

} // namespace clementine::proxy
