#ifndef CLEMENTINE_BUNDLE_SPREAD_BUNDLE_UPDATE_H
#define CLEMENTINE_BUNDLE_SPREAD_BUNDLE_UPDATE_H

#include "clementine_bundle/spread/bundle_delta.h"
#include "clementine_bundle/spread/bundle_head.h"
#include "clementine_core/errors/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace clementine {

/// The version that stands for holding nothing.
constexpr std::uint64_t NoVersion = 0;

/// Brings a node from one version to a later one.
///
/// The head alone is signed. That suffices: applying the delta has to give the
/// digest in the head, so any node can make a delta between any two versions.
struct bundle_update {
  bundle_head Head;
  /// The version that the delta applies to; NoVersion for a whole bundle.
  std::uint64_t FromVersion = NoVersion;
  bundle_delta Delta;

  bool operator==(const bundle_update &) const = default;

  /// Encodes every field with its cap, for cereal.
  template <class Archive> void serialize(Archive &Fields) {
    Fields(Head, FromVersion, Delta);
  }
};

/// The most bytes of an encoded update.
constexpr std::size_t MaxUpdateBytes = MaxBundleBytes;

/// What a node holds, small enough for gossip.
struct bundle_summary {
  std::uint64_t Version = NoVersion;
  sha256_digest Digest;

  bool operator==(const bundle_summary &) const = default;

  /// Encodes both fields, for cereal.
  template <class Archive> void serialize(Archive &Fields) {
    Fields(Version, cereal::binary_data(Digest.Bytes.data(), 32));
  }
};

/// Why bytes are not an update or a head.
enum class bundle_decode_error : std::uint8_t {
  TooLarge,
  Malformed,
  TrailingBytes,
};

/// Encodes in cereal's portable binary form.
/// @pre the fields keep their caps, as those of adopted updates do.
std::string encodeUpdate(const bundle_update &Update);
std::string encodeHead(const bundle_head &Head);

/// Decodes bytes of any origin. Reserves no more than the caps allow.
result<bundle_update, bundle_decode_error> decodeUpdate(std::string_view Bytes);
result<bundle_head, bundle_decode_error> decodeHead(std::string_view Bytes);

} // namespace clementine

#endif
