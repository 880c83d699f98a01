#ifndef CLEMENTINE_ROUTING_ROUTES_EXPIRING_LEVEL_H
#define CLEMENTINE_ROUTING_ROUTES_EXPIRING_LEVEL_H

#include "clementine_admission/gate/admission_level.h"
#include "clementine_core/time/clock.h"

#include <compare>

namespace clementine {

/// How long a level counts and how often it is tested.
struct expiring_level_settings {
  /// An older level counts no more.
  duration Lifetime = std::chrono::seconds(1);
  /// One request past the level gets through as a probe this often, so that
  /// recovery shows before the level is old.
  duration ProbeInterval = std::chrono::milliseconds(50);

  auto operator<=>(const expiring_level_settings &) const = default;
};

/// A level that an answer brought, and the probes that test it.
class expiring_level {
public:
  /// Takes in a level.
  void learn(admission_level NewLevel, instant Now) {
    Level = NewLevel;
    LearnedAt = Now;
    Known = true;
  }

  /// @returns the level, or one that lets in everything if unknown or old.
  admission_level level(const expiring_level_settings &Settings,
                        instant Now) const {
    return isExpired(Settings, Now) ? admission_level{} : Level;
  }

  /// @returns whether nothing is known that still counts.
  bool isExpired(const expiring_level_settings &Settings, instant Now) const {
    return !Known || Now - LearnedAt > Settings.Lifetime;
  }

  /// Asks for a probe past the level.
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
