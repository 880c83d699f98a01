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

/// The kinds of section that a bundle has, in their canonical order.
enum class section_kind : std::uint8_t {
  Bundle,
  Defaults,
  Service,
  Operation,
  Caller,
  Rule,
};

/// A concurrency limit that never limits.
constexpr std::uint32_t UnlimitedConcurrency =
    std::numeric_limits<std::uint32_t>::max();

/// A rate, in units per second, that never limits.
constexpr double UnlimitedRate = std::numeric_limits<double>::infinity();

/// Every value that a section can state; what it does not state is empty.
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
  /// Calls at once.
  std::optional<std::uint32_t> Concurrency;
  /// Cost units per second.
  std::optional<double> CostRate;
};

/// One kind of section. docs/BUNDLE.md is checked against this table.
struct section_rule {
  section_kind Kind;
  /// The first word of the header.
  std::string_view Keyword;
  /// How many names follow it.
  std::size_t NameCount;
  /// Whether a bundle has to have at least one.
  bool Required;
  std::string_view Header;
  std::string_view Meaning;
};

/// One key of one kind of section. docs/BUNDLE.md is checked against this
/// table.
struct key_rule {
  section_kind Section;
  std::string_view Key;
  bool Required;
  /// What holds when the key is left out.
  std::string_view Default;
  std::string_view Allowed;
  std::string_view Meaning;
  /// Reads a value into its member; false when it is not allowed.
  bool (*Store)(std::string_view Value, section_values &Values);
};

/// @returns every kind of section in canonical order.
std::span<const section_rule> sectionRules();

/// @returns every key of every kind of section.
std::span<const key_rule> keyRules();

/// @returns the rule for the header word @p Word, or null.
const section_rule *findSectionRule(std::string_view Keyword);

/// @returns the rule for @p Key in a section of kind @p Section, or null.
const key_rule *findKeyRule(section_kind Section, std::string_view Key);

/// @returns whether @p Name may name a service, operation, caller or owner.
bool isValidName(std::string_view Name);

/// What isValidName() allows, for errors.
constexpr std::string_view AllowedName =
    "1 to 64 of a-z A-Z 0-9 . _ -, the first a letter or digit";

/// Stands for every caller, or every operation, in a rule's header.
constexpr std::string_view WildcardName = "*";

} // namespace clementine

#endif
