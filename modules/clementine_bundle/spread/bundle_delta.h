#ifndef CLEMENTINE_BUNDLE_SPREAD_BUNDLE_DELTA_H
#define CLEMENTINE_BUNDLE_SPREAD_BUNDLE_DELTA_H

#include "clementine_bundle/model/bundle.h"
#include "clementine_wire/codec/bounded_field.h"

#include <optional>
#include <string>
#include <vector>

namespace clementine {

/// The maximum length of a section's header, in bytes: its kind and three
/// names.
constexpr std::uint32_t MaxPartNameBytes = 256;

/// The name of a part, such as `caller temple-front`.
struct part_name {
  std::string Text;

  bool operator==(const part_name &) const = default;
  auto operator<=>(const part_name &Other) const { return Text <=> Other.Text; }

  /// Serializes the name with its size limit, for cereal.
  template <class Archive> void serialize(Archive &Fields) {
    Fields(bounded_string{Text, MaxPartNameBytes});
  }
};

/// The parts that differ between two bundles.
struct bundle_delta {
  /// The concatenated canonical texts of the added and changed parts.
  std::string Changed;
  std::vector<part_name> Removed;

  bool operator==(const bundle_delta &) const = default;

  /// Serializes both fields with their size limits, for cereal.
  template <class Archive> void serialize(Archive &Fields) {
    Fields(bounded_string{Changed, MaxBundleBytes},
           bounded_list<part_name>{Removed, MaxBundleSections});
  }
};

/// @param From empty for a delta with all parts of @p To.
/// @returns the delta from @p From to @p To.
bundle_delta deltaBetween(const std::optional<bundle> &From, const bundle &To);

/// Applies a delta.
/// @param From the bundle that the delta is based on; empty for a full one.
/// @returns the bundle, or the errors of the resulting text.
result<bundle, bundle_errors> applyDelta(const std::optional<bundle> &From,
                                         const bundle_delta &Delta);

/// @returns the names of the parts that @p Delta adds, changes or removes.
std::vector<part_name> affectedPartNames(const bundle_delta &Delta);

} // namespace clementine

#endif
