#include "clementine_bundle/spread/bundle_replica.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace clementine {

namespace {

/// The maximum number of updates recorded to build deltas for peers.
constexpr std::size_t MaxRecordedChanges = 256;

/// The maximum number of part names in all recorded updates.
constexpr std::size_t MaxRecordedNames = 4'096;

constexpr std::array<std::string_view, 7> FaultNames = {
    "not newer",
    "same version with other content",
    "unknown owner",
    "bad signature",
    "wrong base",
    "content is not a valid bundle",
    "content does not match the signed digest",
};

} // namespace

std::string_view updateFaultName(update_fault Fault) {
  return FaultNames.at(static_cast<std::size_t>(Fault));
}

bundle_replica::bundle_replica(trusted_owners Owners)
    : Owners(std::move(Owners)) {}

result<std::shared_ptr<const signed_bundle>, update_refusal>
bundle_replica::applyUpdate(const bundle_update &Update) {
  const std::uint64_t HeldVersion = summary().Version;
  const auto Refuse = [&](update_fault Fault) {
    return update_refusal{Fault, Update.Head.Version, HeldVersion};
  };
  if (const auto Fault = validateHead(Update))
    return Refuse(*Fault);
  std::optional<bundle> Base;
  if (Update.FromVersion != NoVersion)
    Base = Held->Content;
  auto Applied = applyDelta(Base, Update.Delta);
  if (!Applied)
    return Refuse(update_fault::BadContent);
  if (Applied.value().digest() != Update.Head.Digest)
    return Refuse(update_fault::DigestMismatch);
  const auto Previous =
      std::exchange(Held, std::make_shared<const signed_bundle>(
                              signed_bundle{Update.Head, Applied.value()}));
  if (Previous)
    recordChange(*Previous);
  return Held;
}

std::optional<update_fault>
bundle_replica::validateHead(const bundle_update &Update) const {
  const bundle_summary Current = summary();
  if (Update.Head.Version <= Current.Version)
    return Update.Head.Version == Current.Version && Held &&
                   Update.Head.Digest != Current.Digest
               ? update_fault::SameVersionOtherContent
               : update_fault::NotNewer;
  switch (checkSignature(Update.Head, Owners)) {
  case signature_check::UnknownOwner:
    return update_fault::UnknownOwner;
  case signature_check::BadSignature:
    return update_fault::BadSignature;
  case signature_check::Good:
    break;
  }
  if (Update.FromVersion != NoVersion && Update.FromVersion != Current.Version)
    return update_fault::WrongBase;
  return std::nullopt;
}

bundle_summary bundle_replica::summary() const {
  if (!Held)
    return {};
  return {Held->Head.Version, Held->Head.Digest};
}

result<bundle_update, answer_fault>
bundle_replica::answer(std::uint64_t HaveVersion) const {
  if (!Held)
    return answer_fault::NoBundleHeld;
  if (HaveVersion >= Held->Head.Version)
    return answer_fault::PeerUpToDate;
  if (auto Delta = changesSince(HaveVersion))
    return bundle_update{Held->Head, HaveVersion, std::move(*Delta)};
  return bundle_update{Held->Head, NoVersion,
                       deltaBetween(std::nullopt, Held->Content)};
}

void bundle_replica::setTrustedOwners(trusted_owners NewOwners) {
  Owners = std::move(NewOwners);
}

void bundle_replica::recordChange(const signed_bundle &Previous) {
  // Computed from the contents, so that a full update is also recorded as a
  // delta.
  Changes.push_back(
      {Previous.Head.Version, Held->Head.Version,
       affectedPartNames(deltaBetween(Previous.Content, Held->Content))});
  RecordedNames += Changes.back().Names.size();
  while (!Changes.empty() && (Changes.size() > MaxRecordedChanges ||
                              RecordedNames > MaxRecordedNames)) {
    RecordedNames -= Changes.front().Names.size();
    Changes.pop_front();
  }
}

std::optional<bundle_delta>
bundle_replica::changesSince(std::uint64_t HaveVersion) const {
  const auto First =
      std::find_if(Changes.begin(), Changes.end(), [&](const change &Change) {
        return Change.FromVersion == HaveVersion;
      });
  if (First == Changes.end())
    return std::nullopt;
  std::set<part_name> Affected;
  for (auto Change = First; Change != Changes.end(); ++Change)
    Affected.insert(Change->Names.begin(), Change->Names.end());

  bundle_delta Delta;
  std::size_t FullBytes = 0;
  for (const bundle_part &Part : Held->Content.parts()) {
    FullBytes += Part.Text.size();
    if (Affected.erase({Part.Name}) > 0)
      Delta.Changed += Part.Text;
  }
  std::size_t DeltaBytes = Delta.Changed.size();
  for (const part_name &Name : Affected) {
    DeltaBytes += Name.Text.size() + sizeof(std::uint32_t);
    Delta.Removed.push_back(Name);
  }
  if (DeltaBytes >= FullBytes)
    return std::nullopt;
  return Delta;
}

} // namespace clementine
