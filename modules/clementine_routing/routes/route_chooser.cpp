#include "clementine_routing/routes/route_chooser.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace clementine {

namespace {

/// The weight of one answer in the mean latency of an instance.
constexpr double LatencyGain = 0.2;

/// The weight of one answer in the mean latency of the service.
constexpr double ServiceLatencyGain = 0.02;

/// The weight of one answer in the share of failures.
constexpr double FailureGain = 0.0625;

/// The latency of an instance that always fails is raised by this multiple for
/// the comparison, since fast failures would otherwise attract calls.
constexpr double FailurePenalty = 8.0;

constexpr double MinimumLatencyNanoseconds = 1000.0;

double updatedMean(double Mean, double Sample, double Gain) {
  return Mean == 0 ? Sample : Mean + (Sample - Mean) * Gain;
}

double elapsedFraction(instant Since, instant Now, duration Span) {
  return std::clamp(static_cast<double>((Now - Since).count()) /
                        static_cast<double>(Span.count()),
                    0.0, 1.0);
}

} // namespace

route_chooser::route_chooser(route_settings Settings, random_source &Random)
    : Settings(std::move(Settings)), Random(Random) {}

void route_chooser::setCandidates(
    const std::vector<route_candidate> &Candidates, instant Now) {
  std::vector<instance> Next;
  Next.reserve(Candidates.size());
  for (const route_candidate &Candidate : Candidates) {
    assert(Candidate.Weight > 0 && "the weight must be positive");
    const instance *Known = find(Candidate.Node);
    Next.push_back(Known ? *Known : instance{Candidate, Now});
    Next.back().Candidate = Candidate;
  }
  Instances = std::move(Next);
  ByName.clear();
  for (std::size_t Index = 0; Index < Instances.size(); ++Index)
    ByName[Instances[Index].Candidate.Node.Name] = Index;
  rebuildSubsets();
}

void route_chooser::rebuildSubsets() {
  Local.clear();
  Remote.clear();
  for (std::size_t Index = 0; Index < Instances.size(); ++Index) {
    const route_candidate &Candidate = Instances[Index].Candidate;
    if (Candidate.Leaving)
      continue;
    const bool IsLocal = Candidate.DataCentre == Settings.OwnDataCentre;
    (IsLocal ? Local : Remote).push_back(Index);
  }
  limitToSubset(Local);
  limitToSubset(Remote);
}

void route_chooser::limitToSubset(index_list &Subset) const {
  if (Subset.size() <= Settings.SubsetSize)
    return;
  std::vector<std::pair<std::uint64_t, std::size_t>> Ranked;
  Ranked.reserve(Subset.size());
  for (const std::size_t Index : Subset)
    Ranked.emplace_back(stableHash(Settings.OwnName + "\n" +
                                   Instances[Index].Candidate.Node.Name),
                        Index);
  std::sort(Ranked.begin(), Ranked.end());
  Subset.clear();
  for (std::size_t Place = 0; Place < Settings.SubsetSize; ++Place)
    Subset.push_back(Ranked[Place].second);
}

result<route_choice, route_failure>
route_chooser::choose(const route_request &Request, instant Now) {
  if (const instance *Best = pickOfTwo(Local, Request, Now))
    return choiceOf(*Best, false);
  if (const instance *Best = pickOfTwo(Remote, Request, Now))
    return choiceOf(*Best, false);
  if (const instance *ProbeTarget = pickProbeTarget(Request, Now))
    return choiceOf(*ProbeTarget, true);
  const route_failure Failure = failureOf(Request);
  if (Failure == route_failure::AllWouldRefuse)
    if (const instance *Unresponsive = pickUnresponsive(Request))
      return choiceOf(*Unresponsive, true);
  return Failure;
}

const route_chooser::instance *
route_chooser::pickOfTwo(const index_list &Subset, const route_request &Request,
                         instant Now) {
  if (Subset.empty())
    return nullptr;
  const instance &First = Instances[Subset[Random.below(Subset.size())]];
  const instance &Second = Instances[Subset[Random.below(Subset.size())]];
  if (&First != &Second && isEligible(First, Request, Now) &&
      isEligible(Second, Request, Now))
    return betterOf(&First, &Second, Now);

  Eligible.clear();
  for (const std::size_t Index : Subset)
    if (isEligible(Instances[Index], Request, Now))
      Eligible.push_back(Index);
  if (Eligible.empty())
    return nullptr;
  const std::size_t Left = Random.below(Eligible.size());
  if (Eligible.size() == 1)
    return &Instances[Eligible[Left]];
  // The second draw excludes the first, so that two different instances are
  // compared.
  const std::size_t Right =
      (Left + 1 + Random.below(Eligible.size() - 1)) % Eligible.size();
  return betterOf(&Instances[Eligible[Left]], &Instances[Eligible[Right]], Now);
}

const route_chooser::instance *route_chooser::betterOf(const instance *Left,
                                                       const instance *Right,
                                                       instant Now) const {
  return score(*Right, Now) < score(*Left, Now) ? Right : Left;
}

route_chooser::instance *
route_chooser::pickProbeTarget(const route_request &Request, instant Now) {
  const bool MustTry = Request.Rank.Importance <= importance::High;
  instance *Best = nullptr;
  for (const index_list *Subset : {&Local, &Remote}) {
    for (const std::size_t Index : *Subset) {
      instance &Instance = Instances[Index];
      if (!isUsable(Instance, Request) || Now < Instance.AvoidedUntil)
        continue;
      if (!MustTry && Instance.Level.tryStartProbe(Settings.Expiry, Now))
        return &Instance;
      if (!Best || Best->Level.level(Settings.Expiry, Now) <
                       Instance.Level.level(Settings.Expiry, Now))
        Best = &Instance;
    }
  }
  return MustTry ? Best : nullptr;
}

const route_chooser::instance *
route_chooser::pickUnresponsive(const route_request &Request) const {
  // If no instance answers, a fault on this side is more likely; waiting for
  // the back-offs to end would turn it into an outage.
  const instance *Earliest = nullptr;
  for (const index_list *Subset : {&Local, &Remote}) {
    for (const std::size_t Index : *Subset) {
      const instance &Instance = Instances[Index];
      if (!isUsable(Instance, Request))
        continue;
      if (Instance.UnansweredInRow == 0)
        return nullptr;
      if (!Earliest || Instance.AvoidedUntil < Earliest->AvoidedUntil)
        Earliest = &Instance;
    }
  }
  return Earliest;
}

bool route_chooser::isUsable(const instance &Instance,
                             const route_request &Request) const {
  const auto &Excluded = Request.Excluded;
  return std::find(Excluded.begin(), Excluded.end(),
                   Instance.Candidate.Node.Name) == Excluded.end();
}

bool route_chooser::isEligible(const instance &Instance,
                               const route_request &Request,
                               instant Now) const {
  return Now >= Instance.AvoidedUntil && isUsable(Instance, Request) &&
         Instance.Level.level(Settings.Expiry, Now).admits(Request.Rank);
}

double route_chooser::score(const instance &Instance, instant Now) const {
  double Latency = Mean;
  if (Instance.Latency > 0) {
    const double Age =
        elapsedFraction(Instance.MeasuredAt, Now, Settings.LatencyLifetime);
    Latency = Instance.Latency + (Mean - Instance.Latency) * Age;
  }
  double Share = Instance.Candidate.Weight;
  if (Instance.Candidate.Warming) {
    const double WarmUpProgress =
        elapsedFraction(Instance.FirstSeen, Now, Settings.SlowStart);
    Share *=
        Settings.InitialShare + (1.0 - Settings.InitialShare) * WarmUpProgress;
  }
  const double Failures = 1.0 + FailurePenalty * Instance.FailureShare;
  return static_cast<double>(Instance.InFlight + 1) *
         std::max(Latency, MinimumLatencyNanoseconds) * Failures / Share;
}

route_choice route_chooser::choiceOf(const instance &Instance,
                                     bool IsProbe) const {
  const route_candidate &Candidate = Instance.Candidate;
  return {Candidate.Node, Candidate.DataCentre != Settings.OwnDataCentre,
          IsProbe};
}

route_failure route_chooser::failureOf(const route_request &Request) const {
  if (Local.empty() && Remote.empty())
    return route_failure::NoInstance;
  const auto Usable = [&](std::size_t Index) {
    return isUsable(Instances[Index], Request);
  };
  const bool AnyUsable = std::any_of(Local.begin(), Local.end(), Usable) ||
                         std::any_of(Remote.begin(), Remote.end(), Usable);
  return AnyUsable ? route_failure::AllWouldRefuse : route_failure::AllTried;
}

void route_chooser::onSend(const node_identity &Node, instant) {
  if (instance *Instance = find(Node))
    ++Instance->InFlight;
}

void route_chooser::onAnswer(const node_identity &Node, answer_kind Kind,
                             duration Latency, admission_level Level,
                             instant Now) {
  instance *Instance = find(Node);
  if (!Instance)
    return;
  if (Instance->InFlight > 0)
    --Instance->InFlight;
  Instance->Level.learn(Level, Now);
  Instance->UnansweredInRow = 0;
  Instance->AvoidedUntil = {};
  if (Kind == answer_kind::Refused)
    return;
  const double Failed = Kind == answer_kind::Failed ? 1.0 : 0.0;
  Instance->FailureShare += (Failed - Instance->FailureShare) * FailureGain;
  if (Kind != answer_kind::Completed)
    return;
  const auto Nanoseconds = static_cast<double>(Latency.count());
  Instance->Latency = updatedMean(Instance->Latency, Nanoseconds, LatencyGain);
  Instance->MeasuredAt = Now;
  Mean = updatedMean(Mean, Nanoseconds, ServiceLatencyGain);
}

void route_chooser::onNoAnswer(const node_identity &Node, instant Now) {
  instance *Instance = find(Node);
  if (!Instance)
    return;
  if (Instance->InFlight > 0)
    --Instance->InFlight;
  constexpr unsigned MaximumDoublings = 16;
  const duration Backoff =
      Settings.NoAnswerBackoff *
      (1U << std::min(Instance->UnansweredInRow, MaximumDoublings));
  Instance->AvoidedUntil =
      Now + std::min(Backoff, Settings.MaximumNoAnswerBackoff);
  ++Instance->UnansweredInRow;
}

void route_chooser::onAlive(const node_identity &Node) {
  instance *Instance = find(Node);
  if (!Instance)
    return;
  Instance->UnansweredInRow = 0;
  Instance->AvoidedUntil = {};
}

std::size_t route_chooser::inFlight(const node_identity &Node) const {
  const auto Known = ByName.find(Node.Name);
  if (Known == ByName.end())
    return 0;
  const instance &Instance = Instances[Known->second];
  return Instance.Candidate.Node == Node ? Instance.InFlight : 0;
}

route_chooser::instance *route_chooser::find(const node_identity &Node) {
  const auto Known = ByName.find(Node.Name);
  if (Known == ByName.end())
    return nullptr;
  instance &Instance = Instances[Known->second];
  return Instance.Candidate.Node == Node ? &Instance : nullptr;
}

} // namespace clementine
