#ifndef CLEMENTINE_BUNDLE_MODEL_OPERATION_POLICY_H
#define CLEMENTINE_BUNDLE_MODEL_OPERATION_POLICY_H

#include "clementine_bundle/format/bundle_keys.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <limits>

namespace clementine {

/// Limits on the calls of a caller.
struct policy_limits {
  /// Calls per second.
  double Rate = UnlimitedRate;
  /// Concurrent calls.
  std::uint32_t Concurrency = UnlimitedConcurrency;
  /// Cost units per second.
  double CostRate = UnlimitedRate;

  auto operator<=>(const policy_limits &) const = default;
};

/// The index of a section in the bundle; see bundle::sectionName().
using section_index = std::uint32_t;

/// The source of a built-in default, which applies if no section sets a value.
constexpr section_index BuiltIn = std::numeric_limits<section_index>::max();

/// The section that each value of a policy comes from.
struct policy_sources {
  section_index Importance = BuiltIn;
  section_index Deadline = BuiltIn;
  section_index RetryBudget = BuiltIn;
  section_index Cost = BuiltIn;
  section_index Repeatable = BuiltIn;
  /// The rule that sets OperationLimits, or BuiltIn if there is none.
  section_index OperationLimits = BuiltIn;

  auto operator<=>(const policy_sources &) const = default;
};

/// The policy for one caller's calls of one operation.
struct operation_policy {
  importance Importance = importance::Normal;
  /// Whether the operation is idempotent, so that a request may run twice.
  bool Repeatable = false;
  /// Cost units of one call.
  double Cost = 1;
  /// The time limit for the whole request.
  std::chrono::milliseconds Deadline{1000};
  /// Extra attempts for the whole request, over its whole call chain.
  std::uint32_t RetryBudget = 2;
  /// The caller's limits over all its calls.
  policy_limits Limits;
  /// Additional limits for these calls only; unlimited if no rule sets them.
  /// They are shared by all calls with the same Sources.OperationLimits.
  policy_limits OperationLimits;
  /// The caller's index in bundle::callers(), for counters in flat tables. It
  /// is valid for this bundle only.
  std::uint32_t Caller = 0;
  /// The operation's index in bundle::operations(), valid for this bundle only.
  std::uint32_t Operation = 0;
  policy_sources Sources;

  auto operator<=>(const operation_policy &) const = default;
};

/// Why a bundle has no policy for a call.
enum class policy_error : std::uint8_t {
  UnknownCaller,
  UnknownService,
  UnknownOperation,
};

/// @returns a short phrase for @p Error, such as `unknown caller`.
std::string_view policyErrorName(policy_error Error);

} // namespace clementine

#endif
