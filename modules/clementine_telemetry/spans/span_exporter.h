#ifndef CLEMENTINE_TELEMETRY_SPANS_SPAN_EXPORTER_H
#define CLEMENTINE_TELEMETRY_SPANS_SPAN_EXPORTER_H

#include "clementine_core/concurrency/bounded_ring.h"
#include "clementine_core/supervision/supervisor.h"
#include "clementine_telemetry/logs/logger.h"
#include "clementine_telemetry/metrics/metrics_registry.h"
#include "clementine_telemetry/spans/otlp_json.h"
#include "clementine_telemetry/spans/span.h"
#include "clementine_telemetry/spans/span_transport.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace clementine {

/// Sends spans to a collector on a dedicated thread.
///
/// Spans are queued in a bounded ring and sent in batches. The caller never
/// blocks: when the ring is full, the span is dropped and counted. A batch that
/// fails is counted and not retried, so that no memory is used for spans while
/// the collector is unavailable.
class span_exporter final : public supervised {
public:
  /// Sizes and intervals of the export.
  struct limits {
    /// The maximum number of queued spans.
    std::size_t RingCapacity = 2048;
    /// The maximum number of spans in one request.
    std::size_t BatchSize = 256;
    /// The interval between two checks of the ring.
    duration Interval = std::chrono::seconds(1);
  };

  /// @param Metrics receives `clementine_spans_sent_total`,
  /// `clementine_spans_dropped_total` (full ring) and
  /// `clementine_spans_failed_total` (collector); it has to outlive this.
  span_exporter(span_resource Resource,
                std::unique_ptr<span_transport> Transport,
                metrics_registry &Metrics,
                supervised_task::escalation_handler OnFault, limits Limits);

  span_exporter(const span_exporter &) = delete;
  span_exporter &operator=(const span_exporter &) = delete;

  /// Queues a finished span. May be called from any thread.
  /// @returns whether the span was queued; if not, it is counted as dropped.
  bool offer(span Span);

  const std::string &name() const override { return Task.name(); }
  void start() override { Task.start(); }

  /// Ends the thread and sends the queued spans, unless the collector fails.
  void stop() override;

private:
  void run(const std::atomic<bool> &Stopping);
  void waitForInterval(const std::atomic<bool> &Stopping);
  void wake();
  void sendAll(const std::vector<span> &Spans);
  bool sendBatch(std::span<const span> Batch);
  void logStateChange(bool Reached);

  const span_resource Resource;
  const limits Limits;
  const logger Log;
  const std::unique_ptr<span_transport> Transport;
  counter &Sent;
  counter &Dropped;
  counter &Failed;
  bool CollectorReached = true;
  bounded_ring<span> Ring;
  std::mutex Mutex;
  std::condition_variable Wakened;
  // Declared last, so that its thread ends before the members that it uses are
  // destroyed.
  supervised_task Task;
};

} // namespace clementine

#endif
