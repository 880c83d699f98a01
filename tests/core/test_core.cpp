#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "clementine_core/clementine_core.h"

#include <stdexcept>

using namespace clementine;
using namespace std::chrono_literals;

TEST_CASE(
    "a request id round-trips through its text and invalid text is refused") {
  const request_id Id{0x0123456789abcdefULL, 0xfedcba9876543210ULL};
  request_id Parsed;
  CHECK(request_id::parse(Id.text(), Parsed));
  CHECK(Parsed == Id);
  CHECK_FALSE(request_id::parse("0123", Parsed));
  CHECK_FALSE(request_id::parse(std::string(31, '0') + "g", Parsed));
  CHECK(Parsed == Id);
}

TEST_CASE("importance names round-trip and unknown names are refused") {
  for (std::size_t Rank = 0; Rank < ImportanceLevels; ++Rank) {
    const auto Level = static_cast<importance>(Rank);
    importance Parsed = importance::Low;
    CHECK(parseImportance(importanceName(Level), Parsed));
    CHECK(Parsed == Level);
  }
  importance Untouched = importance::High;
  CHECK_FALSE(parseImportance("urgent", Untouched));
  CHECK(Untouched == importance::High);
}

TEST_CASE(
    "a full ring refuses items and keeps order; a closed ring is drained") {
  bounded_ring<int> Ring(2);
  CHECK(Ring.tryPush(1));
  CHECK(Ring.tryPush(2));
  CHECK_FALSE(Ring.tryPush(3));
  CHECK(Ring.takeAll(0s) == std::vector<int>{1, 2});
  CHECK(Ring.tryPush(4));
  Ring.close();
  CHECK_FALSE(Ring.tryPush(5));
  CHECK(Ring.takeAll(0s) == std::vector<int>{4});
  CHECK(Ring.takeAll(0s).empty());
}

TEST_CASE("a task restarts after an exception and escalates above its restart "
          "limit") {
  std::atomic<int> Runs{0};
  std::atomic<bool> Escalated{false};
  supervised_task Failing(
      "failing",
      [&](const std::atomic<bool> &) {
        ++Runs;
        throw std::runtime_error("fault");
      },
      {}, [&](const std::string &, const std::string &) { Escalated = true; },
      {2, 60s, 0s});
  Failing.start();
  while (!Escalated)
    std::this_thread::yield();
  Failing.stop();
  CHECK(Runs == 3);
}
