#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "clementine_telemetry/clementine_telemetry.h"

#include <cmath>
#include <thread>

using namespace clementine;
using namespace std::chrono_literals;

TEST_CASE("the same name and labels give the same metric") {
  metrics_registry Registry;
  counter &Refused =
      Registry.counterFor("refused_total", "Help.", {{"importance", "low"}});
  Refused.add(2);
  CHECK(&Registry.counterFor("refused_total", "Help.",
                             {{"importance", "low"}}) == &Refused);
  CHECK(&Registry.counterFor("refused_total", "Help.",
                             {{"importance", "high"}}) != &Refused);
  CHECK(Refused.value() == 2);
}

TEST_CASE("the text follows the Prometheus format, with escaped labels") {
  metrics_registry Registry;
  Registry.counterFor("a_total", "Counts a.", {{"caller", "x\"\\\ny"}}).add(3);
  Registry.gaugeFor("b", "Shows b.").set(1.5);
  latency_histogram &Latency = Registry.latencyFor("c_seconds", "Times c.");
  Latency.record(1ms);
  Latency.record(200s);
  const std::string Text = Registry.prometheusText();
  for (const std::string Line :
       {"# HELP a_total Counts a.\n# TYPE a_total counter\n"
        "a_total{caller=\"x\\\"\\\\\\ny\"} 3\n",
        "# TYPE b gauge\nb 1.5\n", "# TYPE c_seconds histogram\n",
        "c_seconds_bucket{le=\"1e-05\"} 0\n",
        "c_seconds_bucket{le=\"100\"} 1\n",
        "c_seconds_bucket{le=\"+Inf\"} 2\nc_seconds_sum 200.001\n"
        "c_seconds_count 2\n"})
    CHECK_MESSAGE(Text.find(Line) != std::string::npos, Line);
}

TEST_CASE("beyond its limit the registry refuses new series and counts them") {
  metrics_registry Registry;
  for (std::size_t Number = 0; Number < metrics_registry::MaxSeries + 9;
       ++Number)
    Registry.counterFor("a_total", "Help.", {{"n", std::to_string(Number)}})
        .add();
  const std::string Text = Registry.prometheusText();
  // The registry's own counter is one of the series.
  CHECK(Text.find("clementine_metric_series_refused_total 10\n") !=
        std::string::npos);
  CHECK(Text.find("{n=\"4094\"}") != std::string::npos);
  CHECK(Text.find("{n=\"4095\"}") == std::string::npos);
}

TEST_CASE("a quantile is at most one bucket above the exact value") {
  CHECK(rc::check("quantile", [] {
    const auto Microseconds = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<int>>(rc::gen::inRange(10, 99'000'000)));
    const double Share = *rc::gen::inRange(0, 101) / 100.0;
    latency_histogram Latency;
    for (const int Value : Microseconds)
      Latency.record(std::chrono::microseconds(Value));
    auto Sorted = Microseconds;
    std::sort(Sorted.begin(), Sorted.end());
    const auto Rank = static_cast<std::size_t>(
        std::max(1.0, std::ceil(Share * static_cast<double>(Sorted.size()))));
    const double Exact = Sorted[Rank - 1] * 1e-6;
    const double Estimate =
        std::chrono::duration<double>(Latency.quantile(Share)).count();
    const double Ratio = std::pow(10.0, 1.0 / Latency.BucketsPerDecade);
    RC_ASSERT(Estimate >= Exact * 0.999999);
    RC_ASSERT(Estimate <= Exact * Ratio * 1.000001);
  }));
}

TEST_CASE("extreme latencies are counted in the outer buckets") {
  latency_histogram Latency;
  CHECK(Latency.quantile(0.5) == 0s);
  for (const duration Value : {duration(-5s), duration(0), duration(1)})
    Latency.record(Value);
  CHECK(Latency.quantile(1) == latency_histogram::ShortestLatency);
  Latency.record(duration::max());
  CHECK(Latency.quantile(1) == latency_histogram::LongestLatency);
  CHECK(Latency.buckets().back().Count == 4);
}

TEST_CASE("no observation is lost when threads record concurrently") {
  constexpr int EachThread = 20'000;
  metrics_registry Registry;
  counter &Count = Registry.counterFor("a_total", "Help.");
  latency_histogram &Latency = Registry.latencyFor("a_seconds", "Help.");
  const auto Record = [&] {
    for (int Round = 0; Round < EachThread; ++Round) {
      Count.add();
      Latency.record(1ms);
    }
  };
  std::thread First(Record);
  std::thread Second(Record);
  First.join();
  Second.join();
  CHECK(Count.value() == 2 * EachThread);
  CHECK(Latency.buckets().back().Count == 2 * EachThread);
  CHECK(Latency.sumSeconds() == doctest::Approx(2 * EachThread * 1e-3));
}
