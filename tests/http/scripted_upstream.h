#ifndef CLEMENTINE_TESTS_HTTP_SCRIPTED_UPSTREAM_H
#define CLEMENTINE_TESTS_HTTP_SCRIPTED_UPSTREAM_H

#include "clementine_http/clementine_http.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace clementine {

/// An upstream that answers each request with the next bytes of its script. An
/// answer that does not end with an empty line and "ok" closes the connection,
/// after it has been followed by the same piece of bytes until the client
/// closes, if there is such a piece.
class scripted_upstream {
public:
  explicit scripted_upstream(std::vector<std::string> Answers,
                             std::string EndlessPiece = "")
      : Answers(std::move(Answers)), EndlessPiece(std::move(EndlessPiece)),
        Acceptor(Context, boost::asio::ip::tcp::endpoint(
                              boost::asio::ip::make_address("127.0.0.1"), 0)),
        Thread([this] { serve(); }) {}

  ~scripted_upstream() {
    Stopping = true;
    boost::system::error_code Ignored;
    boost::asio::ip::tcp::socket Wake(Context);
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
      boost::asio::ip::tcp::socket Socket(Context);
      Acceptor.accept(Socket);
      while (!Stopping && serveOne(Socket)) {
      }
    }
  }

  bool serveOne(boost::asio::ip::tcp::socket &Socket) {
    boost::system::error_code Error;
    boost::asio::streambuf Buffer;
    boost::asio::read_until(Socket, Buffer, "\r\n\r\n", Error);
    if (Error)
      return false;
    const std::size_t Number = static_cast<std::size_t>(Requests++);
    const std::string Answer = Number < Answers.size() ? Answers[Number] : "";
    boost::asio::write(Socket, boost::asio::buffer(Answer), Error);
    while (!EndlessPiece.empty() && !Error && !Stopping)
      boost::asio::write(Socket, boost::asio::buffer(EndlessPiece), Error);
    return !Error && Answer.ends_with("\r\n\r\nok");
  }

  const std::vector<std::string> Answers;
  const std::string EndlessPiece;
  boost::asio::io_context Context;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

/// Receives the results of calls, one at a time.
class result_collector final : public upstream_listener {
public:
  void upstreamCallEnded(upstream_result Result) override {
    Results.tryPush(std::move(Result));
  }
  upstream_result waitForResult() {
    const auto Taken = Results.takeAll(std::chrono::seconds(20));
    REQUIRE(Taken.size() == 1);
    return Taken.front();
  }

private:
  bounded_ring<upstream_result> Results{16};
};

/// @returns a call whose request has a body if @p Method is POST.
inline upstream_call callOf(std::uint64_t Token, const std::string &Method) {
  upstream_call Call;
  Call.Token = {0, Token};
  Call.Operation = "book";
  Call.Context.Key = "k";
  Call.Payload = {Method, {}, Method == "POST" ? "body" : ""};
  Call.Timeout = std::chrono::seconds(10);
  return Call;
}

} // namespace clementine

#endif
