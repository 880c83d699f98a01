#ifndef CLEMENTINE_SETTINGS_NODE_SETTINGS_TABLE_H
#define CLEMENTINE_SETTINGS_NODE_SETTINGS_TABLE_H

#include "clementine_settings/node/node_settings.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace clementine {

/// The member that holds a setting; its type determines the value's format.
using setting_member =
    std::variant<std::string node_settings::*, endpoint node_settings::*,
                 std::optional<endpoint> node_settings::*,
                 std::vector<endpoint> node_settings::*,
                 std::uint64_t node_settings::*, fraction node_settings::*,
                 factor node_settings::*, duration node_settings::*,
                 byte_count node_settings::*,
                 std::optional<http_url> node_settings::*,
                 std::optional<file_path> node_settings::*,
                 std::vector<named_key> node_settings::*,
                 limiter_kind node_settings::*, log_threshold node_settings::*>;

/// What happens if a key is omitted.
enum class setting_presence : std::uint8_t {
  Required,
  /// The default applies.
  Defaulted,
  /// The value stays empty.
  Optional,
};

/// Whether a value may be shown in errors and logs.
enum class setting_secrecy : std::uint8_t { Public, Secret };

/// One setting: its section and key, its allowed values and its description.
struct setting {
  std::string_view Section;
  std::string_view Key;
  setting_member Member;
  setting_presence Presence = setting_presence::Required;
  /// Written as in the file; empty unless the setting is Defaulted.
  std::string_view Default = {};
  /// The minimum, written as in the file; empty for no bound.
  std::string_view Lowest = {};
  /// The maximum, written as in the file; empty for no bound. For a list, the
  /// maximum number of elements (empty for MaxListElements); for a name, the
  /// maximum number of characters.
  std::string_view Highest = {};
  std::string_view Description = {};
  setting_secrecy Secrecy = setting_secrecy::Public;
};

/// @returns every setting of a node, ordered by section.
std::span<const setting> settingsTable();

/// @returns a description of the allowed values of @p Setting, with unit and
/// range.
std::string allowedText(const setting &Setting);

} // namespace clementine

#endif
