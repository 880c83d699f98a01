#ifndef CLEMENTINE_SETTINGS_NODE_SETTINGS_READER_H
#define CLEMENTINE_SETTINGS_NODE_SETTINGS_READER_H

#include "clementine_core/errors/result.h"
#include "clementine_settings/node/node_settings.h"
#include "clementine_settings/node/settings_error.h"

#include <iosfwd>
#include <string>
#include <string_view>

namespace clementine {

/// The exit code of a program whose settings are valid.
constexpr int SettingsValidExitCode = 0;

/// The exit code of a program whose settings have errors.
constexpr int SettingsInvalidExitCode = 2;

/// Parses a node's settings from an INI text.
/// @param File the file name that errors report.
/// @returns the settings with all defaults filled in, or all errors.
result<node_settings, settings_errors> readSettings(std::string_view Text,
                                                    const std::string &File);

/// Reads a node's settings from a file.
/// @returns as readSettings(); a file that cannot be read is also an error.
result<node_settings, settings_errors> loadSettings(const std::string &File);

/// Checks a settings file and prints the result.
/// @param Output receives one line for each error, or one line that says that
/// the settings are valid.
/// @returns SettingsValidExitCode or SettingsInvalidExitCode.
int checkSettings(const std::string &File, std::ostream &Output);

} // namespace clementine

#endif
