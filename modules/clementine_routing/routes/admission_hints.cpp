#include "clementine_routing/routes/admission_hints.h"

#include <algorithm>

namespace clementine {

void admission_hints::learn(const std::string &Operation, admission_level Level,
                            instant Now) {
  auto Known = Hints.find(Operation);
  if (Known == Hints.end()) {
    if (Hints.size() >= Settings.MostKeys)
      makeRoom(Now);
    Known = Hints.emplace(Operation, aged_level{}).first;
  }
  Known->second.learn(Level, Now);
}

hint_verdict admission_hints::decide(const std::string &Operation,
                                     const admission_rank &Rank, instant Now) {
  const auto Known = Hints.find(Operation);
  if (Known == Hints.end() || Rank.Importance == importance::Critical)
    return hint_verdict::Admitted;
  aged_level &Hint = Known->second;
  if (Hint.level(Settings.Ageing, Now).admits(Rank))
    return hint_verdict::Admitted;
  return Hint.takeProbe(Settings.Ageing, Now) ? hint_verdict::Probe
                                              : hint_verdict::RefusedEarly;
}

admission_level admission_hints::level(const std::string &Operation,
                                       instant Now) const {
  const auto Known = Hints.find(Operation);
  if (Known == Hints.end())
    return {};
  return Known->second.level(Settings.Ageing, Now);
}

void admission_hints::makeRoom(instant Now) {
  const auto IsOld = [&](const auto &Entry) {
    return Entry.second.isOld(Settings.Ageing, Now);
  };
  if (std::erase_if(Hints, IsOld) > 0)
    return;
  const auto Oldest = std::min_element(
      Hints.begin(), Hints.end(), [](const auto &Left, const auto &Right) {
        return Left.second.learnedAt() < Right.second.learnedAt();
      });
  Hints.erase(Oldest);
}

} // namespace clementine
