#include "clementine_bundle/accept/accepted_record.h"

#include "clementine_bundle/spread/archive_codec.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <tuple>

namespace clementine {

namespace {

constexpr std::string_view HeadName = "head";
constexpr std::string_view HistoryName = "history/";
constexpr std::string_view EpochsName = "epochs/";

/// Pads with zeros to 20 digits, so that keys sort in numerical order.
std::string paddedNumber(std::uint64_t Number) {
  std::array<char, 24> Buffer{};
  std::snprintf(Buffer.data(), Buffer.size(), "%020llu",
                static_cast<unsigned long long>(Number));
  return Buffer.data();
}

std::string prefixedKey(std::string_view Name) {
  return std::string(bundle_layout::BundlePrefix) + std::string(Name);
}

} // namespace

std::string encodeRecord(const accepted_record &Record) {
  return encodeArchive(Record);
}

result<accepted_record, bundle_decode_error>
decodeRecord(std::string_view Bytes) {
  return decodeArchive<accepted_record>(Bytes);
}

namespace bundle_layout {

std::string headKey() { return prefixedKey(HeadName); }

std::string historyPrefix() { return prefixedKey(HistoryName); }

std::string historyKey(std::uint64_t Version) {
  return historyPrefix() + paddedNumber(Version);
}

std::string epochPrefix(std::uint64_t Epoch) {
  return prefixedKey(EpochsName) + paddedNumber(Epoch) + "/";
}

std::string updateKey(std::uint64_t Epoch, std::uint64_t Version,
                      std::size_t Chunk) {
  return epochPrefix(Epoch) + paddedNumber(Version) + "/" +
         std::to_string(Chunk);
}

} // namespace bundle_layout

std::vector<bundle_update>
decodeUpdates(std::span<const platform_entry> Entries) {
  // The chunks of an update share the key up to its last slash. There are fewer
  // than ten of them, so their keys sort in the order of the chunks.
  std::map<std::string, std::string> Chunks;
  for (const platform_entry &Entry : Entries)
    if (Entry.Key.starts_with(prefixedKey(EpochsName)))
      Chunks.emplace(Entry.Key, Entry.Value);
  std::map<std::string, std::string> EncodedUpdates;
  for (const auto &[Key, Value] : Chunks)
    EncodedUpdates[Key.substr(0, Key.rfind('/'))] += Value;

  std::vector<bundle_update> Updates;
  for (const auto &[Key, Bytes] : EncodedUpdates)
    if (auto Update = decodeUpdate(Bytes))
      Updates.push_back(std::move(Update).value());
  std::sort(Updates.begin(), Updates.end(),
            [](const bundle_update &Left, const bundle_update &Right) {
              return std::tuple(Left.Head.Version, Right.FromVersion) <
                     std::tuple(Right.Head.Version, Left.FromVersion);
            });
  return Updates;
}

} // namespace clementine
