#include "clementine_settings/node/settings_error.h"

#include <array>
#include <string_view>

namespace clementine {

namespace {

/// In the order of the enumerators of settings_fault.
constexpr std::array<std::string_view, 14> FaultTexts = {
    "the file cannot be read",
    "the file is too large",
    "the line is too long",
    "the line is malformed",
    "the line contains a character that is not allowed",
    "the key precedes the first section",
    "the section is unknown",
    "the key is unknown",
    "the section is a duplicate",
    "the key is a duplicate",
    "the key is missing",
    "the value is malformed",
    "the value is out of range",
    "the value conflicts with another setting",
};

} // namespace

std::string settings_error::text() const {
  std::string Text = File;
  if (Line != 0)
    Text += ":" + std::to_string(Line);
  Text += ": ";
  if (!Section.empty())
    Text += "[" + Section + "] ";
  if (!Key.empty())
    Text += Key + ": ";
  Text += FaultTexts.at(static_cast<std::size_t>(Fault));
  if (!Value.empty())
    Text += ": '" + Value + "'";
  if (!Allowed.empty())
    Text += "; allowed: " + Allowed;
  return Text;
}

} // namespace clementine
