#include "clementine_proxy/clementine_proxy.h"

#include <doctest/doctest.h>

#include <limits>

using namespace clementine;
using namespace clementine::proxy;

namespace {

constexpr std::uint64_t MaxHeader = 1024;
constexpr std::uint64_t MaxBody = 64;

read_fault faultOf(std::string Bytes) {
  request_reader Reader(MaxHeader, MaxBody);
  return Reader.read(Bytes) == read_progress::Failed ? Reader.fault()
                                                     : read_fault::None;
}

} // namespace

TEST_CASE(
    "pipelined requests are parsed correctly however the bytes are split") {
  const std::string Bytes = "GET /a?x=1 HTTP/1.1\r\nHost: h\r\n\r\n"
                            "POST /b HTTP/1.1\r\nHost: h\r\n"
                            "Content-Length: 3\r\n\r\nabc"
                            "PUT /c HTTP/1.1\r\nHost: h\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n"
                            "2\r\nxy\r\n1\r\nz\r\n0\r\n\r\n";
  for (const std::size_t Piece : {1U, 7U, 1000U}) {
    request_reader Reader(MaxHeader, MaxBody);
    std::string Buffer;
    std::vector<request> Found;
    for (std::size_t At = 0; At < Bytes.size(); At += Piece) {
      Buffer += Bytes.substr(At, Piece);
      while (Reader.read(Buffer) == read_progress::Complete)
        Found.push_back(Reader.take());
    }
    REQUIRE(Found.size() == 3);
    CHECK(Found[0].path() == "/a");
    CHECK(Found[1].Body == "abc");
    CHECK(Found[2].Body == "xyz");
    CHECK(Buffer.empty());
  }
}

TEST_CASE(
    "malformed requests and requests with ambiguous framing are rejected") {
  CHECK(faultOf("GET / HTTP/1.1\r\n\r\n") == read_fault::Malformed);
  CHECK(faultOf("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n") ==
        read_fault::Malformed);
  CHECK(faultOf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
                "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n") ==
        read_fault::Malformed);
  CHECK(faultOf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
                "Content-Length: 2\r\n\r\nab") == read_fault::Malformed);
  CHECK(faultOf("POST / HTTP/1.1\r\nHost: a\r\n"
                "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n") ==
        read_fault::Malformed);
  CHECK(faultOf("GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n") ==
        read_fault::Malformed);
  CHECK(faultOf("no request at all\r\n\r\n") == read_fault::Malformed);
}

TEST_CASE(
    "requests over the header or body limit report which limit was exceeded") {
  CHECK(faultOf("GET / HTTP/1.1\r\nHost: a\r\nX: " +
                std::string(2 * MaxHeader, 'x') + "\r\n\r\n") ==
        read_fault::HeaderTooLarge);
  CHECK(faultOf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 65\r\n\r\n") ==
        read_fault::BodyTooLarge);
}

TEST_CASE(
    "a response ends at its length or at an orderly close, else is truncated") {
  response_reader Reader(false, MaxBody);
  std::string Bytes = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
                      "Content-Length: 2\r\n\r\nokHTTP/1.1 200";
  REQUIRE(Reader.read(Bytes) == read_progress::Complete);
  CHECK(Reader.take().Body == "ok");
  CHECK(Bytes == "HTTP/1.1 200");

  response_reader Unframed(false, MaxBody);
  Bytes = "HTTP/1.1 200 OK\r\n\r\npart";
  CHECK(Unframed.read(Bytes) == read_progress::Incomplete);
  REQUIRE(Unframed.readEnd() == read_progress::Complete);
  CHECK(Unframed.take().Body == "part");

  response_reader Interrupted(false, MaxBody);
  Bytes = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart";
  CHECK(Interrupted.read(Bytes) == read_progress::Incomplete);
  CHECK(Interrupted.readEnd() == read_progress::Failed);
  CHECK(Interrupted.fault() == read_fault::Truncated);
}

TEST_CASE("framing of a response that never ends is refused at a limit") {
  const std::string Head =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const char *Start : {"5;e=", "0\r\nX-Trailer: "}) {
    CAPTURE(Start);
    response_reader Reader(false, MaxBody);
    std::string Buffer = Head + Start;
    std::size_t Fed = 0;
    while (Reader.read(Buffer) == read_progress::Incomplete &&
           Fed < std::size_t{1024} * 1024) {
      Buffer += std::string(4096, 'x');
      Fed += 4096;
    }
    CHECK(Reader.fault() == read_fault::HeaderTooLarge);
  }
  response_reader Interim(false, MaxBody);
  read_progress Progress = read_progress::Incomplete;
  for (int Count = 0; Count < 10000 && Progress == read_progress::Incomplete;
       ++Count) {
    std::string Buffer = "HTTP/1.1 102 Processing\r\n\r\n";
    Progress = Interim.read(Buffer);
  }
  CHECK(Progress == read_progress::Failed);
}

TEST_CASE("hop-by-hop headers are not forwarded") {
  header_list Headers = {{"connection", "x-hop, close"}, {"X-Hop", "1"},
                         {"Keep-Alive", "timeout=5"},    {"X-End", "2"},
                         {"Content-Length", "7"},        {"TE", "trailers"}};
  removeConnectionHeaders(Headers);
  CHECK(Headers == header_list{{"X-End", "2"}});
}

TEST_CASE(
    "peer messages round-trip through frames; corrupted frames do not crash") {
  attempt_request AttemptRequest;
  AttemptRequest.Attempt = {1, 2};
  AttemptRequest.Service = "s";
  AttemptRequest.HasLowestPriority = true;
  AttemptRequest.Request = {
      "POST", "/p", {{"A", "b"}}, std::string(1, '\0'), true};
  AttemptRequest.Origin = {"n", 5, 6};
  run_report Report;
  Report.Outcome = run_outcome::Completed;
  Report.Response = {200, {{"C", "d"}}, "body", true};
  Report.ConfigVersion = 9;
  Report.IsProven = true;
  config_transfer Transfer;
  Transfer.Config.Version = 7;
  Transfer.Config.Routes = {{"r",
                             "h",
                             "/p/",
                             true,
                             std::chrono::seconds(1),
                             std::chrono::seconds(2),
                             1,
                             2,
                             {{"s", 3}}}};
  const std::vector<peer_message> Messages = {
      peer_hello{},
      AttemptRequest,
      Report,
      run_query{{3, 4}, {"n", 5, 7}},
      run_cancel{},
      peer_probe{5},
      peer_status{},
      config_request{},
      Transfer,
      record_update{{"n", 5, "z", {"10.0.0.1", 7000}, "s", "i-1", 65}, 9, 4}};
  std::string Stream;
  for (const peer_message &Message : Messages)
    Stream += encodeFrame(Message);
  std::size_t Offset = 0;
  for (const peer_message &Message : Messages) {
    peer_message Decoded;
    REQUIRE(decodeFrame(Stream, Offset, Decoded) == frame_progress::Complete);
    CHECK(Decoded == Message);
  }
  CHECK(Offset == Stream.size());
  for (std::size_t At = 0; At < Stream.size(); ++At) {
    std::string Damaged = Stream;
    Damaged[At] = static_cast<char>(~Damaged[At]);
    std::size_t From = 0;
    peer_message Decoded;
    while (decodeFrame(Damaged, From, Decoded) == frame_progress::Complete) {
    }
    CHECK(From <= Damaged.size());
  }
}

TEST_CASE("a frame whose fields no node can have sent is malformed") {
  const auto ProgressOf = [](const peer_message &Message) {
    const std::string Frame = encodeFrame(Message);
    std::size_t Offset = 0;
    peer_message Decoded;
    return decodeFrame(Frame, Offset, Decoded);
  };
  run_report Report;
  Report.Outcome = static_cast<run_outcome>(9);
  CHECK(ProgressOf(Report) == frame_progress::Malformed);
  Report.Outcome = run_outcome::Completed;
  CHECK(ProgressOf(Report) == frame_progress::Malformed); // No status.
  Report.Response.Status = 200;
  CHECK(ProgressOf(Report) == frame_progress::Complete);
  Report.Cause = static_cast<run_cause>(200);
  CHECK(ProgressOf(Report) == frame_progress::Malformed);
  attempt_request AttemptRequest;
  AttemptRequest.TimeLeftMicroseconds =
      std::numeric_limits<std::int64_t>::max() / 2;
  CHECK(ProgressOf(AttemptRequest) == frame_progress::Malformed);
  AttemptRequest.TimeLeftMicroseconds = 1000000;
  CHECK(ProgressOf(AttemptRequest) == frame_progress::Complete);
  config_transfer Transfer;
  Transfer.Config.Version = 3;
  Transfer.Config.Routes = {{"r",
                             "h",
                             "/p/",
                             true,
                             std::chrono::seconds(1),
                             std::chrono::seconds(1),
                             0,
                             1,
                             {}}};
  CHECK(ProgressOf(Transfer) == frame_progress::Malformed);
  Transfer.Config.Routes[0].Services = {{"s", 0}};
  CHECK(ProgressOf(Transfer) == frame_progress::Malformed);
  Transfer.Config.Routes[0].Services = {{"s", 1}};
  CHECK(ProgressOf(Transfer) == frame_progress::Complete);
  Transfer.Config.Routes[0].Timeout = duration::max();
  CHECK(ProgressOf(Transfer) == frame_progress::Malformed);
}

TEST_CASE("fields that later versions add to a frame do not disturb earlier "
          "ones, and may be missing") {
  peer_hello Hello;
  Hello.Self.Node = "n";
  Hello.Self.Departed = instance_run{"i-1", 17};
  Hello.ReceiverDeparture = instance_run{"i-2", 18};
  const std::string Frame = encodeFrame(Hello, std::chrono::microseconds(5));
  std::size_t Offset = 0;
  peer_message Decoded;
  std::optional<std::chrono::microseconds> SentAt;
  REQUIRE(decodeFrame(Frame, Offset, Decoded, SentAt) ==
          frame_progress::Complete);
  CHECK(std::get<peer_hello>(Decoded) == Hello);
  CHECK(SentAt == std::chrono::microseconds(5));

  // A frame of the version before: the message alone.
  peer_hello Plain;
  Plain.Self.Node = "n";
  std::string Longer = encodeFrame(Plain);
  constexpr std::size_t ExtensionBytes = 8 + 2 * (1 + 4 + 8);
  std::string Earlier = Longer.substr(0, Longer.size() - ExtensionBytes);
  Earlier[3] = static_cast<char>(Earlier.size() - 4);
  Offset = 0;
  REQUIRE(decodeFrame(Earlier, Offset, Decoded, SentAt) ==
          frame_progress::Complete);
  CHECK(std::get<peer_hello>(Decoded) == Plain);
  CHECK_FALSE(SentAt.has_value());
}

TEST_CASE(
    "a frame of a version that does not number attempts has no number and "
    "proves nothing") {
  constexpr std::size_t OriginBytes = 4 + 8 + 8;
  const auto WithoutExtension = [](const peer_message &Message,
                                   std::size_t ExtensionBytes) {
    std::string Frame = encodeFrame(Message, std::chrono::microseconds(5));
    Frame.resize(Frame.size() - ExtensionBytes);
    Frame[3] = static_cast<char>(Frame.size() - 4);
    std::size_t Offset = 0;
    peer_message Decoded;
    std::optional<std::chrono::microseconds> SentAt;
    REQUIRE(decodeFrame(Frame, Offset, Decoded, SentAt) ==
            frame_progress::Complete);
    CHECK(SentAt == std::chrono::microseconds(5));
    return Decoded;
  };
  attempt_request Order;
  Order.Attempt = {1, 2};
  CHECK(std::get<attempt_request>(WithoutExtension(Order, OriginBytes)) ==
        Order);
  const run_query Query{{1, 2}};
  CHECK(std::get<run_query>(WithoutExtension(Query, OriginBytes)) == Query);
  const run_report Report;
  CHECK(std::get<run_report>(WithoutExtension(Report, 1)) == Report);
}

TEST_CASE("relayed records count in the order of the store's histories, not of "
          "revisions that a restored store gives out again") {
  const auto UpdateAt = [](std::int64_t Revision,
                           std::optional<std::uint64_t> Era) {
    record_update Update;
    Update.Revision = Revision;
    Update.Era = Era;
    return Update;
  };
  const store_position LastRead{3, 100};
  CHECK(isNewerThanRead(UpdateAt(101, 3), LastRead));
  CHECK_FALSE(isNewerThanRead(UpdateAt(100, 3), LastRead));
  CHECK(isNewerThanRead(UpdateAt(60, 4), LastRead));
  CHECK_FALSE(isNewerThanRead(UpdateAt(160, 2), LastRead));
  // A node of an earlier version, or a store without histories.
  CHECK(isNewerThanRead(UpdateAt(101, std::nullopt), LastRead));
  CHECK_FALSE(isNewerThanRead(UpdateAt(100, std::nullopt), LastRead));

  // An update of the version before lacks its era.
  std::string Frame =
      encodeFrame(UpdateAt(101, 3), std::chrono::microseconds(5));
  constexpr std::size_t EraBytes = 1 + 8;
  Frame.resize(Frame.size() - EraBytes);
  Frame[3] = static_cast<char>(Frame.size() - 4);
  std::size_t Offset = 0;
  peer_message Decoded;
  REQUIRE(decodeFrame(Frame, Offset, Decoded) == frame_progress::Complete);
  CHECK(std::get<record_update>(Decoded) == UpdateAt(101, std::nullopt));
}
