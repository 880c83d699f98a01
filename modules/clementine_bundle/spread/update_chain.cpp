#include "clementine_bundle/spread/update_chain.h"

#include "clementine_bundle/format/bundle_source.h"

#include <map>
#include <set>
#include <utility>

namespace clementine {

namespace {

/// The texts of the added or changed parts, and the names of the removed ones.
struct joined_parts {
  std::map<std::string, std::string> Changed;
  std::set<part_name> Removed;

  void add(const bundle_delta &Delta) {
    for (const part_name &Name : Delta.Removed) {
      Changed.erase(Name.Text);
      Removed.insert(Name);
    }
    for (const source_section &Section :
         bundle_source::split(Delta.Changed).Sections) {
      std::string Name = Section.name();
      Removed.erase({Name});
      Changed.insert_or_assign(std::move(Name), Section.canonicalText());
    }
  }

  bundle_delta delta() const {
    bundle_delta Delta;
    for (const auto &[Name, Text] : Changed)
      Delta.Changed += Text;
    Delta.Removed.assign(Removed.begin(), Removed.end());
    return Delta;
  }
};

} // namespace

std::optional<bundle_update> joinUpdates(std::span<const bundle_update> Updates,
                                         std::uint64_t FromVersion,
                                         std::uint64_t ToVersion) {
  joined_parts Parts;
  const bundle_update *Last = nullptr;
  std::uint64_t Reached = FromVersion;
  for (const bundle_update &Update : Updates) {
    const bool IsNext = Update.FromVersion == Reached &&
                        Update.Head.Version > Reached &&
                        Update.Head.Version <= ToVersion;
    if (!IsNext)
      continue;
    Parts.add(Update.Delta);
    Reached = Update.Head.Version;
    Last = &Update;
  }
  if (Last == nullptr)
    return std::nullopt;
  return bundle_update{Last->Head, FromVersion, Parts.delta()};
}

} // namespace clementine
