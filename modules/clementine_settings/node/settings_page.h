#ifndef CLEMENTINE_SETTINGS_NODE_SETTINGS_PAGE_H
#define CLEMENTINE_SETTINGS_NODE_SETTINGS_PAGE_H

#include <string>

namespace clementine {

/// Generates the reference part of docs/SETTINGS.md from the table of settings.
/// @returns Markdown with a heading for each section, followed by each key with
/// its allowed values, its default and its description.
std::string settingsReference();

} // namespace clementine

#endif
