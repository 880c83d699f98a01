#include "clementine_telemetry/metrics/metrics.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>

#include <boost/histogram/accumulators/thread_safe.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

namespace clementine {

namespace {

namespace histogram = boost::histogram;

using latency_axis =
    histogram::axis::regular<double, histogram::axis::transform::log>;
using concurrent_counts = histogram::dense_storage<
    histogram::accumulators::thread_safe<std::uint64_t>>;
using latency_counts =
    histogram::histogram<std::tuple<latency_axis>, concurrent_counts>;

constexpr double NanosecondsPerSecond = 1e9;
constexpr unsigned Decades = 7;
constexpr unsigned Buckets = Decades * latency_histogram::BucketsPerDecade;

static_assert(latency_histogram::ShortestLatency.count() * 10'000'000 ==
                  latency_histogram::LongestLatency.count(),
              "the axis covers seven decades");

double seconds(duration Span) {
  return static_cast<double>(Span.count()) / NanosecondsPerSecond;
}

} // namespace

struct latency_histogram::storage {
  latency_counts Counts = histogram::make_histogram_with(
      concurrent_counts(),
      latency_axis(Buckets, seconds(ShortestLatency), seconds(LongestLatency)));
};

latency_histogram::latency_histogram() : Storage(std::make_unique<storage>()) {}

latency_histogram::~latency_histogram() = default;

void latency_histogram::record(duration Latency) {
  // The logarithmic axis needs a positive value; one nanosecond is the
  // smallest, and it counts as underflow.
  const duration Counted = std::max(Latency, duration(1));
  Storage->Counts(seconds(Counted));
  SumNanoseconds.fetch_add(static_cast<std::uint64_t>(Counted.count()),
                           std::memory_order_relaxed);
}

std::vector<latency_histogram::cumulative_bucket>
latency_histogram::buckets() const {
  std::vector<cumulative_bucket> Cumulative;
  Cumulative.reserve(Buckets + 2);
  const auto &Axis = Storage->Counts.axis();
  std::uint64_t Count = 0;
  for (int Index = -1; Index <= Axis.size(); ++Index) {
    Count += Storage->Counts.at(Index).load(std::memory_order_relaxed);
    const double Bound = Index == Axis.size()
                             ? std::numeric_limits<double>::infinity()
                             : Axis.value(Index + 1);
    Cumulative.push_back({Bound, Count});
  }
  return Cumulative;
}

double latency_histogram::sumSeconds() const {
  return static_cast<double>(SumNanoseconds.load(std::memory_order_relaxed)) /
         NanosecondsPerSecond;
}

duration latency_histogram::quantile(double Share) const {
  assert(Share >= 0 && Share <= 1 && "a quantile is from 0 to 1");
  const auto Cumulative = buckets();
  const std::uint64_t Total = Cumulative.back().Count;
  if (Total == 0)
    return duration(0);
  const auto Rank =
      std::max<std::uint64_t>(1, static_cast<std::uint64_t>(std::ceil(
                                     Share * static_cast<double>(Total))));
  const auto Found = std::find_if(
      Cumulative.begin(), Cumulative.end(),
      [Rank](const cumulative_bucket &Bucket) { return Bucket.Count >= Rank; });
  if (!std::isfinite(Found->UpperBound))
    return LongestLatency;
  return duration(static_cast<std::int64_t>(
      std::llround(Found->UpperBound * NanosecondsPerSecond)));
}

} // namespace clementine
