#include "clementine_proxy/model/routing_config.h"

#include <algorithm>
#include <cassert>

namespace clementine::proxy {

namespace {

char toLower(char Letter) {
  return Letter >= 'A' && Letter <= 'Z' ? static_cast<char>(Letter - 'A' + 'a')
                                        : Letter;
}

} // namespace

route_table::route_table(std::shared_ptr<const routing_config> Given)
    : Config(std::move(Given)) {
  for (const route &Each : Config->Routes) {
    ByHostAndPrefix.emplace(lookupKey(Each.Host, Each.Prefix), &Each);
    LowestUrgency = std::max(LowestUrgency, Each.Priority);
  }
}

std::string route_table::lookupKey(std::string_view Host,
                                   std::string_view Prefix) {
  std::string Key;
  Key.reserve(Host.size() + Prefix.size());
  for (const char Letter : Host.substr(0, Host.find(':')))
    Key += toLower(Letter);
  return Key.append(Prefix);
}

const route *route_table::find(std::string_view Host,
                               std::string_view Path) const {
  // Every prefix ends with a slash, so only the slashes of the path can end a
  // matching prefix.
  for (std::size_t End = Path.rfind('/'); End != std::string_view::npos;
       End = End == 0 ? std::string_view::npos : Path.rfind('/', End - 1)) {
    const auto Found =
        ByHostAndPrefix.find(lookupKey(Host, Path.substr(0, End + 1)));
    if (Found != ByHostAndPrefix.end())
      return Found->second;
  }
  return nullptr;
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
  const auto Highest = std::max_element(Credits.begin(), Credits.end());
  *Highest -= Total;
  return static_cast<std::size_t>(Highest - Credits.begin());
}

} // namespace clementine::proxy
