#ifndef CLEMENTINE_NODE_OBSERVE_REQUEST_OBSERVER_H
#define CLEMENTINE_NODE_OBSERVE_REQUEST_OBSERVER_H

#include "clementine_node/observe/caller_usage.h"
#include "clementine_request/clementine_request.h"
#include "clementine_telemetry/clementine_telemetry.h"

#include <array>
#include <functional>

namespace clementine {

/// Records finished requests in metrics, spans and debug logs. Called on the
/// engine's thread only.
class request_observer final : public entry_observer, public gate_observer {
public:
  /// Receives each finished span; may be empty.
  using span_listener = std::function<void(span Span)>;

  /// @param Metrics and @p Usage have to outlive the observer.
  request_observer(metrics_registry &Metrics, caller_usage &Usage,
                   span_listener OnSpan);

  request_observer(const request_observer &) = delete;
  request_observer &operator=(const request_observer &) = delete;

  void callEnded(const entry_report &Report) override;
  void runEnded(const run_request &Request, const run_answer &Answer,
                const hop_trace &Trace, duration Queued, duration Ran) override;

private:
  static constexpr std::size_t Outcomes = 3;
  using outcome_counters =
      std::array<std::array<counter *, Outcomes>, ImportanceLevels>;

  static outcome_counters countersFor(metrics_registry &Metrics,
                                      std::string_view Name,
                                      std::string_view Help);

  const logger Log{"request"};
  caller_usage &Usage;
  const span_listener OnSpan;
  outcome_counters Calls;
  outcome_counters Runs;
  counter &ExtraAttempts;
  latency_histogram &CallLatency;
  latency_histogram &QueueTime;
  latency_histogram &RunTime;
};

} // namespace clementine

#endif
