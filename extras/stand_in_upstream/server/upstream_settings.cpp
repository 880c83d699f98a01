#include "stand_in_upstream/server/upstream_settings.h"

#include <sstream>

namespace clementine::stand_in {

bool addToCallPlan(const std::string &Text, call_plan &Plan) {
  const std::size_t Equals = Text.find('=');
  if (Equals == std::string::npos || Equals == 0)
    return false;
  std::vector<sub_call> Calls;
  std::istringstream Parts(Text.substr(Equals + 1));
  for (std::string Part; std::getline(Parts, Part, ',');) {
    const std::size_t Slash = Part.find('/');
    if (Slash == std::string::npos || Slash == 0 || Slash + 1 == Part.size())
      return false;
    Calls.push_back({Part.substr(0, Slash), Part.substr(Slash + 1)});
  }
  if (Calls.empty())
    return false;
  Plan[Text.substr(0, Equals)] = std::move(Calls);
  return true;
}

} // namespace clementine::stand_in
