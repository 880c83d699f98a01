#include "scripted_instance.h"

#include <doctest/doctest.h>

using namespace clementine;
using namespace clementine::proxy;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t MaxHeader = 1024;
constexpr std::uint64_t MaxBody = 64;

struct chunked_body {
  std::string Bytes;
  std::string Content;
};

/// The ways in which a body in chunks can end.
const std::vector<chunked_body> ChunkedBodies = {
    {"0\r\n\r\n", ""},
    {"000\r\n\r\n", ""},
    {"0;e=1\r\n\r\n", ""},
    {"0\r\nX-End: 1\r\n\r\n", ""},
    {"1\r\nx\r\n0\r\n\r\n", "x"},
    {"2;e\r\nxy\r\n1\r\nz\r\n0;e\r\nX-End: 1\r\nX-Two: 2\r\n\r\n", "xyz"},
};

std::string requestWith(const std::string &Body) {
  return "PUT /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" +
         Body;
}

std::string responseWith(const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Proof: p\r\n"
         "Transfer-Encoding: chunked\r\n\r\n" +
         Body;
}

/// Reads a message that arrives in three pieces, each of them offered to the
/// reader twice. @returns what the reader said last.
template <class Reader>
read_progress readInPieces(Reader &Target, const std::string &Bytes,
                           std::size_t First, std::size_t Second) {
  std::string Buffer;
  read_progress Progress = read_progress::Incomplete;
  for (const auto &Piece :
       {Bytes.substr(0, First), Bytes.substr(First, Second - First),
        Bytes.substr(Second)}) {
    Buffer += Piece;
    Progress = Target.read(Buffer);
    if (Progress == read_progress::Incomplete)
      Progress = Target.read(Buffer);
  }
  return Progress;
}

/// Calls @p Check with each pair of places at which @p Bytes can be split.
template <class Check>
void forEachSplit(const std::string &Bytes, const Check &Split) {
  for (std::size_t First = 0; First < Bytes.size(); ++First)
    for (std::size_t Second = First; Second < Bytes.size(); ++Second)
      Split(First, Second);
}

} // namespace

TEST_CASE("a request in chunks is read however it is split, also if its bytes "
          "are offered twice") {
  for (const chunked_body &Body : ChunkedBodies) {
    const std::string Bytes = requestWith(Body.Bytes);
    CAPTURE(Bytes);
    forEachSplit(Bytes, [&](std::size_t First, std::size_t Second) {
      request_reader Reader(MaxHeader, MaxBody);
      REQUIRE(readInPieces(Reader, Bytes, First, Second) ==
              read_progress::Complete);
      REQUIRE(Reader.take().Body == Body.Content);
    });
  }
}

TEST_CASE("an answer in chunks is read however it is split, also if its bytes "
          "are offered twice") {
  for (const chunked_body &Body : ChunkedBodies) {
    const std::string Bytes = responseWith(Body.Bytes);
    CAPTURE(Bytes);
    forEachSplit(Bytes, [&](std::size_t First, std::size_t Second) {
      response_reader Reader(false, MaxBody);
      REQUIRE(readInPieces(Reader, Bytes, First, Second) ==
              read_progress::Complete);
      REQUIRE(Reader.take().Body == Body.Content);
    });
  }
}

TEST_CASE("broken chunks are rejected however they are split") {
  for (const std::string Body :
       {"0\r\nX\r\n\r\n", "x\r\n\r\n\r\n", "1\r\nxy0\r\n\r\n", "0 \r\n\r\n\r\n",
        "\r\n0\r\n\r\n"}) {
    const std::string Bytes = responseWith(Body);
    CAPTURE(Bytes);
    forEachSplit(Bytes, [&](std::size_t First, std::size_t Second) {
      response_reader Reader(false, MaxBody);
      REQUIRE(readInPieces(Reader, Bytes, First, Second) ==
              read_progress::Failed);
    });
  }
}

// The node beside the instance aborted: review/11.
TEST_CASE("an answer in chunks that breaks off at any byte ends its run only") {
  const std::string Whole = responseWith("0\r\n\r\n");
  for (std::size_t Cut = Whole.size() - 5; Cut < Whole.size(); ++Cut) {
    CAPTURE(Cut);
    scripted_instance Instance;
    Instance.call(1, "a");
    scripted_instance::socket *Socket = Instance.request("a");
    REQUIRE(Socket != nullptr);
    scripted_instance::send(*Socket, Whole.substr(0, Cut));
    Instance.runFor(20ms);
    Socket->close();
    REQUIRE(Instance.awaitResults(1));
    CHECK(Instance.Results[0].Outcome == run_outcome::Unknown);
  }
}

TEST_CASE("messages between nodes are read however their frames are split") {
  const std::vector<peer_message> Sent = {
      run_query{{1, 2}}, run_cancel{{3, 4}, true}, config_request{}};
  std::string Bytes;
  for (const peer_message &Each : Sent)
    Bytes += encodeFrame(Each, std::chrono::microseconds(7));
  forEachSplit(Bytes, [&](std::size_t First, std::size_t Second) {
    std::vector<peer_message> Found;
    std::size_t Offset = 0;
    for (const std::size_t End : {First, First, Second, Bytes.size()}) {
      peer_message Message;
      while (decodeFrame(Bytes.substr(0, End), Offset, Message) ==
             frame_progress::Complete)
        Found.push_back(Message);
    }
    REQUIRE(Found == Sent);
  });
}
