#include "clementine_membership/members/member_table.h"

#include "clementine_core/random/random_source.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace clementine {

namespace {

bool isDeadOrLeft(member_state State) {
  return State == member_state::Dead || State == member_state::Left;
}

std::uint64_t combine(std::uint64_t Hash, std::uint64_t Value) {
  return mixBits(Hash * 0x9e3779b97f4a7c15ULL + Value + 1);
}

/// Hashes the parts of a claim on which the members of a data centre have to
/// agree.
std::uint64_t claimHash(member_key Key, const member_claim &Claim) {
  std::uint64_t Hash = combine(Key, Claim.Record.Identity.Incarnation);
  Hash = combine(Hash, Claim.Revision);
  if (!Claim.isAccused())
    return Hash;
  Hash = combine(Hash, Claim.Accused.Incarnation);
  return combine(Hash, static_cast<std::uint64_t>(Claim.Accused.Level));
}

} // namespace

bool member_claim::isAccused() const {
  return Accused.Level != accusation_level::None &&
         Accused.Incarnation >= Record.Identity.Incarnation;
}

member_state member_claim::state() const {
  if (Record.State == member_state::Left)
    return member_state::Left;
  if (isAccused() && Accused.Level == accusation_level::Dead)
    return member_state::Dead;
  // A suspected member that is leaving must still receive no new calls.
  if (Record.State == member_state::Leaving || !isAccused())
    return Record.State;
  return member_state::Suspect;
}

member_table::member_table(member_record Self, std::size_t MaxMembers)
    : MaxMembers(MaxMembers), SelfKey(keyOf(Self.Identity.Name)) {
  member_entry &Entry = Entries[SelfKey];
  Entry.Key = SelfKey;
  Entry.Claim.Record = std::move(Self);
  toggleInDigest(Entry);
  publish(Entry);
}

void member_table::setSelf(const member_record &Record,
                           std::uint32_t Revision) {
  member_entry &Entry = Entries[SelfKey];
  change(Entry, instant{}, [&] {
    Entry.Claim.Record = Record;
    Entry.Claim.Revision = Revision;
  });
}

const member_entry *member_table::find(member_key Key) const {
  const auto Found = Entries.find(Key);
  return Found == Entries.end() ? nullptr : &Found->second;
}

merge_outcome member_table::merge(const member_claim &Claim, instant Now) {
  const member_key Key = keyOf(Claim.Record.Identity.Name);
  assert(Key != SelfKey && "use setSelf() for the local record");
  auto Found = Entries.find(Key);
  const bool IsNew = Found == Entries.end();
  if (IsNew) {
    if (Entries.size() >= MaxMembers)
      return {};
    Found = Entries.try_emplace(Key).first;
    Found->second.Key = Key;
  }
  member_entry &Entry = Found->second;
  const bool Newer = IsNew || Claim.stamp().isNewerThan(Entry.Claim.stamp());
  merge_outcome Outcome;
  if (Newer) {
    const bool ContentChanged =
        IsNew || contentHash(Entry.Claim.Record) != contentHash(Claim.Record);
    // The digest does not contain a new entry yet; as Left it is not removed
    // from it below.
    if (IsNew)
      Entry.Claim.Record.State = member_state::Left;
    Outcome = change(Entry, Now, [&] {
      Entry.Claim.Record = Claim.Record;
      Entry.Claim.Revision = Claim.Revision;
    });
    Outcome.OwnerChanged = true;
    Outcome.ContentChanged = ContentChanged;
  } else {
    Outcome.Before = Entry.Claim.state();
    Outcome.After = Outcome.Before;
  }
  if (Claim.Accused.Level == accusation_level::None)
    return Outcome;
  const merge_outcome Accused = accuse(Key, Claim.Accused, 0, Now);
  Outcome.AccusationChanged = Accused.AccusationChanged;
  Outcome.After = Accused.After;
  return Outcome;
}

merge_outcome member_table::mergeState(member_key Key, owner_stamp Stamp,
                                       member_state State,
                                       std::uint32_t ContentHash, instant Now) {
  const auto Found = Entries.find(Key);
  if (Found == Entries.end() || Key == SelfKey)
    return {};
  member_entry &Entry = Found->second;
  merge_outcome Outcome;
  Outcome.Before = Entry.Claim.state();
  Outcome.After = Outcome.Before;
  // When the contents differ, anti-entropy transfers the whole record.
  if (!Stamp.isNewerThan(Entry.Claim.stamp()) ||
      contentHash(Entry.Claim.Record) != ContentHash)
    return Outcome;
  Outcome = change(Entry, Now, [&] {
    Entry.Claim.Record.Identity.Incarnation = Stamp.Incarnation;
    Entry.Claim.Record.State = State;
    Entry.Claim.Revision = Stamp.Revision;
  });
  Outcome.OwnerChanged = true;
  return Outcome;
}

merge_outcome member_table::accuse(member_key Key, accusation Accused,
                                   std::uint32_t Accuser, instant Now) {
  const auto Found = Entries.find(Key);
  if (Found == Entries.end() || Key == SelfKey)
    return {};
  member_entry &Entry = Found->second;
  merge_outcome Outcome;
  Outcome.Before = Entry.Claim.state();
  Outcome.After = Outcome.Before;
  if (Accused.Incarnation < Entry.Claim.Record.Identity.Incarnation ||
      Entry.Claim.Accused.isStrongerThan(Accused))
    return Outcome;
  const bool IsNew = Accused.isStrongerThan(Entry.Claim.Accused);
  if (IsNew) {
    Entry.Accusers.clear();
    Entry.SuspectSince = Now;
    Outcome = change(Entry, Now, [&] { Entry.Claim.Accused = Accused; });
    Outcome.AccusationChanged = true;
  }
  auto &Accusers = Entry.Accusers;
  const bool Counts =
      Accused.Level == accusation_level::Suspect && Accuser != 0 &&
      Accusers.size() < MaxAccusers &&
      std::find(Accusers.begin(), Accusers.end(), Accuser) == Accusers.end();
  if (Counts)
    Accusers.push_back(Accuser);
  Outcome.Confirmed = Counts && !IsNew;
  return Outcome;
}

void member_table::restartSuspicion(member_key Key, instant Now) {
  const auto Found = Entries.find(Key);
  if (Found != Entries.end())
    Found->second.SuspectSince = Now;
}

void member_table::updateAdmissionLevel(member_key Key, std::uint8_t Level) {
  const auto Found = Entries.find(Key);
  if (Found == Entries.end())
    return;
  if (Found->second.Claim.Record.AdmissionLevel == Level)
    return;
  Found->second.Claim.Record.AdmissionLevel = Level;
  publish(Found->second);
}

void member_table::purgeDeadOrLeft(instant Now, duration LeftRetention,
                                   duration DeadRetention) {
  for (auto Entry = Entries.begin(); Entry != Entries.end();) {
    const member_state State = Entry->second.Claim.state();
    const duration Keep =
        State == member_state::Left ? LeftRetention : DeadRetention;
    const bool Remove = Entry->first != SelfKey && isDeadOrLeft(State) &&
                        Now - Entry->second.DeadOrLeftSince > Keep;
    Entry = Remove ? Entries.erase(Entry) : std::next(Entry);
    Version += Remove ? 1 : 0;
  }
}

std::uint64_t member_table::digest() const {
  std::uint64_t Hash = 0;
  for (const std::uint64_t Bucket : Digests)
    Hash = combine(Hash, Bucket);
  return Hash;
}

std::uint32_t member_table::bucketDigest(std::size_t Bucket) const {
  return static_cast<std::uint32_t>(mixBits(Digests.at(Bucket)));
}

std::uint32_t member_table::stampHash(const member_entry &Entry) {
  return static_cast<std::uint32_t>(claimHash(Entry.Key, Entry.Claim));
}

std::uint32_t member_table::contentHash(const member_record &Record) {
  std::uint64_t Hash = stableHash(Record.Identity.Name);
  Hash = combine(Hash, stableHash(Record.DataCentre));
  Hash = combine(Hash, stableHash(Record.Service));
  for (const endpoint *Endpoint :
       {&Record.Gossip, &Record.Peer, &Record.Http}) {
    Hash = combine(Hash, stableHash(Endpoint->Host));
    Hash = combine(Hash, Endpoint->Port);
  }
  return static_cast<std::uint32_t>(combine(Hash, Record.Weight));
}

template <class Change>
merge_outcome member_table::change(member_entry &Entry, instant Now,
                                   Change Apply) {
  merge_outcome Outcome;
  Outcome.Before = Entry.Claim.state();
  // Digests are combined with XOR, so the same call adds a claim and removes
  // it.
  toggleInDigest(Entry);
  Apply();
  toggleInDigest(Entry);
  Outcome.After = Entry.Claim.state();
  if (isDeadOrLeft(Outcome.After) && Outcome.After != Outcome.Before)
    Entry.DeadOrLeftSince = Now;
  updatePeers(Entry);
  publish(Entry);
  return Outcome;
}

void member_table::toggleInDigest(const member_entry &Entry) {
  if (isDeadOrLeft(Entry.Claim.state()))
    return;
  Digests[bucketOf(Entry.Key)] ^= claimHash(Entry.Key, Entry.Claim);
}

void member_table::updatePeers(member_entry &Entry) {
  if (Entry.Key == SelfKey)
    return;
  const bool IsPeer = !isDeadOrLeft(Entry.Claim.state());
  if (IsPeer == Entry.PeerIndex.has_value())
    return;
  if (IsPeer) {
    Entry.PeerIndex = Peers.size();
    Peers.push_back(Entry.Key);
    return;
  }
  const std::size_t FreeIndex = *Entry.PeerIndex;
  Entry.PeerIndex.reset();
  const member_key Last = Peers.back();
  Peers.pop_back();
  if (Last == Entry.Key)
    return;
  Peers[FreeIndex] = Last;
  Entries[Last].PeerIndex = FreeIndex;
}

void member_table::publish(member_entry &Entry) {
  auto Record = std::make_shared<member_record>(Entry.Claim.Record);
  Record->State = Entry.Claim.state();
  Entry.Published = std::move(Record);
  ++Version;
}

} // namespace clementine
