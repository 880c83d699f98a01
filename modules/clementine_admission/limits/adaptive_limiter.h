#ifndef CLEMENTINE_ADMISSION_LIMITS_ADAPTIVE_LIMITER_H
#define CLEMENTINE_ADMISSION_LIMITS_ADAPTIVE_LIMITER_H

#include "clementine_admission/limits/concurrency_limiter.h"

#include <cstddef>

namespace clementine {

/// How a adaptive_limiter moves.
struct adaptive_limiter_settings {
  /// The limit before anything is known.
  std::size_t InitialLimit = 10;
  std::size_t LowestLimit = 2;
  std::size_t HighestLimit = 2000;
  /// Latency above the floor by more than this factor counts as congestion.
  double Tolerance = 1.5;
  /// A cut aims at this factor above the floor: a short queue in the upstream
  /// keeps its slots busy.
  double CutTarget = 1.25;
  /// One window never lowers the limit by more than this factor.
  double MinimumCutFactor = 0.7;
  /// A growth step never exceeds this share of the limit.
  double MaximumGrowthFraction = 0.1;
  /// This many cuts in a row that leave the latency as it was show that the
  /// upstream has become slower rather than congested.
  unsigned CutsBeforeNewBaseline = 2;
  /// The fewest samples in a window.
  std::size_t MinimumSamples = 20;
  /// The most samples that a window waits for.
  std::size_t MaximumSamples = 300;
  /// A window takes samples until the standard error of its mean of
  /// logarithms is below this.
  double TargetStandardError = 0.08;
  /// The shortest window.
  duration MinimumWindowLength = std::chrono::milliseconds(20);

  auto operator<=>(const adaptive_limiter_settings &) const = default;
};

/// Learns the concurrency of an upstream from its answers alone.
///
/// Samples are gathered in windows, and only attempts that began within a
/// window count for it. A window whose geometric mean latency stays near the
/// uncongested floor raises the limit if the limit held work back: by doubling
/// until the first congestion, then by steps that double up to a share of the
/// limit. A congested window cuts the limit towards the point where the latency
/// would be near the floor.
///
/// A cut is also an experiment. Past the knee the latency of a queue is
/// proportional to the concurrency (Little's law), so that a cut by a factor
/// lowers it by the same factor. If it does not fall, the upstream is slower
/// rather than congested: the latency becomes the new floor and the limit
/// before the cuts comes back. A faster upstream lowers the floor at once, a
/// slightly lower latency lowers it slowly.
///
/// The floor leaves sub-calls out, since a slow service further down is no
/// congestion here. What is compared is the residence, own time and sub-calls,
/// with what it would be at the floor: slots are held through sub-calls, and a
/// wait for one lasts as long as they do.
///
/// An answer by which the upstream sheds caps the limit below the concurrency
/// at which it was sent.
///
/// @see Netflix concurrency-limits (Gradient2) and Envoy's adaptive
/// concurrency filter for limits from the ratio of latencies.
class adaptive_limiter final : public concurrency_limiter {
public:
  explicit adaptive_limiter(adaptive_limiter_settings Settings);
  adaptive_limiter() : adaptive_limiter(adaptive_limiter_settings{}) {}

  adaptive_limiter(const adaptive_limiter &) = delete;
  adaptive_limiter &operator=(const adaptive_limiter &) = delete;

  std::size_t limit() const override;
  void addSample(const load_sample &Sample, instant Now) override;

  /// @returns the uncongested latency as far as it is known, or 0.
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
  /// The cuts of the running experiment.
  unsigned Cuts = 0;
  unsigned CutsWithoutEffect = 0;
  double LimitBeforeCuts = 0;
  double LimitBeforeLastCut = 0;
  double ResidenceBeforeLastCut = 0;
  window Window;
};

} // namespace clementine

#endif
