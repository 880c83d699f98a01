#include "clementine_admission/limits/adaptive_limiter.h"

#include <algorithm>
#include <cmath>

namespace clementine {

namespace {

/// A window needs this many samples for each slot of the limit, so that it
/// includes slow attempts too.
constexpr double SamplesPerSlot = 1.5;

/// The start-up phase multiplies the limit by this factor in each window.
constexpr double StartUpGrowth = 2.0;

/// The weight of a lower latency in the baseline, for each window. A small
/// weight keeps the baseline from falling to the minimum of random variation.
constexpr double BaselineDecreaseGain = 0.1;

/// A latency below this fraction of the baseline is more than random variation:
/// the upstream has become faster.
constexpr double FasterFactor = 0.75;
constexpr double FasterDecreaseGain = 0.5;

/// An attempt that timed out would have taken longer than the time measured, so
/// its latency is multiplied by this factor.
constexpr double TimeoutLatencyFactor = 2.0;

} // namespace

adaptive_limiter::adaptive_limiter(adaptive_limiter_settings Settings)
    : Settings(Settings),
      Limit(clampLimit(static_cast<double>(Settings.InitialLimit))) {}

std::size_t adaptive_limiter::limit() const {
  return static_cast<std::size_t>(Limit);
}

duration adaptive_limiter::baselineLatency() const {
  return duration(static_cast<duration::rep>(BaselineLatency));
}

void adaptive_limiter::addSample(const load_sample &Sample, instant Now) {
  switch (Sample.Outcome) {
  case work_outcome::Shed:
    addShedSample(Sample, Now);
    return;
  case work_outcome::Completed:
  case work_outcome::TimedOut:
    addLatencySample(Sample, Now);
    return;
  case work_outcome::Failed:
  case work_outcome::Cancelled:
    // Neither ran to completion, so their times say nothing about the load.
    return;
  }
}

void adaptive_limiter::addShedSample(const load_sample &Sample, instant Now) {
  if (Sample.StartedAt < Window.Since)
    return;
  SeenCongestion = true;
  GrowthStep = 1;
  if (!Window.Shed)
    LimitBeforeLastCut = Limit;
  const double AcceptedConcurrency =
      static_cast<double>(Sample.InFlightAtStart) - 1.0;
  const double Lowest = LimitBeforeLastCut * Settings.MinimumCutFactor;
  Limit = clampLimit(std::min(Limit, std::max(AcceptedConcurrency, Lowest)));
  if (!Window.Shed) {
    endExperiment();
    openWindow(Now);
  }
  Window.Shed = true;
}

void adaptive_limiter::addLatencySample(const load_sample &Sample,
                                        instant Now) {
  // An attempt that started under an earlier limit does not measure the effect
  // of the current one.
  if (Sample.StartedAt < Window.Since)
    return;
  double Nanoseconds =
      std::max(1.0, static_cast<double>(Sample.OwnTime.count()));
  if (Sample.Outcome == work_outcome::TimedOut)
    Nanoseconds *= TimeoutLatencyFactor;
  const double Log = std::log(Nanoseconds);
  ++Window.Count;
  Window.LogSum += Log;
  Window.LogSquareSum += Log * Log;
  Window.SubCallSum += static_cast<double>(Sample.SubCallTime.count());
  Window.LimitReached |= Sample.LimitReached;
  if (isWindowFull(Now))
    closeWindow(Now);
}

bool adaptive_limiter::isWindowFull(instant Now) const {
  const auto Count = static_cast<double>(Window.Count);
  if (Window.Count < Settings.MinimumSamples ||
      Now - Window.Since < Settings.MinimumWindowLength)
    return false;
  if (Window.Count >= Settings.MaximumSamples)
    return true;
  if (Count < SamplesPerSlot * Limit)
    return false;
  const double Mean = Window.LogSum / Count;
  const double Variance =
      std::max(0.0, Window.LogSquareSum / Count - Mean * Mean);
  return Variance / Count <=
         Settings.TargetStandardError * Settings.TargetStandardError;
}

void adaptive_limiter::closeWindow(instant Now) {
  const double Latency =
      std::exp(Window.LogSum / static_cast<double>(Window.Count));
  if (BaselineLatency == 0)
    BaselineLatency = Latency;
  if (Latency < BaselineLatency)
    lowerBaseline(Latency);

  const double SubCalls = Window.SubCallSum / static_cast<double>(Window.Count);
  const double Residence = Latency + SubCalls;
  const double Uncongested = BaselineLatency + SubCalls;
  if (Residence > Uncongested * Settings.Tolerance) {
    cut(Latency, SubCalls);
  } else {
    endExperiment();
    // Between cut target and tolerance the upstream is close to saturation, so
    // the limit stops doubling.
    SeenCongestion |= Residence > Uncongested * Settings.CutTarget;
    if (Window.LimitReached && !Window.Shed)
      grow();
  }
  openWindow(Now);
}

void adaptive_limiter::lowerBaseline(double Latency) {
  const bool IsFaster = Latency < BaselineLatency * FasterFactor;
  BaselineLatency += (Latency - BaselineLatency) *
                     (IsFaster ? FasterDecreaseGain : BaselineDecreaseGain);
}

void adaptive_limiter::grow() {
  if (!SeenCongestion) {
    Limit = clampLimit(Limit * StartUpGrowth);
    return;
  }
  Limit = clampLimit(Limit + GrowthStep);
  GrowthStep =
      std::clamp(GrowthStep * 2.0, 1.0,
                 std::max(1.0, Limit * Settings.MaximumGrowthFraction));
}

void adaptive_limiter::cut(double Latency, double SubCalls) {
  const double Residence = Latency + SubCalls;
  SeenCongestion = true;
  GrowthStep = 1;
  if (Cuts == 0) {
    LimitBeforeCuts = Limit;
  } else {
    const double Factor = Limit / LimitBeforeLastCut;
    const bool LatencyFell =
        Residence <= ResidenceBeforeLastCut * std::sqrt(Factor);
    CutsWithoutEffect = LatencyFell ? 0 : CutsWithoutEffect + 1;
  }
  if (CutsWithoutEffect >= Settings.CutsBeforeNewBaseline) {
    resetBaseline(Latency);
    return;
  }
  ++Cuts;
  ResidenceBeforeLastCut = Residence;
  LimitBeforeLastCut = Limit;
  const double Target = (BaselineLatency + SubCalls) * Settings.CutTarget;
  Limit = clampLimit(Limit *
                     std::max(Settings.MinimumCutFactor, Target / Residence));
}

void adaptive_limiter::resetBaseline(double Latency) {
  BaselineLatency = Latency;
  Limit = clampLimit(LimitBeforeCuts);
  endExperiment();
}

void adaptive_limiter::endExperiment() {
  Cuts = 0;
  CutsWithoutEffect = 0;
}

void adaptive_limiter::openWindow(instant Now) { Window = window{Now}; }

double adaptive_limiter::clampLimit(double Wanted) const {
  return std::clamp(Wanted, static_cast<double>(Settings.LowestLimit),
                    static_cast<double>(Settings.HighestLimit));
}

} // namespace clementine
