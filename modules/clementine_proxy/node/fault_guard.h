#ifndef CLEMENTINE_PROXY_NODE_FAULT_GUARD_H
#define CLEMENTINE_PROXY_NODE_FAULT_GUARD_H

#include "clementine_telemetry/clementine_telemetry.h"

#include <exception>
#include <string>

namespace clementine::proxy {

/// Contains exceptions where one request, message or task can end without the
/// others. Logs and counts them. Thread-safe.
class fault_guard {
public:
  /// @param Metrics has to outlive the guard.
  explicit fault_guard(metrics_registry &Metrics) : Metrics(Metrics) {}

  fault_guard(const fault_guard &) = delete;
  fault_guard &operator=(const fault_guard &) = delete;

  /// Calls @p Work.
  /// @param Place for the log and the metric; one of few names.
  /// @param Id what the work belongs to, for the log; may be empty.
  /// @returns whether it ended without an exception.
  template <class Callback>
  bool run(const std::string &Place, const std::string &Id,
           const Callback &Work) {
    try {
      Work();
      return true;
    } catch (const std::exception &Fault) {
      record(Place, Id, Fault.what());
    } catch (...) {
      record(Place, Id, "not a standard exception");
    }
    return false;
  }

private:
  void record(const std::string &Place, const std::string &Id,
              const char *Reason);

  metrics_registry &Metrics;
  const logger Log{"faults"};
};

} // namespace clementine::proxy

#endif
