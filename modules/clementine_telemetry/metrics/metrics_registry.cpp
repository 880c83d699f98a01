#include "clementine_telemetry/metrics/metrics_registry.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>
#include <cstdio>

namespace clementine {

namespace {

[[maybe_unused]] bool isMetricName(std::string_view Name) {
  const auto IsLetter = [](char Character) {
    return (Character >= 'a' && Character <= 'z') || Character == '_';
  };
  const auto IsAllowed = [&](char Character) {
    return IsLetter(Character) || (Character >= '0' && Character <= '9');
  };
  return !Name.empty() && IsLetter(Name.front()) &&
         std::all_of(Name.begin(), Name.end(), IsAllowed);
}

std::string numberText(double Number) {
  if (std::isinf(Number))
    return Number > 0 ? "+Inf" : "-Inf";
  std::array<char, 32> Buffer{};
  std::snprintf(Buffer.data(), Buffer.size(), "%.9g", Number);
  return Buffer.data();
}

void appendEscaped(std::string &Text, std::string_view Value) {
  for (const char Character : Value) {
    if (Character == '\n') {
      Text += "\\n";
      continue;
    }
    if (Character == '"' || Character == '\\')
      Text += '\\';
    Text += Character;
  }
}

/// @returns the labels without the enclosing braces.
std::string labelsText(const metric_labels &Labels) {
  std::string Text;
  for (const metric_label &Label : Labels) {
    Text += (Text.empty() ? "" : ",") + Label.Name + "=\"";
    appendEscaped(Text, Label.Value);
    Text += '"';
  }
  return Text;
}

void appendHeading(std::string &Text, std::string_view Name,
                   std::string_view Help, std::string_view Kind) {
  Text.append("# HELP ").append(Name).append(" ").append(Help).append("\n");
  Text.append("# TYPE ").append(Name).append(" ").append(Kind).append("\n");
}

void appendSample(std::string &Text, std::string_view Name,
                  std::string_view Suffix, std::string_view Labels,
                  std::string_view Value) {
  Text.append(Name).append(Suffix);
  if (!Labels.empty())
    Text.append("{").append(Labels).append("}");
  Text.append(" ").append(Value).append("\n");
}

void appendLatency(std::string &Text, std::string_view Name,
                   const std::string &Labels,
                   const latency_histogram &Latency) {
  const auto Buckets = Latency.buckets();
  const std::string Separator = Labels.empty() ? "" : ",";
  for (const auto &Bucket : Buckets) {
    const std::string Bound =
        Separator + "le=\"" + numberText(Bucket.UpperBound) + "\"";
    appendSample(Text, Name, "_bucket", Labels + Bound,
                 std::to_string(Bucket.Count));
  }
  appendSample(Text, Name, "_sum", Labels, numberText(Latency.sumSeconds()));
  appendSample(Text, Name, "_count", Labels,
               std::to_string(Buckets.back().Count));
}

} // namespace

metrics_registry::metrics_registry()
    : SeriesRefused(
          counterFor("clementine_metric_series_refused_total",
                     "Requests for new series beyond the registry's cap.")) {}

counter &metrics_registry::counterFor(std::string_view Name,
                                      std::string_view Help,
                                      const metric_labels &Labels) {
  return metricFor(Counters, RefusedCounter, Name, Help, Labels);
}

gauge &metrics_registry::gaugeFor(std::string_view Name, std::string_view Help,
                                  const metric_labels &Labels) {
  return metricFor(Gauges, RefusedGauge, Name, Help, Labels);
}

latency_histogram &metrics_registry::latencyFor(std::string_view Name,
                                                std::string_view Help,
                                                const metric_labels &Labels) {
  return metricFor(Latencies, RefusedLatency, Name, Help, Labels);
}

template <class Metric>
Metric &metrics_registry::metricFor(families<Metric> &Families, Metric &Refused,
                                    std::string_view Name,
                                    std::string_view Help,
                                    const metric_labels &Labels) {
  assert(isMetricName(Name) && "the metric's name is not valid in Prometheus");
  const std::string Key = labelsText(Labels);
  const std::lock_guard Lock(Mutex);
  const auto Known = Families.find(Name);
  if (Known != Families.end()) {
    const auto Found = Known->second.Series.find(Key);
    if (Found != Known->second.Series.end())
      return *Found->second;
  }
  if (SeriesCount >= MaxSeries) {
    SeriesRefused.add();
    return Refused;
  }
  assert((Known != Families.end() || isNameFree(Name)) &&
         "the metric's name is in use by another kind");
  ++SeriesCount;
  auto &Family = Families[std::string(Name)];
  if (Family.Help.empty())
    Family.Help = Help;
  return *Family.Series.emplace(Key, std::make_unique<Metric>()).first->second;
}

bool metrics_registry::isNameFree(std::string_view Name) const {
  return !Counters.contains(Name) && !Gauges.contains(Name) &&
         !Latencies.contains(Name);
}

std::string metrics_registry::prometheusText() const {
  const std::lock_guard Lock(Mutex);
  std::string Text;
  for (const auto &[Name, Family] : Counters) {
    appendHeading(Text, Name, Family.Help, "counter");
    for (const auto &[Labels, Metric] : Family.Series)
      appendSample(Text, Name, "", Labels, std::to_string(Metric->value()));
  }
  for (const auto &[Name, Family] : Gauges) {
    appendHeading(Text, Name, Family.Help, "gauge");
    for (const auto &[Labels, Metric] : Family.Series)
      appendSample(Text, Name, "", Labels, numberText(Metric->value()));
  }
  for (const auto &[Name, Family] : Latencies) {
    appendHeading(Text, Name, Family.Help, "histogram");
    for (const auto &[Labels, Metric] : Family.Series)
      appendLatency(Text, Name, Labels, *Metric);
  }
  return Text;
}

} // namespace clementine
