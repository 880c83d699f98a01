#ifndef CLEMENTINE_BUNDLE_MODEL_OPERATION_POLICY_H
#define CLEMENTINE_BUNDLE_MODEL_OPERATION_POLICY_H

#include "clementine_bundle/format/bundle_keys.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <limits>

namespace clementine {

/// What a caller may ask of the services.
struct policy_limits {
  /// Calls per second.
  double Rate = UnlimitedRate;
  /// Calls at once.
  std::uint32_t Concurrency = UnlimitedConcurrency;
  /// Cost units per second.
  double CostRate = UnlimitedRate;

  auto operator<=>(const policy_limits &) const = default;
};

/// Points to a section of the bundle; see bundle::sectionName().
using section_index = std::uint32_t;

/// Stands for the value that is built in, since no section states one.
constexpr section_index BuiltIn = std::numeric_limits<section_index>::max();

/// Which section decided each value of a policy.
struct policy_sources {
  section_index Importance = BuiltIn;
  section_index Deadline = BuiltIn;
  section_index RetryBudget = BuiltIn;
  section_index Cost = BuiltIn;
  section_index Repeatable = BuiltIn;
  /// The rule behind OperationLimits, or BuiltIn when there is none.
  section_index OperationLimits = BuiltIn;

  auto operator<=>(const policy_sources &) const = default;
};

/// What the bundle says about one caller's calls of one operation.
struct operation_policy {
  importance Importance = importance::Normal;
  /// Whether a second run of the same request does no harm.
  bool Repeatable = false;
  /// Cost units of one call.
  double Cost = 1;
  /// Time for the whole request.
  std::chrono::milliseconds Deadline{1000};
  /// Extra attempts of the whole request, over its whole chain.
  std::uint32_t RetryBudget = 2;
  /// The caller's limits over all its calls.
  policy_limits Limits;
  /// Further limits for these calls alone; unlimited without such a rule. They
  /// are counted over all calls with the same Sources.OperationLimits.
  policy_limits OperationLimits;
  /// The caller's place in bundle::callers(), for flat tables of counters. It
  /// holds for this bundle only.
  std::uint32_t Caller = 0;
  /// The operation's place in bundle::operations(), likewise.
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
