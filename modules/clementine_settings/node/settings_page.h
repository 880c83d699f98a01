#ifndef CLEMENTINE_SETTINGS_NODE_SETTINGS_PAGE_H
#define CLEMENTINE_SETTINGS_NODE_SETTINGS_PAGE_H

#include <string>

namespace clementine {

/// Writes the reference part of docs/SETTINGS.md from the table of settings: a
/// heading for each section, below it each key with what is allowed, what
/// happens without it and what it is for. In Markdown.
std::string settingsReference();

} // namespace clementine

#endif
