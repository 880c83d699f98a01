#ifndef CLEMENTINE_BUNDLE_FORMAT_BUNDLE_KEYS_H
#define CLEMENTINE_BUNDLE_FORMAT_BUNDLE_KEYS_H

#include "clementine_core/identity/identity.h"

#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace clementine {

/// The kinds of section in a bundle, in canonical order.
enum class section_kind : std::uint8_t {
  Bundle,
  Defaults,
  Service,
  Operation,
  Caller,
  Rule,
};

/// The value of an unlimited concurrency.
constexpr std::uint32_t UnlimitedConcurrency =
    std::numeric_limits<std::uint32_t>::max();

/// The value of an unlimited rate, in units per second.
constexpr double UnlimitedRate = std::numeric_limits<double>::infinity();

/// Every value that a section can set; values that it does not set are empty.
struct section_values {
  std::optional<std::uint32_t> Format;
  std::optional<std::string> Name;
  std::optional<std::string> Owner;
  std::optional<importance> Importance;
  std::optional<bool> Repeatable;
  /// Cost units of one call.
  std::optional<double> Cost;
  std::optional<std::chrono::milliseconds> Deadline;
  std::optional<std::uint32_t> RetryBudget;
  /// Calls per second.
  std::optional<double> Rate;
  /// Concurrent calls.
  std::optional<std::uint32_t> Concurrency;
  /// Cost units per second.
  std::optional<double> CostRate;
};

/// Describes one kind of section. docs/BUNDLE.md is checked against this table.
struct section_schema {
  section_kind Kind;
  /// The first word of the header.
  std::string_view Keyword;
  /// How many names follow the keyword.
  std::size_t NameCount;
  /// Whether a bundle needs at least one such section.
  bool Required;
  std::string_view Header;
  std::string_view Meaning;
};

/// Describes one key of one kind of section. docs/BUNDLE.md is checked against
/// this table.
struct key_schema {
  section_kind Section;
  std::string_view Key;
  bool Required;
  /// The value that applies if the key is omitted.
  std::string_view Default;
  std::string_view Allowed;
  std::string_view Meaning;
  /// Parses a value into its member; returns false if it is not allowed.
  bool (*Store)(std::string_view Value, section_values &Values);
};

/// @returns every kind of section in canonical order.
std::span<const section_schema> sectionSchemas();

/// @returns every key of every kind of section.
std::span<const key_schema> keySchemas();

/// @returns the schema with @p Keyword, or null.
const section_schema *findSectionSchema(std::string_view Keyword);

/// @returns the schema of @p Key in a section of kind @p Section, or null.
const key_schema *findKeySchema(section_kind Section, std::string_view Key);

/// @returns whether @p Name may name a service, operation, caller or owner.
bool isValidName(std::string_view Name);

/// Describes what isValidName() allows, for error messages.
constexpr std::string_view AllowedName =
    "1 to 64 of a-z A-Z 0-9 . _ -, the first a letter or digit";

/// Matches every caller, or every operation, in a rule's header.
constexpr std::string_view WildcardName = "*";

} // namespace clementine

#endif
