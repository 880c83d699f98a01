#ifndef CLEMENTINE_ROUTING_ROUTES_EXPIRING_LEVEL_H
#define CLEMENTINE_ROUTING_ROUTES_EXPIRING_LEVEL_H

#include "clementine_admission/gate/admission_level.h"
#include "clementine_core/time/clock.h"

#include <compare>

namespace clementine {

/// The lifetime of a level and the interval of its probes.
struct expiring_level_settings {
  /// A level expires after this time.
  duration Lifetime = std::chrono::seconds(1);
  /// The interval at which one request that the level does not admit is sent as
  /// a probe, so that recovery is detected before the level expires.
  duration ProbeInterval = std::chrono::milliseconds(50);

  auto operator<=>(const expiring_level_settings &) const = default;
};

/// An admission level received with an answer, and the probes that test it.
class expiring_level {
public:
  /// Stores a level.
  void learn(admission_level NewLevel, instant Now) {
    Level = NewLevel;
    LearnedAt = Now;
    Known = true;
  }

  /// @returns the level, or one that admits everything if unknown or expired.
  admission_level level(const expiring_level_settings &Settings,
                        instant Now) const {
    return isExpired(Settings, Now) ? admission_level{} : Level;
  }

  /// @returns whether no level is known or the known one has expired.
  bool isExpired(const expiring_level_settings &Settings, instant Now) const {
    return !Known || Now - LearnedAt > Settings.Lifetime;
  }

  /// Requests a probe of the level.
  /// @returns true at most once in each probe interval.
  bool tryStartProbe(const expiring_level_settings &Settings, instant Now) {
    if (Probed && Now < NextProbe)
      return false;
    Probed = true;
    NextProbe = Now + Settings.ProbeInterval;
    return true;
  }

  instant learnedAt() const { return LearnedAt; }

private:
  admission_level Level;
  instant LearnedAt;
  instant NextProbe;
  bool Known = false;
  bool Probed = false;
};

} // namespace clementine

#endif
