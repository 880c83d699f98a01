#include "clementine_proxy/gate/downstream_limiter.h"

#include <algorithm>
#include <cmath>

namespace clementine::proxy {

downstream_limiter::downstream_limiter(downstream_limiter_settings Settings,
                                       double Limit)
    : Settings(Settings), MaxLimit(Limit), Limit(Limit) {}

void downstream_limiter::endedWithoutResult() {
  Running -= std::min<std::size_t>(Running, 1);
}

void downstream_limiter::ended(bool HasFailed, instant StartedAt, instant Now) {
  const bool IsBinding = static_cast<double>(Running) + 1 >= Limit;
  FailureShare +=
      Settings.FailureWeight * ((HasFailed ? 1.0 : 0.0) - FailureShare);
  if (HasFailed) {
    LastFailure = Now;
    // Runs that started before the last decrease do not show its effect.
    if (StartedAt >= LastDecrease &&
        FailureShare > Settings.ToleratedFailureShare)
      decrease(Now);
  } else if (IsBinding) {
    increase(Now);
  }
  endedWithoutResult();
}

void downstream_limiter::decrease(instant Now) {
  const double Share =
      std::clamp(FailureShare, Settings.MinDecrease, Settings.MaxDecrease);
  const double LimitInUse = std::min(Limit, static_cast<double>(Running));
  Limit = std::max(Settings.MinLimit, LimitInUse * (1 - Share));
  LastDecrease = Now;
}

void downstream_limiter::increase(instant Now) {
  const double Doublings =
      std::chrono::duration<double>(Now - std::max(LastFailure, LastDecrease)) /
      std::chrono::duration<double>(Settings.IncreaseDoublingTime);
  const double Step =
      std::min(Settings.MaxIncrease,
               Settings.Increase * std::exp2(std::clamp(Doublings, 0.0, 10.0)));
  Limit = std::min(MaxLimit, Limit + Step);
}

} // namespace clementine::proxy
