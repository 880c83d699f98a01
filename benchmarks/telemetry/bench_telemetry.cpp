/// Measures the time of one record: a counter, a gauge, a latency histogram, a
/// log record below the threshold, and a span passed to the exporter.
///
/// Usage: bench_telemetry
#include "clementine_telemetry/clementine_telemetry.h"

#include <cstdio>

using namespace clementine;

namespace {

constexpr int Rounds = 2'000'000;

template <class Operation> void measure(const char *Name, Operation RunOnce) {
  const monotonic_clock Clock;
  const instant Begin = Clock.now();
  for (int Round = 0; Round < Rounds; ++Round)
    RunOnce(Round);
  const auto Elapsed = static_cast<double>((Clock.now() - Begin).count());
  std::printf("%-28s %8.1f ns a record\n", Name, Elapsed / Rounds);
}

/// Accepts and discards every batch.
class discarding_transport final : public span_transport {
public:
  result<void, span_transport_failure> post(const std::string &) override {
    return success();
  }
};

} // namespace

int main() {
  metrics_registry Registry;
  counter &Count = Registry.counterFor("bench_total", "Benchmark.");
  gauge &Gauge = Registry.gaugeFor("bench", "Benchmark.");
  latency_histogram &Latency =
      Registry.latencyFor("bench_seconds", "Benchmark.");
  const logger Log("bench");
  span_exporter Exporter({}, std::make_unique<discarding_transport>(), Registry,
                         {}, {});
  measure("counter", [&](int) { Count.add(); });
  measure("gauge", [&](int Round) { Gauge.set(Round); });
  measure("latency histogram", [&](int Round) {
    Latency.record(std::chrono::microseconds(Round % 100'000));
  });
  measure("log record, not enabled", [&](int) { Log.debug("not written"); });
  measure("span, ring full", [&](int) { Exporter.offer({}); });
  return 0;
}
