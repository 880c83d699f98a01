#include "clementine_proxy/clementine_proxy.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>

#include <limits>
#include <string>
#include <vector>

using namespace clementine;
using namespace clementine::proxy;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

std::string manyFields(std::size_t Count, std::size_t Length = 1) {
  const std::string Value(Length, 'v');
  std::string Fields;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Fields += "a:" + Value + "\r\n";
  return Fields;
}

std::string requestWith(const std::string &Fields,
                        const std::string &Target = "/t",
                        const std::string &Method = "GET") {
  return Method + " " + Target + " HTTP/1.1\r\nHost: h\r\n" + Fields + "\r\n";
}

/// @returns the message as the other node reads it, or nothing.
template <class Message> std::optional<Message> passedOn(const Message &Sent) {
  std::string Frame;
  CHECK_NOTHROW(Frame = encodeFrame(Sent));
  std::size_t Offset = 0;
  peer_message Decoded;
  if (Frame.empty() ||
      decodeFrame(Frame, Offset, Decoded) != frame_progress::Complete)
    return std::nullopt;
  return std::get<Message>(Decoded);
}

attempt_request attemptOf(request Request) {
  attempt_request Attempt;
  Attempt.RequestId =
      findHeader(Request.Headers, "X-Request-Id").value_or("id");
  Attempt.Service = "s";
  Attempt.Request = std::move(Request);
  return Attempt;
}

/// Passes on what a reader accepts of @p Bytes.
/// @returns why the reader refused it, if so.
read_fault passOnRequest(std::string Bytes, std::uint64_t MaxHeader,
                         std::uint64_t MaxBody = 65536) {
  request_reader Reader(MaxHeader, MaxBody);
  const read_progress Progress = Reader.read(Bytes);
  REQUIRE(Progress != read_progress::Incomplete);
  if (Progress == read_progress::Complete) {
    const attempt_request Attempt = attemptOf(Reader.take());
    CHECK(passedOn(Attempt) == Attempt);
  }
  return Reader.fault();
}

read_fault passOnAnswer(std::string Bytes) {
  response_reader Reader(false, 65536);
  const read_progress Progress = Reader.read(Bytes);
  REQUIRE(Progress != read_progress::Incomplete);
  if (Progress == read_progress::Complete) {
    run_report Report;
    Report.Outcome = run_outcome::Completed;
    Report.Response = Reader.take();
    CHECK(passedOn(Report) == Report);
  }
  return Reader.fault();
}

/// Receives on one end of a link.
class recording_listener final : public peer_link_listener {
public:
  void linkMessage(const std::shared_ptr<peer_link> &,
                   peer_message Message) override {
    Received.push_back(std::move(Message));
  }
  void linkBufferChanged(std::size_t, std::size_t) override {}
  void linkClosed(const std::shared_ptr<peer_link> &) override { ++Closed; }

  std::vector<peer_message> Received;
  int Closed = 0;
};

} // namespace

TEST_CASE("a request within the caller's limits can be passed on, whatever it "
          "is made of") {
  constexpr std::uint64_t MaxHeader = 16384;
  const std::string Long(8000, 'x');
  CHECK(passOnRequest(requestWith(manyFields(1100)), MaxHeader) ==
        read_fault::None);
  CHECK(passOnRequest(requestWith(manyFields(3200)), MaxHeader) ==
        read_fault::None);
  CHECK(passOnRequest(requestWith(Long + ": v\r\n"), MaxHeader) ==
        read_fault::None);
  CHECK(passOnRequest(requestWith("", "/" + Long), MaxHeader) ==
        read_fault::None);
  CHECK(passOnRequest(requestWith("", "/t", Long), MaxHeader) ==
        read_fault::None);
  CHECK(passOnRequest(requestWith("X-Request-Id: " + Long + "\r\n"),
                      MaxHeader) == read_fault::None);
}

TEST_CASE("a caller's header of any size is passed on or refused by type, "
          "without limits in the configuration") {
  constexpr auto Highest = std::numeric_limits<std::uint64_t>::max();
  constexpr std::size_t LongestField = 65000;
  for (const std::size_t Length :
       {LongestField, std::size_t{65534}, std::size_t{300} << 10U,
        std::size_t{900} << 10U, std::size_t{3} << 20U}) {
    CAPTURE(Length);
    const std::string Long(Length, 'x');
    const auto Expected = [Length](std::size_t Longest) {
      return Length <= Longest ? read_fault::None : read_fault::HeaderTooLarge;
    };
    for (const std::string &Field :
         {"a: " + Long, "X-Request-Id: " + Long, Long + ": v"})
      CHECK(passOnRequest(requestWith(Field + "\r\n"), Highest, Highest) ==
            Expected(LongestField));
    CHECK(passOnRequest(requestWith("", "/" + Long), Highest, Highest) ==
          Expected(std::size_t{900} << 10U));
  }
  CHECK(passOnRequest(requestWith(manyFields(200000)), Highest, Highest) ==
        read_fault::None);
  CHECK(passOnRequest(requestWith(manyFields(300000)), Highest, Highest) ==
        read_fault::HeaderTooLarge);
}

TEST_CASE("trailer fields behind a chunked body can't make a request too large "
          "to pass on") {
  constexpr std::uint64_t MaxHeader = MaxCallerHeaderBytes;
  const std::string Chunked =
      requestWith("Transfer-Encoding: chunked\r\n" + manyFields(150000), "/t",
                  "POST") +
      "1\r\nb\r\n0\r\n";
  passOnRequest(Chunked + manyFields(150000) + "\r\n", MaxHeader);
  CHECK(passOnRequest(Chunked + manyFields(1200) + "\r\n", MaxHeader) ==
        read_fault::None);
}

TEST_CASE("an instance's answer with many or long fields can be passed on") {
  const std::string Start = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n";
  CHECK(passOnAnswer(Start + manyFields(1100) + "\r\n") == read_fault::None);
  CHECK(passOnAnswer(Start + manyFields(12000) + "\r\n") == read_fault::None);
  CHECK(passOnAnswer(Start + std::string(60000, 'x') + ": v\r\n\r\n") ==
        read_fault::None);
  CHECK(passOnAnswer(Start + manyFields(20000) + "\r\n") ==
        read_fault::HeaderTooLarge);
  passOnAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" +
               manyFields(12000) + "\r\n1\r\nb\r\n0\r\n" + manyFields(12000) +
               "\r\n");
}

TEST_CASE("a body larger than a message between nodes is refused by its "
          "length") {
  const auto FaultOf = [](std::uint64_t Length) {
    constexpr auto Highest = std::numeric_limits<std::uint64_t>::max();
    request_reader Reader(16384, Highest);
    std::string Bytes = requestWith(
        "Content-Length: " + std::to_string(Length) + "\r\n", "/t", "POST");
    Reader.read(Bytes);
    return Reader.fault();
  };
  CHECK(FaultOf(caller_limits{}.MaxBody) == read_fault::None);
  CHECK(FaultOf(MaxCallerBodyBytes) == read_fault::None);
  CHECK(FaultOf(MaxCallerBodyBytes + 1) == read_fault::BodyTooLarge);
}

TEST_CASE("a body exactly at its limit does not close the link that carries "
          "it") {
  asio::io_context Loop;
  tcp::acceptor Acceptor(Loop,
                         tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  tcp::socket Dialled(Loop);
  Dialled.connect(Acceptor.local_endpoint());
  recording_listener Listener;
  auto From = std::make_shared<peer_link>(std::move(Dialled), Listener, 1);
  auto To = std::make_shared<peer_link>(Acceptor.accept(), Listener, 2);
  From->start();
  To->start();
  To->Peer.emplace(); // Large messages are accepted behind the peer's hello.
  request Request;
  Request.Method = "POST";
  Request.Target = "/t";
  Request.Body.assign(MaxCallerBodyBytes, 'b');
  From->send(attemptOf(Request));
  for (int Step = 0;
       Step < 100000 && Listener.Received.empty() && Listener.Closed == 0;
       ++Step)
    Loop.run_one_for(std::chrono::milliseconds(20));
  CHECK(Listener.Closed == 0);
  REQUIRE(Listener.Received.size() == 1);
  CHECK(std::get<attempt_request>(Listener.Received[0]).Request.Body.size() ==
        MaxCallerBodyBytes);
  From->close();
  To->close();
  Loop.run_for(std::chrono::milliseconds(20));
}
