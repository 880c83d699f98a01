#ifndef CLEMENTINE_BUNDLE_ACCEPT_ACCEPTED_RECORD_H
#define CLEMENTINE_BUNDLE_ACCEPT_ACCEPTED_RECORD_H

#include "clementine_bundle/spread/bundle_update.h"
#include "clementine_platform/store/platform_types.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace clementine {

/// The maximum number of versions in an epoch, including the one that begins
/// it.
constexpr std::size_t MaxEpochVersions = 64;
/// The maximum total size of an epoch's deltas, in bytes. A new epoch begins
/// when it is exceeded.
constexpr std::size_t MaxEpochDeltaBytes = 256UL * 1024;
/// The maximum number of epochs whose contents are kept.
constexpr std::size_t MaxKeptEpochs = 8;
/// The maximum number of heads kept in the history.
constexpr std::uint64_t MaxKeptHeads = 10'000;
/// The maximum size of the value under one key, in bytes; larger updates are
/// split into chunks.
constexpr std::size_t MaxChunkBytes = 512UL * 1024;

/// The value stored in the platform under the head's key: the newest head and
/// the epochs that hold the contents.
///
/// Contents are grouped into epochs. An epoch begins with a full bundle,
/// followed by deltas, so that two reads give the newest content: the head and
/// the epoch's keys.
struct accepted_record {
  bundle_head Head;
  /// The first version of each kept epoch, in ascending order.
  std::vector<std::uint64_t> Epochs;
  /// The total size of the deltas in the last epoch, in bytes.
  std::uint64_t DeltaBytes = 0;

  bool operator==(const accepted_record &) const = default;

  /// Serializes every field with its size limit, for cereal.
  template <class Archive> void serialize(Archive &Fields) {
    Fields(Head, bounded_list<std::uint64_t>{Epochs, MaxKeptEpochs},
           DeltaBytes);
  }
};

std::string encodeRecord(const accepted_record &Record);
result<accepted_record, bundle_decode_error>
decodeRecord(std::string_view Bytes);

/// The keys in the platform; all of them begin with BundlePrefix.
namespace bundle_layout {

/// A watch on this prefix reports every accepted version.
constexpr std::string_view BundlePrefix = "clementine/bundle/";

/// @returns the key of the accepted_record.
std::string headKey();
/// @returns the prefix of the heads in the history.
std::string historyPrefix();
/// @returns the key of one version's head in the history.
std::string historyKey(std::uint64_t Version);
/// @returns the prefix of an epoch's contents.
std::string epochPrefix(std::uint64_t Epoch);
/// @returns the key of one chunk of a version's update.
std::string updateKey(std::uint64_t Epoch, std::uint64_t Version,
                      std::size_t Chunk);

} // namespace bundle_layout

/// Reassembles the chunks of the updates in @p Entries and decodes them.
/// Entries of other kinds are skipped, and so are damaged updates, since the
/// gap in the remaining versions shows that one is missing.
/// @param Entries the result of a list or a watch.
/// @returns the updates in the order of their versions, deltas before full
/// updates of the same version.
std::vector<bundle_update>
decodeUpdates(std::span<const platform_entry> Entries);

} // namespace clementine

#endif
