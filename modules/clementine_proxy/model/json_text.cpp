#include "clementine_proxy/model/json_text.h"

namespace clementine::proxy {

using nlohmann::json;

namespace {

bool nestsTooDeeply(std::string_view Text) {
  unsigned Depth = 0;
  bool IsInString = false;
  for (std::size_t At = 0; At < Text.size(); ++At) {
    const char Character = Text[At];
    if (IsInString) {
      if (Character == '\\')
        ++At;
      else if (Character == '"')
        IsInString = false;
    } else if (Character == '"') {
      IsInString = true;
    } else if (Character == '[' || Character == '{') {
      if (++Depth > MaxJsonDepth)
        return true;
    } else if ((Character == ']' || Character == '}') && Depth > 0) {
      --Depth;
    }
  }
  return false;
}

} // namespace

json parseJson(std::string_view Text) {
  if (nestsTooDeeply(Text))
    return json(json::value_t::discarded);
  return json::parse(Text, nullptr, false);
}

std::optional<std::uint64_t> unsignedOf(const json &Value,
                                        std::uint64_t Highest) {
  if (!Value.is_number_unsigned() || Value.get<std::uint64_t>() > Highest)
    return std::nullopt;
  return Value.get<std::uint64_t>();
}

} // namespace clementine::proxy
