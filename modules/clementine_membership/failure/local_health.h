#ifndef CLEMENTINE_MEMBERSHIP_FAILURE_LOCAL_HEALTH_H
#define CLEMENTINE_MEMBERSHIP_FAILURE_LOCAL_HEALTH_H

#include "clementine_core/time/clock.h"

#include <algorithm>

namespace clementine {

/// A score of the local node's own health.
///
/// The local health multiplier of Lifeguard (Dadgar, Phillips, Currey:
/// Lifeguard: Local Health Awareness for More Accurate Failure Detection,
/// 2018): it lengthens probe intervals and timeouts while the node's own probes
/// fail without Nacks from helpers or the node has to refute accusations.
class local_health {
public:
  /// The score of the least healthy node.
  static constexpr int MaxScore = 8;

  /// Raises the score after a sign that the local node is slow.
  void worsen(int Steps) { Score = std::min(MaxScore, Score + Steps); }
  /// Lowers the score by one after an answered probe.
  void improve() { Score = std::max(0, Score - 1); }

  /// @returns @p Base multiplied by the score plus one.
  duration scale(duration Base) const { return Base * (Score + 1); }
  /// @returns 0 for a healthy node, up to MaxScore.
  int score() const { return Score; }

private:
  int Score = 0;
};

} // namespace clementine

#endif
