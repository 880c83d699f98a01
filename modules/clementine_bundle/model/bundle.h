#ifndef CLEMENTINE_BUNDLE_MODEL_BUNDLE_H
#define CLEMENTINE_BUNDLE_MODEL_BUNDLE_H

#include "clementine_bundle/format/bundle_error.h"
#include "clementine_bundle/model/operation_policy.h"
#include "clementine_bundle/model/sha256.h"
#include "clementine_core/errors/result.h"

#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace clementine {

/// The maximum size of a bundle's text, in bytes.
constexpr std::size_t MaxBundleBytes = 1024UL * 1024;

/// The maximum size of a bundle's canonical text, in bytes. The message that
/// carries it, including its other fields, has to fit in MaxBundleBytes.
constexpr std::size_t MaxCanonicalBytes = MaxBundleBytes - 4096;

/// The maximum number of sections in a bundle.
constexpr std::size_t MaxBundleSections = 50'000;

/// The maximum number of errors that one parse reports.
constexpr std::size_t MaxBundleErrors = 1'000;

/// One section in its canonical form, with the digest of its text.
struct bundle_part {
  section_kind Kind = section_kind::Bundle;
  /// The header without brackets, such as `caller temple-front`.
  std::string Name;
  /// Header and entries, the keys in alphabetical order, a blank line last.
  std::string Text;
  sha256_digest Digest;

  auto operator<=>(const bundle_part &) const = default;
};

/// A caller defined in the bundle.
struct caller_entry {
  std::string Name;
  std::string Owner;
  importance Importance = importance::Normal;
  std::uint32_t RetryBudget = 0;
  policy_limits Limits;
  section_index Section = BuiltIn;

  auto operator<=>(const caller_entry &) const = default;
};

/// An operation defined in the bundle.
struct operation_entry {
  std::string Service;
  std::string Name;
  bool Repeatable = false;
  double Cost = 1;
  std::chrono::milliseconds Deadline{0};
  section_index Section = BuiltIn;

  auto operator<=>(const operation_entry &) const = default;
};

/// The validated content of one bundle; immutable and cheap to copy.
///
/// Two bundles are equal if their digests are equal. Every value is taken from
/// the most specific section that sets it: a rule for the caller and operation,
/// a rule for the caller and all operations of the service, a rule for all
/// callers and the operation, a rule for all callers and the service, the
/// operation, the caller, `[defaults]`, and last the built-in value.
class bundle {
public:
  /// Parses and validates a text.
  /// @param Text at most MaxBundleBytes.
  /// @returns the bundle, or all errors of the text.
  static result<bundle, bundle_errors> parse(std::string_view Text);

  /// @returns the policy for one call. The lookup time does not grow with the
  /// size of the bundle.
  result<operation_policy, policy_error>
  decide(std::string_view Caller, std::string_view Service,
         std::string_view Operation) const;

  /// @returns the deployment's name.
  const std::string &name() const;

  /// @returns all callers, sorted by name.
  std::span<const caller_entry> callers() const;

  /// @returns all operations, sorted by service and name.
  std::span<const operation_entry> operations() const;

  /// @returns all sections in canonical order.
  std::span<const bundle_part> parts() const;

  /// @returns the header of a section, or `built-in`.
  std::string_view sectionName(section_index Index) const;

  /// @returns SHA-256 over the parts' digests in canonical order.
  const sha256_digest &digest() const;

  /// @returns the canonical text, which parses to an equal bundle.
  std::string text() const;

  bool operator==(const bundle &Other) const {
    return digest() == Other.digest();
  }
  auto operator<=>(const bundle &Other) const {
    return digest() <=> Other.digest();
  }

private:
  struct content;
  friend class bundle_builder;

  explicit bundle(std::shared_ptr<const content> Content);

  std::shared_ptr<const content> Content;
};

} // namespace clementine

#endif
