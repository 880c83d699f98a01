#include "clementine_node/observe/status_publisher.h"

#include <cmath>
#include <utility>

namespace clementine {

namespace {

constexpr std::chrono::seconds PublishInterval{1};
constexpr std::chrono::milliseconds StopPollInterval{50};

std::optional<double> finite(double Limit) {
  return std::isinf(Limit) ? std::nullopt : std::optional(Limit);
}

} // namespace

status_publisher::status_publisher(status_sources Sources, const clock &Clock)
    : Sources(std::move(Sources)), Clock(Clock), StartedAt(Clock.now()),
      Task("status",
           [this](const std::atomic<bool> &Stopping) { run(Stopping); }, {},
           {}) {}

status_publisher::~status_publisher() { Task.stop(); }

void status_publisher::viewChanged(const member_view &Changed) {
  const std::lock_guard Lock(ViewMutex);
  View = Changed;
}

void status_publisher::run(const std::atomic<bool> &Stopping) {
  while (!Stopping) {
    Snapshot.publish(currentStatus());
    const instant Next = Clock.now() + PublishInterval;
    while (!Stopping && Clock.now() < Next)
      std::this_thread::sleep_for(StopPollInterval);
  }
}

node_status status_publisher::currentStatus() {
  node_status Status;
  Status.Identity = Sources.Self;
  Status.DataCentre = Sources.DataCentre;
  Status.Program = CLEMENTINE_VERSION;
  Status.Uptime = Clock.now() - StartedAt;
  Status.IsStopping = Sources.Engine.statistics().IsDraining;
  Status.Bundle = currentBundleStatus();
  addMembers(Status);
  addUpstreams(Status);
  addCallers(Status);
  return Status;
}

std::optional<bundle_status> status_publisher::currentBundleStatus() {
  const auto CurrentBundle = Sources.Bundle();
  if (!CurrentBundle)
    return std::nullopt;
  if (CurrentBundle->Head.Version != LastVersion) {
    LastVersion = CurrentBundle->Head.Version;
    InForceSince = Clock.now();
  }
  bundle_status Status;
  Status.Name = CurrentBundle->Content.name();
  Status.Version = CurrentBundle->Head.Version;
  Status.Digest = CurrentBundle->Head.Digest.text();
  Status.Owner = CurrentBundle->Head.Owner;
  Status.Reason = CurrentBundle->Head.Reason;
  Status.InForce = Clock.now() - InForceSince;
  return Status;
}

void status_publisher::addMembers(node_status &Status) const {
  const std::lock_guard Lock(ViewMutex);
  for (const shared_member &Member : View.Local)
    Status.Members.push_back({Member->Identity, Member->DataCentre,
                              Member->Service, Member->Http, Member->State,
                              Member->Identity.Name == Sources.Self.Name});
}

void status_publisher::addUpstreams(node_status &Status) const {
  const engine_statistics Statistics = Sources.Engine.statistics();
  const std::lock_guard Lock(ViewMutex);
  for (const auto &[Service, Members] : View.ByService)
    for (const shared_member &Member : Members) {
      upstream_status Upstream;
      Upstream.Service = Service;
      Upstream.Node = Member->Identity.Name;
      Upstream.DataCentre = Member->DataCentre;
      Upstream.IsDraining = Member->State == member_state::Leaving;
      Upstream.IsOwn = Member->Identity.Name == Sources.Self.Name;
      if (Upstream.IsOwn) {
        Upstream.InFlight = Statistics.Running;
        Upstream.Limit = Statistics.Limit;
        Upstream.Queued = Statistics.Queued;
        Upstream.Level = admission_level::fromIndex(Statistics.LevelIndex);
        Upstream.IsDraining = Upstream.IsDraining || Statistics.IsDraining;
        if (Statistics.MeanServiceTime > duration::zero())
          Upstream.MeanLatency = Statistics.MeanServiceTime;
      }
      Status.Upstreams.push_back(std::move(Upstream));
    }
}

void status_publisher::addCallers(node_status &Status) const {
  const auto CurrentBundle = Sources.Bundle();
  if (!CurrentBundle)
    return;
  for (const caller_entry &Entry : CurrentBundle->Content.callers()) {
    caller_status Caller;
    Caller.Name = Entry.Name;
    Caller.Owner = Entry.Owner;
    Caller.Importance = Entry.Importance;
    Caller.RateLimit = finite(Entry.Limits.Rate);
    if (Entry.Limits.Concurrency != UnlimitedConcurrency)
      Caller.ConcurrencyLimit = Entry.Limits.Concurrency;
    Caller.CostLimit = finite(Entry.Limits.CostRate);
    const caller_statistics Used = Sources.Usage.statisticsOf(Entry.Name);
    Caller.Rate = Used.CallsPerSecond;
    Caller.Cost = Used.CostPerSecond;
    Caller.InFlight = Used.InFlight;
    Caller.Refused = Used.Refused;
    Status.Callers.push_back(std::move(Caller));
  }
}

} // namespace clementine
