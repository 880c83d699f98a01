#ifndef CLEMENTINE_ADMISSION_LIMITS_ADAPTIVE_LIMITER_H
#define CLEMENTINE_ADMISSION_LIMITS_ADAPTIVE_LIMITER_H

#include "clementine_admission/limits/concurrency_limiter.h"

#include <cstddef>

namespace clementine {

/// Settings of an adaptive_limiter.
struct adaptive_limiter_settings {
  /// The limit before the first measurement.
  std::size_t InitialLimit = 10;
  std::size_t LowestLimit = 2;
  std::size_t HighestLimit = 2000;
  /// Latency above the baseline by more than this factor counts as congestion.
  double Tolerance = 1.5;
  /// A cut aims at a latency of the baseline times this factor: a short queue
  /// in the upstream keeps its slots busy.
  double CutTarget = 1.25;
  /// One window never lowers the limit below this fraction of its value.
  double MinimumCutFactor = 0.7;
  /// A growth step never exceeds this fraction of the limit, or 1 if that is
  /// more.
  double MaximumGrowthFraction = 0.1;
  /// This many consecutive cuts without a matching drop in latency show that
  /// the upstream has become slower rather than congested.
  unsigned CutsBeforeNewBaseline = 2;
  /// The minimum number of samples in a window.
  std::size_t MinimumSamples = 20;
  /// A window does not wait for more samples than this.
  std::size_t MaximumSamples = 300;
  /// A window takes samples until the standard error of the mean of its
  /// logarithms of latency is below this.
  double TargetStandardError = 0.08;
  /// The minimum duration of a window.
  duration MinimumWindowLength = std::chrono::milliseconds(20);

  auto operator<=>(const adaptive_limiter_settings &) const = default;
};

/// Estimates the concurrency that an upstream can sustain from its answers
/// alone.
///
/// Samples are collected in windows, and a window counts only attempts that
/// started in it. A window whose geometric mean latency stays near the
/// uncongested baseline raises the limit if the limit was reached: by doubling
/// until the first congestion, then by steps that double up to a fraction of
/// the limit. A congested window cuts the limit towards the point where the
/// latency would be near the baseline.
///
/// A cut is also an experiment. In saturation the latency of a queue is
/// proportional to the concurrency (Little's law), so that a cut by some factor
/// lowers the latency by the same factor. If the latency does not fall, the
/// upstream is slower rather than congested: the latency becomes the new
/// baseline and the limit from before the cuts is restored. A faster upstream
/// lowers the baseline quickly, a slightly lower latency lowers it slowly.
///
/// The baseline excludes sub-calls, since a slow downstream service is no
/// congestion here. The residence time (own time plus sub-calls) is compared
/// with its value at the baseline: slots are occupied during sub-calls, and the
/// wait for a slot lasts as long as they do.
///
/// An answer that reports load shedding by the upstream caps the limit below
/// the concurrency at which the attempt was sent.
///
/// @see Netflix concurrency-limits (Gradient2) and Envoy's adaptive concurrency
/// filter for limits from the ratio of latencies.
class adaptive_limiter final : public concurrency_limiter {
public:
  explicit adaptive_limiter(adaptive_limiter_settings Settings);
  adaptive_limiter() : adaptive_limiter(adaptive_limiter_settings{}) {}

  adaptive_limiter(const adaptive_limiter &) = delete;
  adaptive_limiter &operator=(const adaptive_limiter &) = delete;

  std::size_t limit() const override;
  void addSample(const load_sample &Sample, instant Now) override;

  /// @returns the estimated uncongested latency, or 0 before the first window.
  duration baselineLatency() const;

private:
  struct window {
    instant Since;
    std::size_t Count = 0;
    double LogSum = 0;
    double LogSquareSum = 0;
    double SubCallSum = 0;
    bool LimitReached = false;
    bool Shed = false;
  };

  void addShedSample(const load_sample &Sample, instant Now);
  void addLatencySample(const load_sample &Sample, instant Now);
  bool isWindowFull(instant Now) const;
  void closeWindow(instant Now);
  void lowerBaseline(double Latency);
  void grow();
  void cut(double Latency, double SubCalls);
  void resetBaseline(double Latency);
  void endExperiment();
  void openWindow(instant Now);
  double clampLimit(double Limit) const;

  const adaptive_limiter_settings Settings;
  double Limit;
  /// In nanoseconds; 0 before the first window.
  double BaselineLatency = 0;
  double GrowthStep = 1;
  bool SeenCongestion = false;
  /// The number of cuts in the current experiment.
  unsigned Cuts = 0;
  unsigned CutsWithoutEffect = 0;
  double LimitBeforeCuts = 0;
  double LimitBeforeLastCut = 0;
  double ResidenceBeforeLastCut = 0;
  window Window;
};

} // namespace clementine

#endif
