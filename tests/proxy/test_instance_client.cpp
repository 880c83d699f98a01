#include "scripted_instance.h"

#include <doctest/doctest.h>

using namespace clementine;
using namespace clementine::proxy;
using namespace std::chrono_literals;

TEST_CASE("a timer that has run out behind the answer of its run ends no run") {
  scripted_instance Test;
  constexpr duration TimeLeft = 20ms;
  const duration Pause =
      TimeLeft + instance_client_settings().AnswerGrace + 40ms;
  bool CallsAtOnce = false;
  SUBCASE("the connection is idle") {}
  SUBCASE("the connection is in use again") { CallsAtOnce = true; }
  Test.OnResult = [&] {
    if (std::exchange(CallsAtOnce, false))
      Test.call(2, "b");
  };
  const bool WaitsForSecond = CallsAtOnce;
  Test.call(1, "a", true, TimeLeft);
  auto *First = Test.request("a");
  REQUIRE(First != nullptr);
  scripted_instance::send(*First, answerTo("a", "200 OK", "A"));
  std::this_thread::sleep_for(Pause); // The client's process stands still.
  REQUIRE(Test.awaitResults(1));
  Test.runFor(20ms);
  REQUIRE(Test.Results.size() == 1);
  CHECK(Test.Results[0].Outcome == run_outcome::Completed);

  if (!WaitsForSecond)
    Test.call(2, "b");
  Test.call(3, "c");
  auto *Second = Test.request("b");
  auto *Third = Test.request("c");
  REQUIRE(Second != nullptr);
  REQUIRE(Third != nullptr);
  CHECK(Second != Third);
  scripted_instance::send(*Second, answerTo("b", "200 OK", "B"));
  REQUIRE(Test.awaitResults(2));
  scripted_instance::send(*Third, answerTo("c", "200 OK", "C"));
  REQUIRE(Test.awaitResults(3));
  CHECK(Test.Ended == std::vector<std::uint64_t>{1, 2, 3});
  CHECK(Test.Results[1].Response.Body == "B");
  CHECK(Test.Results[2].Response.Body == "C");
}

TEST_CASE("a refusal that is written again does not certify that a later run "
          "has not run") {
  std::vector<duration> Delays = {0ms, 1ms, 50ms};
  std::string RepeatedId = "a";
  SUBCASE("the request that was refused is offered again") {
    Delays.push_back(2s);
  }
  SUBCASE("the copy carries the id of the run in progress") {
    RepeatedId = "b";
  }
  const std::string LaterId = RepeatedId;
  const std::string Copy = refusalOf(RepeatedId);
  for (const duration Delay : Delays)
    for (const std::string &Before :
         {std::string(), std::string("HTTP/1.1 100 Continue\r\n\r\n")}) {
      CAPTURE(Delay.count());
      CAPTURE(Before);
      scripted_instance Test;
      Test.call(1, "a");
      auto *First = Test.request("a");
      REQUIRE(First != nullptr);
      scripted_instance::send(*First, refusalOf("a"));
      REQUIRE(Test.awaitResults(1));
      CHECK(Test.Results[0].Outcome == run_outcome::NotRun);
      Test.call(2, LaterId);
      auto *Second = Test.request(LaterId);
      REQUIRE(Second != nullptr);
      Test.runFor(Delay);
      scripted_instance::send(*First, Before + Copy);
      Test.runFor(10ms);
      CHECK(Test.Results.size() == 1);
      scripted_instance::send(*Second, answerTo(LaterId, "200 OK", "whole"));
      REQUIRE(Test.awaitResults(2));
      CHECK(Test.Results[1].Outcome == run_outcome::Completed);
      CHECK(Test.Results[1].Response.Body == "whole");
    }
}

TEST_CASE("a request that may be repeated uses a connection again behind a "
          "refusal, one that may not takes another in its place") {
  scripted_instance Test;
  Test.call(1, "a", true);
  auto *First = Test.request("a");
  REQUIRE(First != nullptr);
  scripted_instance::send(*First, refusalOf("a"));
  REQUIRE(Test.awaitResults(1));
  Test.call(2, "b", true);
  REQUIRE(Test.request("b") == First);
  scripted_instance::send(*First, answerTo("b", "200 OK", "B"));
  REQUIRE(Test.awaitResults(2));
  Test.call(3, "c", false);
  auto *Second = Test.request("c");
  REQUIRE(Second != nullptr);
  CHECK(Second != First);
  First->non_blocking(true);
  char Byte = 0;
  boost::system::error_code Error;
  First->receive(boost::asio::buffer(&Byte, 1), 0, Error);
  CHECK(Error == boost::asio::error::eof); // It is closed in exchange.
  scripted_instance::send(*Second, answerTo("c", "200 OK", "C"));
  REQUIRE(Test.awaitResults(3));
  Test.call(4, "d", false);
  CHECK(Test.request("d") == Second);
}

TEST_CASE("a refusal counts behind an interim answer, and does not without the "
          "id of its run") {
  scripted_instance Test;
  Test.call(1, "a");
  auto *First = Test.request("a");
  REQUIRE(First != nullptr);
  scripted_instance::send(*First,
                          "HTTP/1.1 100 Continue\r\n\r\n" + refusalOf("a"));
  REQUIRE(Test.awaitResults(1));
  CHECK(Test.Results[0].Outcome == run_outcome::NotRun);
  Test.call(2, "b");
  auto *Second = Test.request("b");
  REQUIRE(Second != nullptr);
  scripted_instance::send(*Second,
                          "HTTP/1.1 400 Bad Request\r\nX-Not-Run: no id\r\n"
                          "Content-Length: 0\r\n\r\n");
  REQUIRE(Test.awaitResults(2));
  CHECK(Test.Results[1].Outcome == run_outcome::Unknown);
}
