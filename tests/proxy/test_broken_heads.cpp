/// Heads that no answer can have: they must not reach a caller as answers.

#include "scripted_instance.h"

#include <doctest/doctest.h>

using namespace clementine;
using namespace clementine::proxy;

namespace {

const std::string Start = "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Proof: p\r\n";

/// @returns whether a reader takes @p Answer for a complete one, if it arrives
/// in pieces of @p Step bytes and its connection then ends.
bool isTakenForWhole(const std::string &Answer, std::size_t Step) {
  response_reader Reader(false, 1024);
  std::string Input;
  for (std::size_t At = 0; At < Answer.size(); At += Step) {
    Input += Answer.substr(At, Step);
    const read_progress Progress = Reader.read(Input);
    if (Progress != read_progress::Incomplete)
      return Progress == read_progress::Complete;
  }
  return Reader.readEnd() == read_progress::Complete;
}

/// @returns an answer that has @p Line behind its other lines, or before them.
std::string answerWith(const std::string &Line, const std::string &End,
                       bool IsFirst = false) {
  const std::size_t At = IsFirst ? Start.find('\n') + 1 : Start.size();
  std::string Answer = Start;
  return Answer.insert(At, Line + "\r\n") + End;
}

void checkIsNoAnswer(const std::string &Answer) {
  CAPTURE(Answer);
  for (const std::size_t Step : {Answer.size(), std::size_t{7}, std::size_t{1}})
    CHECK_FALSE(isTakenForWhole(Answer, Step));
}

/// A rest of an answer for each way to say where its body ends.
const std::vector<std::string> Ends = {
    "Content-Length: 5\r\n\r\nwhole", "\r\nwhole",
    "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"};

bool isTokenByte(unsigned char Byte) {
  constexpr std::string_view Others = "!#$%&'*+-.^_`|~";
  return (Byte >= '0' && Byte <= '9') || (Byte >= 'A' && Byte <= 'Z') ||
         (Byte >= 'a' && Byte <= 'z') ||
         Others.find(static_cast<char>(Byte)) != std::string_view::npos;
}

} // namespace

TEST_CASE("a status that no answer can have does not reach the caller") {
  for (const char *Status : {"000", "001", "012", "099", "101", "600", "999"})
    for (const std::string &End : Ends)
      checkIsNoAnswer("HTTP/1.1 " + std::string(Status) +
                      " Trouble\r\nX-Id: a\r\nX-Proof: p\r\n" + End);
}

TEST_CASE("an answer with the status 000 leaves its run without an answer") {
  for (const std::string &End : Ends) {
    CAPTURE(End);
    scripted_instance Test;
    Test.call(1, "a");
    auto *Connection = Test.request("a");
    REQUIRE(Connection != nullptr);
    scripted_instance::send(*Connection,
                            "HTTP/1.1 000 \r\nX-Id: a\r\nX-Proof: p\r\n" + End);
    scripted_instance::close(*Connection);
    REQUIRE(Test.awaitResults(1));
    CHECK(Test.Results[0].Outcome == run_outcome::Unknown);
    CHECK(Test.Results[0].Cause == run_cause::NoValidResponse);
  }
}

TEST_CASE("a field name with a byte that no name can hold spoils its answer") {
  for (unsigned Value = 0; Value < 256; ++Value) {
    const char Byte = static_cast<char>(Value);
    if (isTokenByte(static_cast<unsigned char>(Value)) || Byte == ':')
      continue;
    for (const std::string &Name :
         {std::string(1, Byte) + "X-Name", std::string("X-") + Byte + "Name",
          std::string("X-Name") + Byte, std::string(1, Byte)})
      for (const std::string &End : Ends) {
        checkIsNoAnswer(answerWith(Name + ": v", End));
        checkIsNoAnswer(answerWith(Name + ": v", End, true));
      }
  }
}

TEST_CASE("a length whose field name holds a blank does not give its answer "
          "another body") {
  for (const std::string Line :
       {"Content-Length : 5", " Content-Length: 5", "\tContent-Length: 5",
        "Content-Length\t: 5", "Content Length: 5",
        "Transfer-Encoding : chunked", " Transfer-Encoding: chunked", " : 5",
        ": 5", "Content-Length"})
    checkIsNoAnswer(answerWith(Line, "\r\n5\r\nwhole\r\n0\r\n\r\n"));
}

TEST_CASE("a control byte in a field value or a reason spoils its answer") {
  for (unsigned Value = 0; Value < 32; ++Value) {
    const char Byte = static_cast<char>(Value);
    if (Byte == '\t')
      continue;
    checkIsNoAnswer(answerWith(std::string("X-Name: v") + Byte, Ends[0]));
    std::string Answer = answerWith("X-Name: v", Ends[0]);
    checkIsNoAnswer(Answer.insert(Answer.find("OK") + 1, 1, Byte));
  }
}

TEST_CASE("an answer whose body is coded in a way that is not undone here does "
          "not reach the caller") {
  for (const std::string Coding : {"gzip", "gzip, chunked", "chunked, gzip",
                                   "identity", "xchunked", "chunked, chunked"})
    checkIsNoAnswer(answerWith("Transfer-Encoding: " + Coding,
                               "\r\n5\r\nwhole\r\n0\r\n\r\n"));
  checkIsNoAnswer(Start + "Transfer-Encoding: chunked\r\n"
                          "Transfer-Encoding: gzip\r\n\r\n"
                          "5\r\nwhole\r\n0\r\n\r\n");
}

TEST_CASE("an answer in good order is read in whatever pieces it arrives") {
  for (const std::string &End : Ends)
    for (const std::size_t Step :
         {std::size_t{1000}, std::size_t{7}, std::size_t{1}}) {
      CAPTURE(End);
      CAPTURE(Step);
      CHECK(isTakenForWhole(
          answerWith("X-Empty:\r\nX-!#$%&'*+-.^_`|~0: \xc3\xa9 \t v", End),
          Step));
    }
}
