#include "clementine_membership/spread/anti_entropy.h"

#include <algorithm>
#include <array>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace clementine {

namespace {

/// With so many members learnt since the last comparison the next one is soon.
constexpr std::size_t ManyLearnt = 2;
/// How many members a node that has just started is told of at once.
constexpr std::size_t ReferredMembers = 3;
/// A node that knows fewer members is told of some more at once.
constexpr std::size_t FewMembers = 4;
/// A node that knows so many does not compare its whole view with such a one.
constexpr std::size_t ManyMembers = 16;
/// How many members help one that is new, on average.
constexpr std::size_t WelcomingMembers = 2;
/// The interval between comparisons after the start.
constexpr duration FirstInterval = std::chrono::seconds(1);
constexpr duration SoonInterval = std::chrono::milliseconds(200);

bool isGone(const member_entry &Entry) {
  const member_state State = Entry.Claim.state();
  return State == member_state::Dead || State == member_state::Left;
}

std::uint64_t bitOf(std::size_t Bucket) { return std::uint64_t{1} << Bucket; }

} // namespace

anti_entropy::anti_entropy(const membership_settings &Settings,
                           random_source &Random, member_table &Table,
                           disseminator &Spread)
    : Settings(Settings), Random(Random), Table(Table), Spread(Spread),
      Interval(FirstInterval) {}

void anti_entropy::open(const endpoint &To, instant Now) {
  gossip_message Message;
  Message.Kind = message_kind::SyncDigest;
  Message.ViewDigest = Table.digest();
  Message.LiveMembers = static_cast<std::uint32_t>(Table.liveCount());
  // The receiver may not know this node yet.
  Message.Claims.push_back(Table.self().Claim);
  Spread.send(To, std::move(Message), urgency::Sync, Now);
}

void anti_entropy::refer(const endpoint &To, instant Now) {
  // A seed does not name itself, or all that start would probe it at once.
  std::vector<member_key> Named;
  for (const member_entry *Peer : Spread.randomPeers(ReferredMembers))
    Named.push_back(Peer->Key);
  if (Named.size() < ReferredMembers)
    Named.push_back(Table.self().Key);
  Spread.sendClaims(To, Named, urgency::Join, Now);
}

void anti_entropy::receive(const endpoint &From, const gossip_message &Message,
                           instant Now) {
  if (Message.Kind == message_kind::SyncDigest)
    answerDigest(From, Message, Now);
  if (Message.Kind == message_kind::SyncBuckets)
    answerBuckets(From, Message, Now);
  if (Message.Kind == message_kind::SyncEntries)
    answerEntries(From, Message, Now);
}

void anti_entropy::met(const endpoint &From, instant Now) {
  if (Table.liveCount() < FewMembers)
    open(From, Now);
}

void anti_entropy::learnt(std::size_t Members, instant Now) {
  LearntSinceSync += Members;
  if (LearntSinceSync >= ManyLearnt)
    NextSync = std::min(NextSync, Now + SoonInterval);
}

void anti_entropy::welcome(const std::vector<member_key> &Members,
                           instant Now) {
  for (const member_key Key : Members) {
    const member_entry *Entry = Table.find(Key);
    if (Entry && Random.below(Table.liveCount()) < WelcomingMembers)
      refer(Entry->Claim.Record.Gossip, Now);
  }
}

void anti_entropy::tick(instant Now) {
  if (Now < NextSync)
    return;
  LearntSinceSync = 0;
  // Half an interval of jitter keeps nodes that started together apart.
  const auto Jitter =
      std::chrono::duration_cast<duration>(Interval * Random.unit() / 2);
  NextSync = Now + Interval - Jitter;
  Interval = std::min(Settings.SyncInterval, Interval + Interval / 8);
  for (const member_entry *Peer : Spread.randomPeers(1))
    open(Peer->Claim.Record.Gossip, Now);
}

void anti_entropy::answerDigest(const endpoint &From,
                                const gossip_message &Message, instant Now) {
  if (Message.ViewDigest == Table.digest())
    return;
  if (Message.LiveMembers < FewMembers && Table.liveCount() >= ManyMembers) {
    refer(From, Now);
    return;
  }
  gossip_message Reply;
  Reply.Kind = message_kind::SyncBuckets;
  for (std::size_t Bucket = 0; Bucket < member_table::Buckets; ++Bucket)
    Reply.BucketDigests.push_back(Table.bucketDigest(Bucket));
  Reply.Claims.push_back(Table.self().Claim);
  Spread.send(From, std::move(Reply), urgency::Sync, Now);
}

void anti_entropy::answerBuckets(const endpoint &From,
                                 const gossip_message &Message, instant Now) {
  if (Message.BucketDigests.size() != member_table::Buckets)
    return;
  std::array<std::vector<sync_entry>, member_table::Buckets> Known;
  for (const auto &[Key, Entry] : Table.entries())
    if (!isGone(Entry))
      Known[member_table::bucketOf(Key)].push_back(
          {Key, member_table::stampHash(Entry)});
  std::vector<std::size_t> Different;
  for (std::size_t Bucket = 0; Bucket < member_table::Buckets; ++Bucket)
    if (Message.BucketDigests[Bucket] != Table.bucketDigest(Bucket))
      Different.push_back(Bucket);
  // Buckets of which little is known cost least and bring most.
  std::sort(Different.begin(), Different.end(),
            [&](std::size_t Left, std::size_t Right) {
              return Known[Left].size() < Known[Right].size();
            });
  gossip_message Reply;
  Reply.Kind = message_kind::SyncEntries;
  std::size_t Room = MostDatagramBytes - datagram_codec::sealedSize(Reply);
  for (const std::size_t Bucket : Different) {
    const auto &Entries = Known[Bucket];
    const std::size_t Size = Entries.size() * datagram_codec::SyncEntryBytes;
    if (Size > Room)
      break;
    Room -= Size;
    Reply.BucketMask |= bitOf(Bucket);
    Reply.Entries.insert(Reply.Entries.end(), Entries.begin(), Entries.end());
  }
  if (Reply.BucketMask != 0)
    Spread.send(From, std::move(Reply), urgency::Sync, Now);
}

void anti_entropy::answerEntries(const endpoint &From,
                                 const gossip_message &Message, instant Now) {
  std::unordered_set<member_key> Listed;
  std::vector<member_key> Offered;
  gossip_message Request;
  std::size_t Room = MostDatagramBytes - datagram_codec::sealedSize(Request);
  for (const sync_entry &Theirs : Message.Entries) {
    Listed.insert(Theirs.Key);
    const member_entry *Ours = Table.find(Theirs.Key);
    if (Ours && member_table::stampHash(*Ours) == Theirs.StampHash)
      continue;
    if (Ours)
      Offered.push_back(Theirs.Key);
    if (Room < datagram_codec::WantedBytes)
      continue;
    Room -= datagram_codec::WantedBytes;
    Request.Wanted.push_back(Theirs.Key);
  }
  for (const auto &[Key, Entry] : Table.entries()) {
    const bool Asked =
        (Message.BucketMask & bitOf(member_table::bucketOf(Key))) != 0;
    if (Asked && !isGone(Entry) && !Listed.contains(Key))
      Offered.push_back(Key);
  }
  if (!Request.Wanted.empty())
    Spread.send(From, std::move(Request), urgency::Sync, Now);
  Spread.sendClaims(From, Offered, urgency::Sync, Now);
}

} // namespace clementine
