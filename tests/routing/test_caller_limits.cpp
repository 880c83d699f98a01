#include <doctest/doctest.h>

#include "clementine_routing/clementine_routing.h"

using namespace clementine;
using namespace std::chrono_literals;

namespace {

constexpr instant Start{100s};

} // namespace

TEST_CASE("a refusal contains the exceeded limit and the retry delay") {
  caller_limits_settings Settings;
  Settings.EqualFraction = 1.0;
  caller_limits Limits(Settings);
  CHECK(Limits.begin("nobody", 1, Start).error().Kind ==
        caller_limit_kind::UnknownCaller);
  Limits.setLimit("by-rate", {.Rate = 4});
  CHECK(Limits.begin("by-rate", 1, Start).has_value());
  const auto Rate = Limits.begin("by-rate", 1, Start);
  CHECK(Rate.error() == caller_refusal{caller_limit_kind::Rate, 250ms});
  CHECK(Limits.begin("by-rate", 1, Start + 250ms).has_value());
  Limits.setLimit("by-concurrency", {.Concurrency = 1});
  CHECK(Limits.begin("by-concurrency", 1, Start).has_value());
  CHECK(Limits.begin("by-concurrency", 1, Start).error().Kind ==
        caller_limit_kind::Concurrency);
  Limits.end("by-concurrency");
  CHECK(Limits.begin("by-concurrency", 1, Start).has_value());
  Limits.setLimit("by-cost", {.CostRate = 10});
  CHECK(Limits.begin("by-cost", 5, Start).has_value());
  CHECK(Limits.begin("by-cost", 5, Start).error().Kind ==
        caller_limit_kind::Cost);
}

TEST_CASE("a caller without limits is never refused") {
  caller_limits_settings Settings;
  caller_limits Limits(Settings);
  Limits.setNodeCount(24000);
  Limits.setLimit("free", {});
  for (int Request = 0; Request < 1000; ++Request)
    CHECK(Limits.begin("free", 1e9, Start).has_value());
  CHECK_FALSE(Limits.takeDueReport("free", Start).has_value());
}

TEST_CASE(
    "a grant raises the fraction until it expires, counted from its report") {
  caller_limits_settings Settings;
  Settings.OwnName = "node-1";
  caller_limits Limits(Settings);
  Limits.setNodeCount(10);
  Limits.setLimit("florist", {.Rate = 100});
  CHECK(Limits.begin("florist", 1, Start).has_value());
  CHECK(Limits.limitFraction("florist", Start) == doctest::Approx(0.01));
  const auto Report = Limits.takeDueReport("florist", Start);
  REQUIRE(Report.has_value());
  caller_allocator Allocator({}, Start - 1h);
  const usage_grant Grant = Allocator.report(*Report, 1.0, Start + 1ms);
  Limits.onGrant("florist", Grant, Start);
  CHECK(Limits.limitFraction("florist", Start + 1ms) == doctest::Approx(0.91));
  CHECK(Limits.limitFraction("florist", Start + Grant.ValidFor) ==
        doctest::Approx(0.01));
}

TEST_CASE("a new allocator renews held grants and at first grants no more") {
  caller_allocator Allocator({}, Start);
  const usage_report Report{"node-1", 1.0, 5, 0.3, 2s};
  CHECK(Allocator.report(Report, 1.0, Start + 1ms).Share ==
        doctest::Approx(0.3));
  CHECK(Allocator.report({"node-2", 1.0}, 1.0, Start + 1ms).Share == 0);
  CHECK(Allocator.report(Report, 1.0, Start + 4s).Share > 0.3);
}

TEST_CASE("the sides of a partition together stay within the limit") {
  caller_allocator Large({}, Start - 1h);
  caller_allocator Small({}, Start - 1h);
  const double Sum = Large.report({"node-1", 1.0}, 0.75, Start).Share +
                     Small.report({"node-2", 1.0}, 0.25, Start).Share;
  CHECK(Sum == doctest::Approx(0.9));
}
