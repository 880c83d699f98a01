#ifndef CLEMENTINE_MEMBERSHIP_FAILURE_LOCAL_HEALTH_H
#define CLEMENTINE_MEMBERSHIP_FAILURE_LOCAL_HEALTH_H

#include "clementine_core/time/clock.h"

#include <algorithm>

namespace clementine {

/// How much a node doubts itself rather than others.
///
/// The local health multiplier of Lifeguard (Dadgar, Phillips, Currey:
/// Lifeguard: Local Health Awareness for More Accurate Failure Detection,
/// 2018): it stretches probe intervals and timeouts while the node's own probes
/// fail unheard.
class local_health {
public:
  /// The highest score.
  static constexpr int Worst = 8;

  /// Notes a sign that the node itself is slow.
  void worsen(int Steps) { Score = std::min(Worst, Score + Steps); }
  /// Notes an answered probe.
  void improve() { Score = std::max(0, Score - 1); }

  /// @returns @p Base times one more than the score.
  duration stretch(duration Base) const { return Base * (Score + 1); }
  /// @returns 0 for a healthy node, up to Worst.
  int score() const { return Score; }

private:
  int Score = 0;
};

} // namespace clementine

#endif
