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

/// The most versions of one epoch, counted with the one that begins it.
constexpr std::size_t MaxEpochVersions = 64;
/// An epoch whose deltas are larger than this together gets no more of them.
constexpr std::size_t MaxEpochDeltaBytes = 256UL * 1024;
/// The most epochs whose contents are kept.
constexpr std::size_t MaxKeptEpochs = 8;
/// The most heads kept in the history.
constexpr std::uint64_t MaxKeptHeads = 10'000;
/// The largest value under one key, in bytes; larger ones are split.
constexpr std::size_t MaxChunkBytes = 512UL * 1024;

/// What the platform holds under the head's key: the newest head and where its
/// content lies.
///
/// Contents are grouped into epochs. An epoch begins with a whole bundle and
/// goes on with deltas, so that two reads give the newest content: the head,
/// and the epoch's keys.
struct accepted_record {
  bundle_head Head;
  /// The versions that began the kept epochs, in rising order.
  std::vector<std::uint64_t> Epochs;
  /// The bytes of all deltas in the last epoch.
  std::uint64_t DeltaBytes = 0;

  bool operator==(const accepted_record &) const = default;

  /// Encodes every field with its cap, for cereal.
  template <class Archive> void serialize(Archive &Fields) {
    Fields(Head, bounded_list<std::uint64_t>{Epochs, MaxKeptEpochs},
           DeltaBytes);
  }
};

std::string encodeRecord(const accepted_record &Record);
result<accepted_record, bundle_decode_error>
decodeRecord(std::string_view Bytes);

/// The keys in the platform; all begin with BundlePrefix.
namespace bundle_layout {

/// Watch this to hear of every accepted version.
constexpr std::string_view BundlePrefix = "clementine/bundle/";

/// @returns the key of the accepted_record.
std::string headKey();
/// @returns the prefix of all heads.
std::string historyPrefix();
/// @returns the key of one version's head.
std::string historyKey(std::uint64_t Version);
/// @returns the prefix of an epoch's contents.
std::string epochPrefix(std::uint64_t Epoch);
/// @returns the key of one piece of a version's update.
std::string updateKey(std::uint64_t Epoch, std::uint64_t Version,
                      std::size_t Chunk);

} // namespace bundle_layout

/// Puts the pieces of updates under @p Entries together and decodes them.
/// Entries of other kinds are skipped, and so are damaged updates, since a
/// missing version shows in what remains.
/// @param Entries from a list or a watch.
/// @returns the updates in the order of their versions, deltas before wholes
/// of the same version.
std::vector<bundle_update>
decodeUpdates(std::span<const platform_entry> Entries);

} // namespace clementine

#endif
