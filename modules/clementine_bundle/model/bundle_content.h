#ifndef CLEMENTINE_BUNDLE_MODEL_BUNDLE_CONTENT_H
#define CLEMENTINE_BUNDLE_MODEL_BUNDLE_CONTENT_H

#include "clementine_bundle/model/bundle.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace clementine {

/// The policy values that one section sets; values that it does not set are
/// empty.
struct policy_layer {
  section_index Section = BuiltIn;
  std::optional<importance> Importance;
  std::optional<std::chrono::milliseconds> Deadline;
  std::optional<std::uint32_t> RetryBudget;
  /// Set only for rules with limits.
  std::optional<policy_limits> Limits;

  /// Overwrites the values of @p Policy that this layer sets.
  void applyTo(operation_policy &Policy) const;
};

/// The names of a service and an operation; views into the bundle's entries.
struct operation_name {
  std::string_view Service;
  std::string_view Operation;

  bool operator==(const operation_name &) const = default;
};

/// Hashes an operation_name.
struct operation_name_hash {
  std::size_t operator()(const operation_name &Name) const noexcept;
};

/// The index of an operation that has no rule for all callers.
constexpr std::uint32_t NoRule = std::numeric_limits<std::uint32_t>::max();

/// The lookup tables of a bundle. The maps hold views into the vectors, so it
/// is not copyable.
struct bundle::content {
  content() = default;
  content(const content &) = delete;
  content &operator=(const content &) = delete;

  /// A caller's own layer, and whether any rule names the caller.
  struct caller_layers {
    policy_layer Own;
    bool HasRules = false;
  };
  /// An operation's own layer, and the rules that apply to all callers.
  struct operation_layers {
    policy_layer Own;
    std::uint32_t Service = 0;
    section_index CostSource = BuiltIn;
    /// Indices into Rules for `* SERVICE *` and `* SERVICE OPERATION`.
    std::uint32_t AnyCallerAnyOperation = NoRule;
    std::uint32_t AnyCaller = NoRule;
  };

  /// @returns the key of RuleByCall for one operation.
  static std::uint64_t operationKey(std::uint32_t Caller,
                                    std::uint32_t Operation) {
    return (std::uint64_t{Caller} << 32U) | Operation;
  }

  /// @returns the key of RuleByCall for all operations of a service.
  static std::uint64_t serviceKey(std::uint32_t Caller, std::uint32_t Service) {
    return operationKey(Caller, Service | 0x80000000U);
  }

  /// Applies the rule with @p Key in RuleByCall, if there is one.
  void applyRule(std::uint64_t Key, operation_policy &Policy) const;

  std::string Name;
  std::vector<bundle_part> Parts;
  std::vector<caller_entry> Callers;
  std::vector<std::string> Services;
  std::vector<operation_entry> Operations;
  policy_layer Defaults;
  std::vector<caller_layers> CallerLayers;
  std::vector<operation_layers> OperationLayers;
  std::vector<policy_layer> Rules;
  std::unordered_map<std::string_view, std::uint32_t> CallerByName;
  std::unordered_map<std::string_view, std::uint32_t> ServiceByName;
  std::unordered_map<operation_name, std::uint32_t, operation_name_hash>
      OperationByName;
  std::unordered_map<std::uint64_t, std::uint32_t> RuleByCall;
  sha256_digest Digest;
};

} // namespace clementine

#endif
