#ifndef CLEMENTINE_TELEMETRY_METRICS_METRICS_H
#define CLEMENTINE_TELEMETRY_METRICS_METRICS_H

#include "clementine_core/time/clock.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <vector>

namespace clementine {

/// A number that only increases. Lock-free; any thread may add.
class counter {
public:
  counter() = default;
  counter(const counter &) = delete;
  counter &operator=(const counter &) = delete;

  void add(std::uint64_t Amount = 1) {
    Total.fetch_add(Amount, std::memory_order_relaxed);
  }
  std::uint64_t value() const { return Total.load(std::memory_order_relaxed); }

private:
  std::atomic<std::uint64_t> Total{0};
};

/// A number that can increase and decrease. Lock-free; any thread may set it.
class gauge {
public:
  gauge() = default;
  gauge(const gauge &) = delete;
  gauge &operator=(const gauge &) = delete;

  void set(double Value) { Current.store(Value, std::memory_order_relaxed); }
  void add(double Amount) {
    Current.fetch_add(Amount, std::memory_order_relaxed);
  }
  double value() const { return Current.load(std::memory_order_relaxed); }

private:
  std::atomic<double> Current{0};
};

/// The distribution of a latency: a Boost.Histogram with a logarithmic axis of
/// BucketsPerDecade buckets per decade from ShortestLatency to LongestLatency,
/// and one bucket each below and above. Lock-free; any thread may record.
class latency_histogram {
public:
  static constexpr duration ShortestLatency = std::chrono::microseconds(10);
  static constexpr duration LongestLatency = std::chrono::seconds(100);
  static constexpr unsigned BucketsPerDecade = 6;

  /// A bucket that counts all observations up to its upper bound.
  struct cumulative_bucket {
    /// In seconds; infinite for the last bucket.
    double UpperBound = 0;
    std::uint64_t Count = 0;
  };

  latency_histogram();
  ~latency_histogram();

  latency_histogram(const latency_histogram &) = delete;
  latency_histogram &operator=(const latency_histogram &) = delete;

  /// Counts one observation; a negative one counts as 0.
  void record(duration Latency);

  /// @returns the buckets in ascending order. While other threads record, each
  /// bucket is read at some moment of the call.
  std::vector<cumulative_bucket> buckets() const;

  /// @returns the sum of all observations in seconds.
  double sumSeconds() const;

  /// @returns the upper bound of the bucket that contains the quantile; 0
  /// without observations, LongestLatency if the quantile is above it.
  /// @param Share the quantile, from 0 to 1.
  duration quantile(double Share) const;

private:
  struct storage;

  std::unique_ptr<storage> Storage;
  std::atomic<std::uint64_t> SumNanoseconds{0};
};

} // namespace clementine

#endif
