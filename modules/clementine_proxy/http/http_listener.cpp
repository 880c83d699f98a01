#include "clementine_proxy/http/http_listener.h"

#include "clementine_telemetry/clementine_telemetry.h"

#include <algorithm>
#include <functional>

namespace clementine::proxy {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds AcceptRetryDelay{20};

const logger &log() {
  static const logger Log("http");
  return Log;
}

} // namespace

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

void http_listener::eraseExpired() {
  std::erase_if(Sessions, [](const auto &Each) { return Each.expired(); });
}

/// Serves a connection that was accepted just before the listener stopped.
void http_listener::addLateSession(tcp::socket Socket) {
  addSession(std::move(Socket));
  if (const auto Session = Sessions.back().lock())
    Session->beginClosing();
}

void http_listener::accept() {
  Acceptor.async_accept([this](const auto &Error, tcp::socket Socket) {
    if (!Error && !Acceptor.is_open())
      return addLateSession(std::move(Socket));
    if (Error == asio::error::operation_aborted || !Acceptor.is_open())
      return;
    eraseExpired();
    if (!Error && Sessions.size() < MaxConnections) {
      accept();
      return addSession(std::move(Socket));
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
  eraseExpired();
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
      Session->beginClosing();
}

bool http_listener::anySession(bool (http_session::*Predicate)() const) const {
  return std::any_of(Sessions.begin(), Sessions.end(), [=](const auto &Each) {
    const auto Session = Each.lock();
    return Session && std::invoke(Predicate, *Session);
  });
}

bool http_listener::isBusy() const { return anySession(&http_session::isBusy); }

bool http_listener::isInUse() const {
  return anySession(&http_session::isInUse);
}

} // namespace clementine::proxy
