#include "clementine_bundle/spread/bundle_delta.h"

#include "clementine_bundle/format/bundle_source.h"

#include <map>
#include <unordered_set>

namespace clementine {

namespace {

using digest_by_part = std::map<std::string_view, const sha256_digest *>;

digest_by_part digestsOf(const std::optional<bundle> &Bundle) {
  digest_by_part Digests;
  if (!Bundle)
    return Digests;
  for (const bundle_part &Part : Bundle->parts())
    Digests.emplace(Part.Name, &Part.Digest);
  return Digests;
}

} // namespace

bundle_delta deltaBetween(const std::optional<bundle> &From, const bundle &To) {
  digest_by_part Old = digestsOf(From);
  bundle_delta Delta;
  for (const bundle_part &Part : To.parts()) {
    const auto Existing = Old.find(Part.Name);
    if (Existing == Old.end() || *Existing->second != Part.Digest)
      Delta.Changed += Part.Text;
    if (Existing != Old.end())
      Old.erase(Existing);
  }
  for (const auto &[Name, Digest] : Old)
    Delta.Removed.push_back({std::string(Name)});
  return Delta;
}

result<bundle, bundle_errors> applyDelta(const std::optional<bundle> &From,
                                         const bundle_delta &Delta) {
  std::unordered_set<std::string> Replaced;
  for (part_name &Name : affectedPartNames(Delta))
    Replaced.insert(std::move(Name.Text));
  std::string Text = Delta.Changed;
  if (!From)
    return bundle::parse(Text);
  for (const bundle_part &Part : From->parts())
    if (!Replaced.contains(Part.Name))
      Text += Part.Text;
  return bundle::parse(Text);
}

std::vector<part_name> affectedPartNames(const bundle_delta &Delta) {
  std::vector<part_name> Names = Delta.Removed;
  for (const source_section &Section :
       bundle_source::split(Delta.Changed).Sections)
    Names.push_back({Section.name()});
  return Names;
}

} // namespace clementine
