#include "clementine_routing/routes/admission_hints.h"

#include <algorithm>

namespace clementine {

void admission_hints::learn(const std::string &Operation, admission_level Level,
                            instant Now) {
  auto Known = Hints.find(Operation);
  if (Known == Hints.end()) {
    if (Hints.size() >= Settings.MaximumKeys)
      evictHints(Now);
    Known = Hints.emplace(Operation, expiring_level{}).first;
  }
  Known->second.learn(Level, Now);
}

hint_verdict admission_hints::decide(const std::string &Operation,
                                     const admission_rank &Rank, instant Now) {
  const auto Known = Hints.find(Operation);
  if (Known == Hints.end() || Rank.Importance == importance::Critical)
    return hint_verdict::Admitted;
  expiring_level &Hint = Known->second;
  if (Hint.level(Settings.Expiry, Now).admits(Rank))
    return hint_verdict::Admitted;
  return Hint.tryStartProbe(Settings.Expiry, Now) ? hint_verdict::Probe
                                                  : hint_verdict::RefusedEarly;
}

admission_level admission_hints::level(const std::string &Operation,
                                       instant Now) const {
  const auto Known = Hints.find(Operation);
  if (Known == Hints.end())
    return {};
  return Known->second.level(Settings.Expiry, Now);
}

void admission_hints::evictHints(instant Now) {
  const auto IsExpired = [&](const auto &Entry) {
    return Entry.second.isExpired(Settings.Expiry, Now);
  };
  if (std::erase_if(Hints, IsExpired) > 0)
    return;
  const auto Oldest = std::min_element(
      Hints.begin(), Hints.end(), [](const auto &Left, const auto &Right) {
        return Left.second.learnedAt() < Right.second.learnedAt();
      });
  Hints.erase(Oldest);
}

} // namespace clementine
