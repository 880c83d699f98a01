#ifndef CLEMENTINE_SETTINGS_NODE_SETTINGS_READER_H
#define CLEMENTINE_SETTINGS_NODE_SETTINGS_READER_H

#include "clementine_core/errors/result.h"
#include "clementine_settings/node/node_settings.h"
#include "clementine_settings/node/settings_error.h"

#include <iosfwd>
#include <string>
#include <string_view>

namespace clementine {

/// The exit code of a program whose settings are sound.
constexpr int SettingsSoundExitCode = 0;

/// The exit code of a program whose settings have a fault.
constexpr int SettingsFaultyExitCode = 2;

/// Reads a node's settings from an INI text.
/// @param File the name that errors give.
/// @returns the settings with all defaults, or every fault at once.
result<node_settings, settings_errors> readSettings(std::string_view Text,
                                                    const std::string &File);

/// Reads a node's settings from a file.
/// @returns as readSettings(); a file that cannot be read is a fault, too.
result<node_settings, settings_errors> loadSettings(const std::string &File);

/// Checks a settings file and tells the operator the outcome.
/// @param Output gets one line for each fault, or one line that says that the
/// file is sound.
/// @returns SettingsSoundExitCode or SettingsFaultyExitCode.
int checkSettings(const std::string &File, std::ostream &Output);

} // namespace clementine

#endif
