#ifndef CLEMENTINE_BUNDLE_SPREAD_BUNDLE_UPDATE_H
#define CLEMENTINE_BUNDLE_SPREAD_BUNDLE_UPDATE_H

#include "clementine_bundle/spread/bundle_delta.h"
#include "clementine_bundle/spread/bundle_head.h"
#include "clementine_core/errors/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace clementine {

/// The version of a node that holds no bundle.
constexpr std::uint64_t NoVersion = 0;

/// An update from one version to a later one.
///
/// Only the head is signed. This is sufficient, since applying the delta has to
/// give the digest in the head; any node can build a delta between any two
/// versions.
struct bundle_update {
  bundle_head Head;
  /// The version that the delta is based on; NoVersion for a full bundle.
  std::uint64_t FromVersion = NoVersion;
  bundle_delta Delta;

  bool operator==(const bundle_update &) const = default;

  /// Serializes every field with its size limit, for cereal.
  template <class Archive> void serialize(Archive &Fields) {
    Fields(Head, FromVersion, Delta);
  }
};

/// The maximum size of an encoded update, in bytes.
constexpr std::size_t MaxUpdateBytes = MaxBundleBytes;

/// The version and digest that a node holds, small enough for gossip.
struct bundle_summary {
  std::uint64_t Version = NoVersion;
  sha256_digest Digest;

  bool operator==(const bundle_summary &) const = default;

  /// Serializes both fields, for cereal.
  template <class Archive> void serialize(Archive &Fields) {
    Fields(Version, cereal::binary_data(Digest.Bytes.data(), 32));
  }
};

/// Why bytes could not be decoded as an update or a head.
enum class bundle_decode_error : std::uint8_t {
  TooLarge,
  Malformed,
  TrailingBytes,
};

/// Encodes in cereal's portable binary form.
/// @pre the fields are within their size limits, as in adopted updates.
std::string encodeUpdate(const bundle_update &Update);
std::string encodeHead(const bundle_head &Head);

/// Decodes untrusted bytes. Allocates no more than the size limits allow.
result<bundle_update, bundle_decode_error> decodeUpdate(std::string_view Bytes);
result<bundle_head, bundle_decode_error> decodeHead(std::string_view Bytes);

} // namespace clementine

#endif
