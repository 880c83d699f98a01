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
