#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "clementine_http/clementine_http.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <functional>
#include <string>
#include <thread>
#include <vector>

using namespace clementine;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/// An upstream that answers each request with the next bytes of its script. An
/// answer that does not end with an empty line and "ok" closes the connection.
class scripted_upstream {
public:
  explicit scripted_upstream(std::vector<std::string> Answers)
      : Answers(std::move(Answers)),
        Acceptor(Context,
                 tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
        Thread([this] { serve(); }) {}

  ~scripted_upstream() {
    Stopping = true;
    boost::system::error_code Ignored;
    tcp::socket Wake(Context);
    Wake.connect(Acceptor.local_endpoint(), Ignored);
    Thread.join();
  }

  endpoint address() const {
    return {"127.0.0.1", Acceptor.local_endpoint().port()};
  }

  std::atomic<int> Requests{0};

private:
  void serve() {
    while (!Stopping) {
      tcp::socket Socket(Context);
      Acceptor.accept(Socket);
      while (!Stopping && serveOne(Socket)) {
      }
    }
  }

  bool serveOne(tcp::socket &Socket) {
    boost::system::error_code Error;
    asio::streambuf Buffer;
    asio::read_until(Socket, Buffer, "\r\n\r\n", Error);
    if (Error)
      return false;
    const std::size_t Number = static_cast<std::size_t>(Requests++);
    const std::string Answer = Number < Answers.size() ? Answers[Number] : "";
    asio::write(Socket, asio::buffer(Answer), Error);
    return !Error && Answer.ends_with("\r\n\r\nok");
  }

  const std::vector<std::string> Answers;
  asio::io_context Context;
  tcp::acceptor Acceptor;
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

class result_collector final : public upstream_listener {
public:
  void upstreamCallEnded(upstream_result Result) override {
    Results.tryPush(std::move(Result));
  }
  upstream_result waitForResult() {
    const auto Taken = Results.takeAll(20s);
    REQUIRE(Taken.size() == 1);
    return Taken.front();
  }

private:
  bounded_ring<upstream_result> Results{16};
};

upstream_call callOf(std::uint64_t Token, const std::string &Method) {
  upstream_call Call;
  Call.Token = {0, Token};
  Call.Operation = "book";
  Call.Context.Key = "k";
  Call.Payload = {Method, {}, Method == "POST" ? "body" : ""};
  Call.Timeout = 10s;
  return Call;
}

const std::string CompleteAnswer =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Own: yes\r\n\r\nok";

} // namespace

TEST_CASE("a complete response is returned with its status, headers and body") {
  scripted_upstream Server({CompleteAnswer});
  result_collector Collector;
  upstream_client Client({}, Collector);
  Client.start();
  Client.setUpstream(Server.address());
  Client.callUpstream(callOf(1, "POST"));
  const upstream_result Result = Collector.waitForResult();
  CHECK(Result.End == upstream_outcome::Answered);
  CHECK(Result.Answer.Status == 200);
  CHECK(Result.Answer.Body == "ok");
  CHECK(Result.Answer.Headers == std::vector<header_field>{{"X-Own", "yes"}});
}

TEST_CASE("a request is not resent when a reused connection closes") {
  for (const std::string Method : {"POST", "GET"}) {
    scripted_upstream Server({CompleteAnswer, ""});
    result_collector Collector;
    upstream_client Client({}, Collector);
    Client.start();
    Client.setUpstream(Server.address());
    Client.callUpstream(callOf(1, Method));
    CHECK(Collector.waitForResult().End == upstream_outcome::Answered);
    Client.callUpstream(callOf(2, Method));
    CHECK(Collector.waitForResult().End == upstream_outcome::Broken);
    Client.stop();
    CHECK(Server.Requests == 2);
  }
}

TEST_CASE(
    "a response that is truncated or delimited by connection close is broken") {
  const std::vector<std::string> Answers = {
      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
      "HTTP/1.1 200 OK\r\n\r\nuntil the end",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
      "HTTP/1.1 2"};
  for (const std::string &Answer : Answers) {
    scripted_upstream Server({Answer});
    result_collector Collector;
    upstream_client Client({}, Collector);
    Client.start();
    Client.setUpstream(Server.address());
    Client.callUpstream(callOf(1, "POST"));
    CHECK(Collector.waitForResult().End == upstream_outcome::Broken);
  }
}

TEST_CASE("a 503 with outcome not-run is refused; without a connection nothing "
          "is sent") {
  scripted_upstream Server(
      {"HTTP/1.1 503 Busy\r\nClementine-Outcome: not-run\r\n"
       "Content-Length: 0\r\n\r\n"});
  result_collector Collector;
  upstream_client Client({}, Collector);
  Client.start();
  Client.callUpstream(callOf(1, "POST"));
  CHECK(Collector.waitForResult().End == upstream_outcome::NotSent);
  Client.setUpstream(Server.address());
  Client.callUpstream(callOf(2, "POST"));
  CHECK(Collector.waitForResult().End == upstream_outcome::Refused);
  Client.setUpstream({"127.0.0.1", 1});
  Client.callUpstream(callOf(3, "POST"));
  CHECK(Collector.waitForResult().End == upstream_outcome::NotSent);
}
