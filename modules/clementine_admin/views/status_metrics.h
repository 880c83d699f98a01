#ifndef CLEMENTINE_ADMIN_VIEWS_STATUS_METRICS_H
#define CLEMENTINE_ADMIN_VIEWS_STATUS_METRICS_H

#include "clementine_admin/status/node_status.h"
#include "clementine_telemetry/metrics/metrics_registry.h"

#include <array>

namespace clementine {

/// Exports the values of a node's status that alerts need as gauges. Any thread
/// may update them.
class status_metrics {
public:
  /// @param Metrics has to outlive this.
  explicit status_metrics(metrics_registry &Metrics);

  status_metrics(const status_metrics &) = delete;
  status_metrics &operator=(const status_metrics &) = delete;

  void update(const node_status &Status);

private:
  static constexpr std::size_t MemberStates = 6;

  void updateMembers(const node_status &Status);
  void updateUpstream(const node_status &Status);

  gauge &Uptime;
  gauge &Stopping;
  gauge &BundleVersion;
  gauge &BundleConfirmedAge;
  gauge &UpstreamInFlight;
  gauge &UpstreamLimit;
  gauge &UpstreamQueued;
  gauge &AdmissionLevel;
  std::array<gauge *, MemberStates> Members{};
};

} // namespace clementine

#endif
