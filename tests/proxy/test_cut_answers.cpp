#include "scripted_instance.h"

#include <doctest/doctest.h>

using namespace clementine;
using namespace clementine::proxy;
using namespace std::chrono_literals;

namespace {

const std::string Start = "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Proof: p\r\n";

struct framing {
  const char *Name;
  std::string Bytes;
  std::string Body;
  std::string Method = "GET";
  /// From how many bytes on an orderly close completes the answer, and whether
  /// a reset does too; all of its bytes if it states where it ends.
  std::size_t WholeFrom = 0;
  bool StatesItsEnd = true;
};

std::vector<framing> framings() {
  std::vector<framing> All = {
      {"length", Start + "Content-Length: 5\r\n\r\nwhole", "whole"},
      {"length 0", Start + "Content-Length: 0\r\n\r\n", ""},
      {"chunks",
       Start + "Transfer-Encoding: chunked\r\n\r\n"
               "3;e=1\r\nwho\r\n2\r\nle\r\n0\r\n\r\n",
       "whole"},
      {"chunks and a trailer",
       Start + "Transfer-Encoding: chunked\r\n\r\n"
               "5\r\nwhole\r\n0\r\nX-End: 1\r\n\r\n",
       "whole"},
      {"interim answers",
       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
       "X-Id: a\r\n\r\n" +
           Start + "Content-Length: 5\r\n\r\nwhole",
       "whole"},
      {"HEAD", Start + "Content-Length: 5\r\n\r\n", "", "HEAD"},
      {"204", "HTTP/1.1 204 No Content\r\nX-Id: a\r\nX-Proof: p\r\n\r\n", ""},
      {"304", "HTTP/1.1 304 Not Modified\r\nX-Id: a\r\nX-Proof: p\r\n\r\n", ""},
      {"no length", Start + "\r\nwhole", "whole"}};
  for (framing &Each : All)
    Each.WholeFrom = Each.Bytes.size();
  All.back().WholeFrom -= All.back().Body.size();
  All.back().StatesItsEnd = false;
  return All;
}

} // namespace

TEST_CASE("an answer that breaks off at any byte never reads as whole") {
  for (const framing &Each : framings())
    for (std::size_t Cut = 0; Cut <= Each.Bytes.size(); ++Cut) {
      CAPTURE(Each.Name);
      CAPTURE(Cut);
      response_reader Reader(Each.Method == "HEAD", 1024);
      std::string Input = Each.Bytes.substr(0, Cut);
      const read_progress Progress = Reader.read(Input);
      CHECK((Progress == read_progress::Complete) ==
            (Each.StatesItsEnd && Cut == Each.WholeFrom));
      if (Progress == read_progress::Incomplete)
        CHECK((Reader.readEnd() == read_progress::Complete) ==
              (Cut >= Each.WholeFrom));
    }
}

TEST_CASE("an instance that closes or resets its connection at any byte of an "
          "answer leaves its run without one") {
  scripted_instance Test;
  std::uint64_t Calls = 0;
  for (const framing &Each : framings())
    for (const bool IsReset : {false, true})
      for (std::size_t Cut = 0; Cut <= Each.Bytes.size(); ++Cut) {
        CAPTURE(Each.Name);
        CAPTURE(IsReset);
        CAPTURE(Cut);
        Test.call(++Calls, "a", false, 20s, Each.Method);
        auto *Connection = Test.request("a");
        REQUIRE(Connection != nullptr);
        scripted_instance::send(*Connection, Each.Bytes.substr(0, Cut));
        scripted_instance::close(*Connection, IsReset);
        REQUIRE(Test.awaitResults(Calls));
        const instance_result &Result = Test.Results.back();
        // A reset may overtake the bytes before it.
        const bool IsWhole =
            Cut >= Each.WholeFrom && (Each.StatesItsEnd || !IsReset);
        if (!IsWhole || Result.Outcome != run_outcome::Completed) {
          CHECK(Result.Outcome == run_outcome::Unknown);
          CHECK(Result.Cause == run_cause::NoValidResponse);
          CHECK((!IsWhole || IsReset));
        } else {
          CHECK(Result.Response.Body ==
                Each.Body.substr(0, Each.StatesItsEnd ? std::string::npos
                                                      : Cut - Each.WholeFrom));
        }
      }
}

TEST_CASE("a copy of an earlier answer that breaks off never changes the next "
          "answer on its connection") {
  const std::vector<std::string> Copies = {
      refusalOf("a"), answerTo("a", "200 OK", "copy"),
      answerTo("a", "500 Failed", "copy"),
      "HTTP/1.1 200 OK\r\nX-Proof: p\r\nX-Id: a\r\n"
      "Transfer-Encoding: chunked\r\n\r\n4\r\ncopy\r\n0\r\nX-T: 1\r\n\r\n"};
  const std::vector<std::string> Answers = {
      answerTo("b", "500 Failed", "right"), answerTo("b", "200 OK", "right")};
  for (const std::string &Copy : Copies)
    for (const std::string &Answer : Answers) {
      scripted_instance Test;
      std::uint64_t Calls = 0;
      for (std::size_t Cut = 0; Cut <= Copy.size(); ++Cut) {
        CAPTURE(Copy);
        CAPTURE(Cut);
        Test.call(++Calls, "a", true);
        auto *First = Test.request("a");
        REQUIRE(First != nullptr);
        scripted_instance::send(*First, answerTo("a", "200 OK", "first"));
        REQUIRE(Test.awaitResults(Calls));
        REQUIRE(Test.Results.back().Outcome == run_outcome::Completed);
        Test.call(++Calls, "b", true);
        auto *Second = Test.request("b");
        REQUIRE(Second == First);
        scripted_instance::send(*Second, Copy.substr(0, Cut) + Answer);
        // Bytes that swallow the answer leave its run without one.
        scripted_instance::close(*Second);
        REQUIRE(Test.awaitResults(Calls));
        const instance_result &Result = Test.Results.back();
        CHECK(Result.Outcome != run_outcome::NotRun);
        if (Result.Outcome == run_outcome::Completed) {
          CHECK(Result.Response.Status == (Answer == Answers[0] ? 500 : 200));
          CHECK(Result.Response.Body == "right");
        }
        if (Cut == 0 || Cut == Copy.size())
          CHECK(Result.Outcome == run_outcome::Completed);
      }
    }
}
