#include "clementine_proxy/clementine_proxy.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace clementine;
using namespace clementine::proxy;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr caller_limits Limits{
    .MaxHeader = 16384, .MaxBody = 65536, .HeaderTimeout = 300ms};
/// Bytes that a session may read beyond its limits; the others are in sockets.
constexpr std::size_t SlackBytes = std::size_t{16} << 20U;

/// Answers each request at once.
class echoing_handler final : public http_handler {
public:
  void handle(request Request, responder Respond,
              disconnect_callback &) override {
    ++Requests;
    response Response;
    Response.Status = 200;
    Response.Body = Request.Body;
    Respond(Response);
  }
  caller_limits limits() const override { return Limits; }

  int Requests = 0;
};

/// A caller that sends the same piece over and over after a prefix.
struct endless_caller {
  explicit endless_caller(asio::io_context &Loop, http_handler &Handler) {
    tcp::acceptor Acceptor(Loop, {asio::ip::make_address("127.0.0.1"), 0});
    Client.connect(Acceptor.local_endpoint());
    Session = std::make_shared<http_session>(Acceptor.accept(), Handler);
    Session->start();
    Client.non_blocking(true);
  }

  /// Writes as much as fits. @returns whether the connection is still open.
  bool send(const std::string &Bytes) {
    boost::system::error_code Error;
    SentBytes += Client.write_some(asio::buffer(Bytes), Error);
    return !Error || Error == asio::error::would_block;
  }

  std::string receive() {
    boost::system::error_code Ignored; // Ends with what has arrived.
    std::string Bytes(4096, '\0');
    Bytes.resize(Client.read_some(asio::buffer(Bytes), Ignored));
    return Received += Bytes;
  }

  asio::io_context OwnLoop;
  tcp::socket Client{OwnLoop};
  std::shared_ptr<http_session> Session;
  std::string Received;
  std::size_t SentBytes = 0;
};

struct endless_case {
  const char *Name;
  std::string Prefix;
  std::string Piece;
};

const std::string Head = "POST / HTTP/1.1\r\nHost: h\r\n";
const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";

std::vector<endless_case> cases() {
  return {{"request line", "GET /", std::string(1000, 'x')},
          {"header value", Head + "X-Long: ", std::string(1000, 'x')},
          {"header fields", Head, "X-Field: " + std::string(990, 'x') + "\r\n"},
          {"bytes that are no request", "", std::string(1000, '\0')},
          {"chunk extension", Chunked + "5;e=", std::string(1000, 'x')},
          {"extensions of many chunks", Chunked,
           "1;e=" + std::string(990, 'x') + "\r\na\r\n"},
          {"chunks", Chunked, "100\r\n" + std::string(256, 'x') + "\r\n"},
          {"trailer fields", Chunked + "0\r\n",
           "X-Trailer: " + std::string(990, 'x') + "\r\n"}};
}

} // namespace

TEST_CASE("a request without end is refused at a limit on bytes, and others "
          "are served meanwhile") {
  for (const endless_case &Case : cases()) {
    CAPTURE(std::string(Case.Name));
    asio::io_context Loop;
    echoing_handler Handler;
    endless_caller Endless(Loop, Handler);
    endless_caller Other(Loop, Handler);
    Endless.send(Case.Prefix);
    const instant End = boot_clock().now() + 5s;
    bool IsOpen = true;
    while (IsOpen && boot_clock().now() < End) {
      IsOpen = Endless.send(Case.Piece);
      Loop.restart();
      Loop.poll();
      Endless.receive();
    }
    CHECK_FALSE(IsOpen);
    CHECK(Handler.Requests == 0);
    CHECK(Endless.SentBytes < SlackBytes);
    Other.send(Head + "Content-Length: 2\r\n\r\nok");
    Loop.restart();
    Loop.run_for(10ms);
    CHECK(Other.receive().find("200 OK") != std::string::npos);
  }
}

TEST_CASE("a request without end that comes one byte at a time is closed at "
          "its timeout") {
  std::vector<std::string> Prefixes;
  for (const endless_case &Case : cases())
    if (!Case.Prefix.empty())
      Prefixes.push_back(Case.Prefix);
  Prefixes.push_back(Head + "Content-Length: 60000\r\n\r\n");
  asio::io_context Loop;
  echoing_handler Handler;
  std::vector<std::unique_ptr<endless_caller>> Callers;
  for (const std::string &Prefix : Prefixes) {
    Callers.push_back(std::make_unique<endless_caller>(Loop, Handler));
    Callers.back()->send(Prefix);
  }
  const instant End = boot_clock().now() + Limits.HeaderTimeout + 1500ms;
  while (boot_clock().now() < End) {
    for (const auto &Caller : Callers)
      Caller->send("x");
    Loop.restart();
    Loop.run_for(20ms);
  }
  for (std::size_t Index = 0; Index < Callers.size(); ++Index) {
    CAPTURE(Prefixes[Index]);
    const std::string Answer = Callers[Index]->receive();
    CHECK(Answer.find("HTTP/1.1 4") == 0);
    CHECK(Answer.find("Connection: close") != std::string::npos);
  }
  CHECK(Handler.Requests == 0);
}
