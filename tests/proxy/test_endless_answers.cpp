#include "clementine_proxy/clementine_proxy.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace clementine;
using namespace clementine::proxy;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

const header_names Names{"X-Id",       "X-Deadline", "X-Proof",
                         "X-Expected", "X-Not-Run",  "X-Caller"};

/// How far in the future the deadline of each run lies. A run that ends well
/// before it was ended by a limit on bytes.
constexpr std::chrono::seconds TimeLeft{20};
constexpr std::chrono::seconds LimitOnWaiting{8};
/// Bytes that sockets and parsers may hold in addition to the limits.
constexpr std::uint64_t SlackBytes = std::uint64_t{24} << 20U;

/// An instance that answers each request with a prefix, then with the same
/// piece of bytes over and over until the other side closes the connection.
class endless_instance {
public:
  endless_instance(asio::io_context &Loop, std::string Prefix,
                   std::string Piece)
      : Acceptor(Loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
        Prefix(std::move(Prefix)), Piece(std::move(Piece)) {
    accept();
  }

  endpoint address() const {
    return {"127.0.0.1", Acceptor.local_endpoint().port()};
  }

  std::uint64_t SentBytes = 0;
  int Closed = 0;

private:
  struct connection {
    explicit connection(tcp::socket Socket) : Socket(std::move(Socket)) {}
    tcp::socket Socket;
    std::string Request;
  };

  void accept() {
    Acceptor.async_accept([this](const auto &Error, tcp::socket Socket) {
      if (Error)
        return;
      auto Connection = std::make_shared<connection>(std::move(Socket));
      asio::async_read_until(
          Connection->Socket, asio::dynamic_buffer(Connection->Request),
          "\r\n\r\n", [this, Connection](const auto &Failed, std::size_t) {
            if (!Failed)
              send(Connection, Prefix);
          });
      accept();
    });
  }

  void send(const std::shared_ptr<connection> &Connection,
            const std::string &Bytes) {
    asio::async_write(Connection->Socket, asio::buffer(Bytes),
                      [this, Connection](const auto &Error, std::size_t Sent) {
                        SentBytes += Sent;
                        if (Error)
                          ++Closed;
                        else
                          send(Connection, Piece);
                      });
  }

  tcp::acceptor Acceptor;
  const std::string Prefix;
  const std::string Piece;
};

/// A client of one endless instance and the results of its runs.
struct fixture {
  fixture(const std::string &Prefix, const std::string &Piece)
      : Instance(Loop, Prefix, Piece),
        Client(Loop, settings(), Names,
               [this](const attempt_id &, instance_result Result) {
                 Results.push_back(std::move(Result));
               }) {}

  instance_client_settings settings() const {
    instance_client_settings Settings;
    Settings.Address = Instance.address();
    return Settings;
  }

  void call(std::uint64_t Number) {
    instance_call Call;
    Call.Attempt = {1, Number};
    Call.Instance = "i-1";
    Call.Deadline = boot_clock().now() + TimeLeft;
    Call.Request = {"GET", "/", {{"Host", "h"}, {"X-Id", "r"}}, "", true};
    Client.call(std::move(Call));
  }

  /// Runs the loop until @p Count runs have ended, for a limited time.
  bool awaitResults(std::size_t Count) {
    const instant End = boot_clock().now() + LimitOnWaiting;
    while (Results.size() < Count && boot_clock().now() < End)
      Loop.run_one_for(20ms);
    return Results.size() >= Count;
  }

  bool awaitClosed(int Count) {
    const instant End = boot_clock().now() + LimitOnWaiting;
    while (Instance.Closed < Count && boot_clock().now() < End)
      Loop.run_one_for(20ms);
    return Instance.Closed >= Count;
  }

  asio::io_context Loop;
  endless_instance Instance;
  std::vector<instance_result> Results;
  instance_client Client;
};

const std::string Head = "HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Proof: p\r\n";

struct endless_case {
  const char *Name;
  std::string Prefix;
  std::string Piece;
};

} // namespace

TEST_CASE("an answer without end is cut off before its deadline, whatever part "
          "of it is endless") {
  const std::vector<endless_case> Cases = {
      {"status line", "HTTP/1.1 200 ", std::string(4096, 'x')},
      {"header value", "HTTP/1.1 200 OK\r\nX-Long: ", std::string(4096, 'x')},
      {"field name", "HTTP/1.1 200 OK\r\n", std::string(4096, 'x')},
      {"folded field", "HTTP/1.1 200 OK\r\nX-Long: x\r\n",
       " " + std::string(4096, 'x') + "\r\n"},
      {"empty lines", "", "\r\n\r\n"},
      {"header fields", "HTTP/1.1 200 OK\r\n",
       "X-Field: " + std::string(1000, 'x') + "\r\n"},
      {"bytes that are no answer", "", std::string(4096, '\0')},
      {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"answers to other requests", "",
       "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n"},
      {"chunk size", Head + "Transfer-Encoding: chunked\r\n\r\n",
       std::string(4096, '0')},
      {"chunk extension",
       Head + "Transfer-Encoding: chunked\r\n\r\n5;e=", std::string(4096, 'x')},
      {"extensions of many chunks", Head + "Transfer-Encoding: chunked\r\n\r\n",
       "1;e=" + std::string(4000, 'x') + "\r\na\r\n"},
      {"trailer fields", Head + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
       "X-Trailer: " + std::string(1000, 'x') + "\r\n"},
      {"chunks", Head + "Transfer-Encoding: chunked\r\n\r\n",
       "1000\r\n" + std::string(4096, 'x') + "\r\n"},
      {"body that ends with the connection", Head + "\r\n",
       std::string(65536, 'x')},
  };
  for (const endless_case &Case : Cases) {
    INFO(std::string(Case.Name));
    fixture Test(Case.Prefix, Case.Piece);
    Test.call(1);
    CHECK(Test.awaitResults(1));
    if (!Test.Results.empty()) {
      CHECK(Test.Results[0].Outcome == run_outcome::Unknown);
      CHECK(Test.Results[0].Cause == run_cause::NoValidResponse);
    }
    CHECK(Test.awaitClosed(1));
    CHECK(Test.Instance.SentBytes <
          instance_client_settings().MaxBody + SlackBytes);
  }
}

TEST_CASE("many answers without end together hold a bounded number of bytes") {
  constexpr int Runs = 12;
  fixture Test(Head + "\r\n", std::string(65536, 'x'));
  for (int Run = 0; Run < Runs; ++Run)
    Test.call(static_cast<std::uint64_t>(Run) + 1);
  CHECK(Test.awaitResults(Runs));
  CHECK(Test.awaitClosed(Runs));
  CHECK(Test.Client.mostBufferedBytes() <=
        instance_client_settings().MaxBufferedBytes);
}

TEST_CASE(
    "an aborted run no longer counts towards the limit on buffered bytes") {
  fixture Test(Head + "\r\n", std::string(65536, 'x'));
  Test.call(1);
  const instant End = boot_clock().now() + LimitOnWaiting;
  while (Test.Client.bufferedBytes() < 65536 && boot_clock().now() < End)
    Test.Loop.run_one_for(20ms);
  REQUIRE(Test.Client.bufferedBytes() >= 65536);
  Test.Client.abort({1, 1});
  CHECK(Test.Client.bufferedBytes() == 0);
}

TEST_CASE("bytes beyond the length of an answer close its connection and do "
          "not harm it") {
  fixture Test(Head + "Content-Length: 2\r\n\r\nok", std::string(4096, 'x'));
  Test.call(1);
  REQUIRE(Test.awaitResults(1));
  CHECK(Test.Results[0].Outcome == run_outcome::Completed);
  CHECK(Test.Results[0].Response.Body == "ok");
  Test.call(2);
  REQUIRE(Test.awaitResults(2));
  CHECK(Test.Results[1].Response.Body == "ok");
}
