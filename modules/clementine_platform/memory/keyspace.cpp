#include "clementine_platform/memory/keyspace.h"

#include <algorithm>
#include <array>
#include <utility>

namespace clementine {

namespace {

constexpr std::array CompareFields = {&platform_entry::ModRevision,
                                      &platform_entry::Version,
                                      &platform_entry::CreateRevision};

bool startsWith(const std::string &Text, const std::string &Prefix) {
  return Text.compare(0, Prefix.size(), Prefix) == 0;
}

} // namespace

keyspace::keyspace(std::size_t HistoryLimit) : HistoryLimit(HistoryLimit) {}

std::optional<platform_entry> keyspace::get(const std::string &Key) const {
  const auto Found = Entries.find(Key);
  if (Found == Entries.end())
    return std::nullopt;
  return Found->second;
}

platform_range keyspace::list(const std::string &Prefix) const {
  platform_range Range{Revision, {}};
  for (auto Entry = Entries.lower_bound(Prefix);
       Entry != Entries.end() && startsWith(Entry->first, Prefix); ++Entry)
    Range.Entries.push_back(Entry->second);
  return Range;
}

std::optional<platform_commit>
keyspace::commit(const platform_transaction &Transaction) {
  if (!isValid(Transaction))
    return std::nullopt;
  platform_commit Commit;
  Commit.Succeeded = std::all_of(
      Transaction.Compares.begin(), Transaction.Compares.end(),
      [this](const platform_compare &Compare) { return holds(Compare); });
  if (!Commit.Succeeded) {
    for (const std::string &Key : Transaction.ReadsOnFailure)
      if (auto Entry = get(Key))
        Commit.Entries.push_back(std::move(*Entry));
    Commit.Revision = Revision;
    return Commit;
  }
  const bool Deletes = std::any_of(
      Transaction.Deletes.begin(), Transaction.Deletes.end(),
      [this](const std::string &Key) { return Entries.contains(Key); });
  if (Deletes || !Transaction.Puts.empty())
    ++Revision;
  for (const platform_put &Put : Transaction.Puts)
    put(Put);
  for (const std::string &Key : Transaction.Deletes)
    remove(Key);
  Commit.Revision = Revision;
  return Commit;
}

platform_lease keyspace::grantLease(std::chrono::seconds TimeToLive,
                                    instant Now) {
  const lease_id Lease = NextLease++;
  Leases[Lease] = {TimeToLive, Now + TimeToLive, {}};
  return {Lease, TimeToLive};
}

std::optional<platform_lease> keyspace::renewLease(lease_id Lease,
                                                   instant Now) {
  expireLeases(Now);
  const auto Found = Leases.find(Lease);
  if (Found == Leases.end())
    return std::nullopt;
  Found->second.End = Now + Found->second.TimeToLive;
  return platform_lease{Lease, Found->second.TimeToLive};
}

bool keyspace::revokeLease(lease_id Lease) {
  const auto Found = Leases.find(Lease);
  if (Found == Leases.end())
    return false;
  const std::set<std::string> Keys = std::move(Found->second.Keys);
  Leases.erase(Found);
  if (!Keys.empty())
    ++Revision;
  for (const std::string &Key : Keys)
    remove(Key);
  return true;
}

void keyspace::expireLeases(instant Now) {
  std::vector<lease_id> Ended;
  for (const auto &[Lease, State] : Leases)
    if (State.End <= Now)
      Ended.push_back(Lease);
  for (const lease_id Lease : Ended)
    revokeLease(Lease);
}

void keyspace::expireAllLeases() {
  while (!Leases.empty())
    revokeLease(Leases.begin()->first);
}

void keyspace::renewAllLeases(instant Now) {
  for (auto &[Lease, State] : Leases)
    State.End = Now + State.TimeToLive;
}

std::optional<platform_watch_batch>
keyspace::eventsSince(const std::string &Prefix,
                      platform_revision FromRevision) const {
  if (FromRevision <= Compacted)
    return std::nullopt;
  platform_watch_batch Batch{Revision, {}};
  const auto First = std::lower_bound(
      History.begin(), History.end(), FromRevision,
      [](const platform_event &Event, platform_revision Bound) {
        return Event.Entry.ModRevision < Bound;
      });
  for (auto Event = First; Event != History.end(); ++Event)
    if (startsWith(Event->Entry.Key, Prefix))
      Batch.Events.push_back(*Event);
  return Batch;
}

bool keyspace::isValid(const platform_transaction &Transaction) const {
  std::set<std::string> Changed;
  for (const platform_put &Put : Transaction.Puts) {
    if (Put.Lease != 0 && !Leases.contains(Put.Lease))
      return false;
    if (!Changed.insert(Put.Key).second)
      return false;
  }
  return std::all_of(Transaction.Deletes.begin(), Transaction.Deletes.end(),
                     [&Changed](const std::string &Key) {
                       return Changed.insert(Key).second;
                     });
}

bool keyspace::holds(const platform_compare &Compare) const {
  const auto Found = Entries.find(Compare.Key);
  const auto Field = CompareFields.at(static_cast<std::size_t>(Compare.Field));
  const std::int64_t Actual = Found == Entries.end() ? 0 : Found->second.*Field;
  switch (Compare.Relation) {
  case platform_compare::relation::Equal:
    return Actual == Compare.Number;
  case platform_compare::relation::Greater:
    return Actual > Compare.Number;
  case platform_compare::relation::Less:
    return Actual < Compare.Number;
  case platform_compare::relation::NotEqual:
    return Actual != Compare.Number;
  }
  return false;
}

void keyspace::put(const platform_put &Put) {
  platform_entry &Entry = Entries[Put.Key];
  detachFromLease(Entry);
  if (Entry.Version == 0)
    Entry.CreateRevision = Revision;
  Entry.Key = Put.Key;
  Entry.Value = Put.Value;
  Entry.ModRevision = Revision;
  ++Entry.Version;
  Entry.Lease = Put.Lease;
  if (Put.Lease != 0)
    Leases[Put.Lease].Keys.insert(Put.Key);
  record({platform_event::kind::Put, Entry});
}

bool keyspace::remove(const std::string &Key) {
  const auto Found = Entries.find(Key);
  if (Found == Entries.end())
    return false;
  detachFromLease(Found->second);
  Entries.erase(Found);
  platform_event Event{platform_event::kind::Delete, {}};
  Event.Entry.Key = Key;
  Event.Entry.ModRevision = Revision;
  record(std::move(Event));
  return true;
}

void keyspace::detachFromLease(const platform_entry &Entry) {
  const auto Lease = Leases.find(Entry.Lease);
  if (Lease != Leases.end())
    Lease->second.Keys.erase(Entry.Key);
}

void keyspace::record(platform_event Event) {
  History.push_back(std::move(Event));
  // All events of a revision are dropped together, so that a watch never
  // receives only some of them.
  while (History.size() > HistoryLimit) {
    Compacted = History.front().Entry.ModRevision;
    while (!History.empty() && History.front().Entry.ModRevision == Compacted)
      History.pop_front();
  }
}

} // namespace clementine
