#include "clementine_settings/node/settings_page.h"

#include "clementine_settings/node/settings_table.h"

#include <array>

namespace clementine {

namespace {

std::string presenceText(const setting &Setting) {
  switch (Setting.Presence) {
  case setting_presence::Required:
    return "required";
  case setting_presence::Defaulted:
    return "default `" + std::string(Setting.Default) + "`";
  case setting_presence::Optional:
    return "optional";
  }
  return {};
}

std::string settingEntry(const setting &Setting) {
  return "- `" + std::string(Setting.Key) + "` (" + presenceText(Setting) +
         "): " + std::string(Setting.Description) +
         "\n  Allowed: " + allowedText(Setting) + ".\n";
}

} // namespace

std::string settingsReference() {
  std::string Page;
  std::string_view Section;
  for (const setting &Setting : settingsTable()) {
    if (Setting.Section != Section)
      Page += (Page.empty() ? "### [" : "\n### [") +
              std::string(Setting.Section) + "]\n\n";
    Section = Setting.Section;
    Page += settingEntry(Setting);
  }
  return Page;
}

} // namespace clementine
