#include "clementine_node/observe/status_duty.h"

#include <cmath>
#include <utility>

namespace clementine {

namespace {

constexpr std::chrono::seconds PublishInterval{1};
constexpr std::chrono::milliseconds RestStep{50};

std::optional<double> finite(double Limit) {
  return std::isinf(Limit) ? std::nullopt : std::optional(Limit);
}

} // namespace

status_duty::status_duty(status_sources Sources, const clock &Clock)
    : Sources(std::move(Sources)), Clock(Clock), StartedAt(Clock.now()),
      Task("status",
           [this](const std::atomic<bool> &Stopping) { run(Stopping); }, {},
           {}) {}

status_duty::~status_duty() { Task.stop(); }

void status_duty::viewChanged(const member_view &Changed) {
  const std::lock_guard Lock(ViewMutex);
  View = Changed;
}

void status_duty::run(const std::atomic<bool> &Stopping) {
  while (!Stopping) {
    Snapshot.publish(statusNow());
    const instant Next = Clock.now() + PublishInterval;
    while (!Stopping && Clock.now() < Next)
      std::this_thread::sleep_for(RestStep);
  }
}

node_status status_duty::statusNow() {
  node_status Status;
  Status.Identity = Sources.Self;
  Status.DataCentre = Sources.DataCentre;
  Status.Program = CLEMENTINE_VERSION;
  Status.Uptime = Clock.now() - StartedAt;
  Status.IsStopping = Sources.Engine.figures().IsDraining;
  Status.Bundle = bundleNow();
  addMembers(Status);
  addUpstreams(Status);
  addCallers(Status);
  return Status;
}

std::optional<bundle_status> status_duty::bundleNow() {
  const auto Held = Sources.Bundle();
  if (!Held)
    return std::nullopt;
  if (Held->Head.Version != SeenVersion) {
    SeenVersion = Held->Head.Version;
    InForceSince = Clock.now();
  }
  bundle_status Status;
  Status.Name = Held->Content.name();
  Status.Version = Held->Head.Version;
  Status.Digest = Held->Head.Digest.text();
  Status.Owner = Held->Head.Owner;
  Status.Reason = Held->Head.Reason;
  Status.InForce = Clock.now() - InForceSince;
  return Status;
}

void status_duty::addMembers(node_status &Status) const {
  const std::lock_guard Lock(ViewMutex);
  for (const shared_member &Member : View.Local)
    Status.Members.push_back({Member->Identity, Member->DataCentre,
                              Member->Service, Member->Http, Member->State,
                              Member->Identity.Name == Sources.Self.Name});
}

void status_duty::addUpstreams(node_status &Status) const {
  const engine_figures Figures = Sources.Engine.figures();
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
        Upstream.InFlight = Figures.Running;
        Upstream.Limit = Figures.Limit;
        Upstream.Queued = Figures.Queued;
        Upstream.Level = admission_level::fromIndex(Figures.LevelIndex);
        Upstream.IsDraining = Upstream.IsDraining || Figures.IsDraining;
        if (Figures.MeanServiceTime > duration::zero())
          Upstream.MeanLatency = Figures.MeanServiceTime;
      }
      Status.Upstreams.push_back(std::move(Upstream));
    }
}

void status_duty::addCallers(node_status &Status) const {
  const auto Held = Sources.Bundle();
  if (!Held)
    return;
  for (const caller_entry &Entry : Held->Content.callers()) {
    caller_status Caller;
    Caller.Name = Entry.Name;
    Caller.Owner = Entry.Owner;
    Caller.Importance = Entry.Importance;
    Caller.RateLimit = finite(Entry.Limits.Rate);
    if (Entry.Limits.Concurrency != UnlimitedConcurrency)
      Caller.ConcurrencyLimit = Entry.Limits.Concurrency;
    Caller.CostLimit = finite(Entry.Limits.CostRate);
    const caller_figures Used = Sources.Usage.figuresOf(Entry.Name);
    Caller.Rate = Used.CallsPerSecond;
    Caller.Cost = Used.CostPerSecond;
    Caller.InFlight = Used.InFlight;
    Caller.Refused = Used.Refused;
    Status.Callers.push_back(std::move(Caller));
  }
}

} // namespace clementine
