#ifndef CLEMENTINE_TELEMETRY_METRICS_METRICS_REGISTRY_H
#define CLEMENTINE_TELEMETRY_METRICS_METRICS_REGISTRY_H

#include "clementine_telemetry/metrics/metrics.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace clementine {

/// A label of a time series.
struct metric_label {
  std::string Name;
  std::string Value;

  bool operator==(const metric_label &) const = default;
};

using metric_labels = std::vector<metric_label>;

/// Holds all metrics of a program and writes them as Prometheus text.
///
/// A component requests its metrics once and keeps the references, which are
/// valid for the lifetime of the registry. The same name and labels return the
/// same metric. Names follow Prometheus: `[a-z_][a-z0-9_]*`, counters end in
/// `_total`, latencies in `_seconds`. A name belongs to one kind of metric.
///
/// Memory is bounded: beyond MaxSeries, requests for new series return one
/// shared metric of each kind, which is not written, and are counted in
/// `clementine_metric_series_refused_total`.
class metrics_registry {
public:
  static constexpr std::size_t MaxSeries = 4096;

  metrics_registry();

  metrics_registry(const metrics_registry &) = delete;
  metrics_registry &operator=(const metrics_registry &) = delete;

  /// @param Help one sentence on what is measured, with the unit.
  counter &counterFor(std::string_view Name, std::string_view Help,
                      const metric_labels &Labels = {});
  gauge &gaugeFor(std::string_view Name, std::string_view Help,
                  const metric_labels &Labels = {});
  latency_histogram &latencyFor(std::string_view Name, std::string_view Help,
                                const metric_labels &Labels = {});

  /// @returns all metrics in the Prometheus text format 0.0.4.
  std::string prometheusText() const;

private:
  template <class Metric> struct family {
    std::string Help;
    /// Keyed by the text of the labels.
    std::map<std::string, std::unique_ptr<Metric>> Series;
  };
  template <class Metric>
  using families = std::map<std::string, family<Metric>, std::less<>>;

  template <class Metric>
  Metric &metricFor(families<Metric> &Families, Metric &Refused,
                    std::string_view Name, std::string_view Help,
                    const metric_labels &Labels);
  bool isNameFree(std::string_view Name) const;

  mutable std::mutex Mutex;
  std::size_t SeriesCount = 0;
  families<counter> Counters;
  families<gauge> Gauges;
  families<latency_histogram> Latencies;
  counter RefusedCounter;
  gauge RefusedGauge;
  latency_histogram RefusedLatency;
  counter &SeriesRefused;
};

} // namespace clementine

#endif
