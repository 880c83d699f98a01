#include "clementine_bundle/format/bundle_error.h"

#include <array>

namespace clementine {

namespace {

constexpr std::array<std::string_view, 15> FaultNames = {
    "text too large",
    "too many sections",
    "too many errors; the remaining ones are omitted",
    "malformed line",
    "key outside any section",
    "unknown section",
    "bad name",
    "duplicate section",
    "missing section",
    "unknown key",
    "duplicate key",
    "missing key",
    "bad value",
    "unknown name",
    "rule without effect",
};

} // namespace

std::string_view faultName(bundle_fault Fault) {
  return FaultNames.at(static_cast<std::size_t>(Fault));
}

std::string bundle_error::text() const {
  std::string Text;
  if (Line > 0)
    Text += "line " + std::to_string(Line) + ": ";
  if (!Section.empty())
    Text += "[" + Section + "] ";
  if (!Key.empty())
    Text += Key + " ";
  if (!Value.empty())
    Text += (Key.empty() ? "'" : "= '") + Value + "' ";
  if (!Text.empty() && Text.back() == ' ' && Text[Text.size() - 2] != ':')
    Text.insert(Text.size() - 1, ":");
  Text += faultName(Fault);
  if (!Allowed.empty())
    Text += "; allowed: " + Allowed;
  return Text;
}

} // namespace clementine
