#include "clementine_telemetry/spans/span_exporter.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace clementine {

span_exporter::span_exporter(span_resource Resource,
                             std::unique_ptr<span_transport> Transport,
                             metrics_registry &Metrics,
                             supervised_task::escalation_handler OnFault,
                             limits Limits)
    : Resource(std::move(Resource)), Limits(Limits), Log("spans"),
      Transport(std::move(Transport)),
      Sent(Metrics.counterFor("clementine_spans_sent_total",
                              "Spans that the collector took.")),
      Dropped(Metrics.counterFor("clementine_spans_dropped_total",
                                 "Spans dropped because the ring was full.")),
      Failed(Metrics.counterFor("clementine_spans_failed_total",
                                "Spans lost because a post failed.")),
      Ring(Limits.RingCapacity),
      Task(
          "spans", [this](const std::atomic<bool> &Stopping) { run(Stopping); },
          [this] { wake(); }, std::move(OnFault)) {
  assert(this->Transport && "an exporter needs a transport");
  assert(Limits.BatchSize > 0 && "the batch size must not be 0");
}

bool span_exporter::offer(span Span) {
  if (Ring.tryPush(std::move(Span)))
    return true;
  Dropped.add();
  return false;
}

void span_exporter::stop() {
  Task.stop();
  // The thread has ended, so the transport is still used by one thread only.
  Ring.close();
  sendAll(Ring.takeAll(duration(0)));
}

void span_exporter::run(const std::atomic<bool> &Stopping) {
  while (!Stopping) {
    waitForInterval(Stopping);
    sendAll(Ring.takeAll(duration(0)));
  }
}

// Spans accumulate into batches during the interval.
void span_exporter::waitForInterval(const std::atomic<bool> &Stopping) {
  std::unique_lock Lock(Mutex);
  Wakened.wait_for(Lock, Limits.Interval, [&] { return Stopping.load(); });
}

void span_exporter::wake() {
  // The lock prevents a lost wake-up of the waiting thread.
  const std::lock_guard Lock(Mutex);
  Wakened.notify_all();
}

void span_exporter::sendAll(const std::vector<span> &Spans) {
  std::span<const span> Rest(Spans);
  while (!Rest.empty()) {
    const auto Batch = Rest.first(std::min(Limits.BatchSize, Rest.size()));
    if (!sendBatch(Batch)) {
      Failed.add(Rest.size());
      return;
    }
    Sent.add(Batch.size());
    Rest = Rest.subspan(Batch.size());
  }
}

bool span_exporter::sendBatch(std::span<const span> Batch) {
  const auto Posted = Transport->post(encodeOtlpJson(Resource, Batch));
  logStateChange(Posted.has_value());
  return Posted.has_value();
}

void span_exporter::logStateChange(bool Reached) {
  if (std::exchange(CollectorReached, Reached) == Reached)
    return;
  if (Reached)
    Log.info("The collector accepts spans again.");
  else
    Log.warning("The collector does not accept spans; they are dropped.");
}

} // namespace clementine
