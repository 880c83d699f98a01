#include "clementine_proxy/gate/downstream_limiter.h"

#include <algorithm>
#include <cmath>

namespace clementine::proxy {

downstream_limiter::downstream_limiter(downstream_limiter_settings Settings,
                                       double Limit)
    : Settings(Settings), HighestLimit(Limit), Limit(Limit) {}

void downstream_limiter::dropped() {
  Running -= std::min<std::size_t>(Running, 1);
}

void downstream_limiter::ended(bool HasFailed, instant StartedAt, instant Now) {
  const bool IsBinding = static_cast<double>(Running) + 1 >= Limit;
  FailureShare +=
      Settings.FailureWeight * ((HasFailed ? 1.0 : 0.0) - FailureShare);
  if (HasFailed) {
    LastFailure = Now;
    // What began before the last cut tells nothing about its effect.
    if (StartedAt >= LastCut && FailureShare > Settings.OwnFailureShare)
      cut(Now);
  } else if (IsBinding) {
    grow(Now);
  }
  dropped();
}

void downstream_limiter::cut(instant Now) {
  const double Share =
      std::clamp(FailureShare, Settings.SmallestCut, Settings.LargestCut);
  const double Present = std::min(Limit, static_cast<double>(Running));
  Limit = std::max(Settings.LowestLimit, Present * (1 - Share));
  LastCut = Now;
}

void downstream_limiter::grow(instant Now) {
  const double Doublings =
      std::chrono::duration<double>(Now - std::max(LastFailure, LastCut)) /
      std::chrono::duration<double>(Settings.GrowthDoubling);
  const double Step =
      std::min(Settings.LargestGrowth,
               Settings.Growth * std::exp2(std::clamp(Doublings, 0.0, 10.0)));
  Limit = std::min(HighestLimit, Limit + Step);
}

} // namespace clementine::proxy
