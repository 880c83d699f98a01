#include "clementine_load/description/description_error.h"

#include <array>
#include <string_view>

namespace clementine::load {

namespace {

constexpr std::array<std::string_view, 6> FaultNames = {
    "malformed line", "unknown section", "unknown key",
    "bad value",      "missing key",     "inconsistent value"};

} // namespace

std::string description_error::text() const {
  std::string Text =
      "line " + std::to_string(Line) + ": [" + Section + "] " + Key + ": ";
  Text += FaultNames.at(static_cast<std::size_t>(Fault));
  if (!Value.empty())
    Text += " '" + Value + "'";
  return Text;
}

} // namespace clementine::load
