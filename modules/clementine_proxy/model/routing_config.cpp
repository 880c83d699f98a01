#include "clementine_proxy/model/routing_config.h"

#include <algorithm>
#include <cassert>

namespace clementine::proxy {

namespace {

char lowered(char Letter) {
  return Letter >= 'A' && Letter <= 'Z' ? static_cast<char>(Letter - 'A' + 'a')
                                        : Letter;
}

bool equalsIgnoringCase(std::string_view Left, std::string_view Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](char A, char B) { return lowered(A) == lowered(B); });
}

} // namespace

const route *routing_config::find(std::string_view Host,
                                  std::string_view Path) const {
  Host = Host.substr(0, Host.find(':'));
  const route *Best = nullptr;
  for (const route &Candidate : Routes) {
    if (!Path.starts_with(Candidate.Prefix) ||
        !equalsIgnoringCase(Host, Candidate.Host))
      continue;
    if (Best == nullptr || Candidate.Prefix.size() > Best->Prefix.size())
      Best = &Candidate;
  }
  return Best;
}

std::uint32_t routing_config::lowestUrgency() const {
  std::uint32_t Lowest = 0;
  for (const route &Each : Routes)
    Lowest = std::max(Lowest, Each.Priority);
  return Lowest;
}

std::size_t
weighted_rotation::next(const std::vector<weighted_service> &Services) {
  assert(!Services.empty() && "a route has at least one service");
  if (Services.size() == 1)
    return 0;
  Credits.resize(Services.size(), 0);
  std::int64_t Total = 0;
  for (std::size_t Index = 0; Index < Services.size(); ++Index) {
    Credits[Index] += Services[Index].Weight;
    Total += Services[Index].Weight;
  }
  const auto Richest = std::max_element(Credits.begin(), Credits.end());
  *Richest -= Total;
  return static_cast<std::size_t>(Richest - Credits.begin());
}

} // namespace clementine::proxy
