#include "clementine_admin/views/status_metrics.h"

#include <algorithm>
#include <limits>

namespace clementine {

namespace {

double seconds(duration Span) {
  return std::chrono::duration<double>(Span).count();
}

constexpr double NeverConfirmed = std::numeric_limits<double>::infinity();

} // namespace

status_metrics::status_metrics(metrics_registry &Metrics)
    : Uptime(Metrics.gaugeFor("clementine_uptime_seconds",
                              "Time since the node started.")),
      Stopping(Metrics.gaugeFor("clementine_stopping",
                                "1 while a planned stop is under way.")),
      BundleVersion(
          Metrics.gaugeFor("clementine_bundle_version",
                           "The version in force; 0 without a bundle.")),
      BundleConfirmedAge(Metrics.gaugeFor(
          "clementine_bundle_confirmed_age_seconds",
          "Time since the platform or a peer confirmed the version in force; "
          "infinite if none has.")),
      UpstreamInFlight(
          Metrics.gaugeFor("clementine_upstream_in_flight",
                           "Requests that run on the node's own upstream.")),
      UpstreamLimit(Metrics.gaugeFor(
          "clementine_upstream_limit",
          "The concurrency limit of the own upstream; infinite without one.")),
      UpstreamQueued(
          Metrics.gaugeFor("clementine_upstream_queued",
                           "Requests that wait for the own upstream.")),
      AdmissionLevel(Metrics.gaugeFor(
          "clementine_admission_level",
          "What the node's gate lets in: 511 is everything, 0 the least.")) {
  for (std::size_t State = 0; State < MemberStates; ++State)
    Members.at(State) = &Metrics.gaugeFor(
        "clementine_members", "Members that the node knows, by their state.",
        {{"state",
          std::string(memberStateName(static_cast<member_state>(State)))}});
}

void status_metrics::update(const node_status &Status) {
  Uptime.set(seconds(Status.Uptime));
  Stopping.set(Status.IsStopping ? 1 : 0);
  BundleVersion.set(Status.Bundle ? static_cast<double>(Status.Bundle->Version)
                                  : 0);
  const bool IsConfirmed = Status.Bundle && Status.Bundle->Confirmed;
  BundleConfirmedAge.set(IsConfirmed ? seconds(*Status.Bundle->Confirmed)
                                     : NeverConfirmed);
  updateMembers(Status);
  updateUpstream(Status);
}

void status_metrics::updateMembers(const node_status &Status) {
  std::array<double, MemberStates> Counts{};
  for (const member_status &Member : Status.Members)
    ++Counts.at(static_cast<std::size_t>(Member.State));
  for (std::size_t State = 0; State < MemberStates; ++State)
    Members.at(State)->set(Counts.at(State));
}

void status_metrics::updateUpstream(const node_status &Status) {
  const auto Own = std::find_if(
      Status.Upstreams.begin(), Status.Upstreams.end(),
      [](const upstream_status &Upstream) { return Upstream.IsOwn; });
  if (Own == Status.Upstreams.end())
    return;
  UpstreamInFlight.set(static_cast<double>(Own->InFlight));
  UpstreamLimit.set(Own->Limit ? static_cast<double>(*Own->Limit)
                               : std::numeric_limits<double>::infinity());
  UpstreamQueued.set(static_cast<double>(Own->Queued));
  AdmissionLevel.set(static_cast<double>(Own->Level.index()));
}

} // namespace clementine
