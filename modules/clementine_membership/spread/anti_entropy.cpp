#include "clementine_membership/spread/anti_entropy.h"

#include <algorithm>
#include <array>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace clementine {

namespace {

/// Once this many members were learned since the last comparison, the next one
/// is brought forward.
constexpr std::size_t EarlySyncThreshold = 2;
/// How many members are sent to a node that has just started.
constexpr std::size_t SampleMembers = 3;
/// A node with fewer live members than this in its view compares views with
/// each new member at once.
constexpr std::size_t SmallViewMembers = 4;
/// A node with at least this many live members in its view answers the digest
/// of a node with fewer than SmallViewMembers by sending it a few members
/// instead of comparing the whole view.
constexpr std::size_t LargeViewMembers = 16;
/// How many members assist a new one, on average.
constexpr std::size_t AssistingMembers = 2;
/// The first interval between comparisons after the start.
constexpr duration InitialInterval = std::chrono::seconds(1);
constexpr duration EarlySyncDelay = std::chrono::milliseconds(200);

bool isDeadOrLeft(const member_entry &Entry) {
  const member_state State = Entry.Claim.state();
  return State == member_state::Dead || State == member_state::Left;
}

std::uint64_t bitOf(std::size_t Bucket) { return std::uint64_t{1} << Bucket; }

} // namespace

anti_entropy::anti_entropy(const membership_settings &Settings,
                           random_source &Random, member_table &Table,
                           disseminator &Disseminator)
    : Settings(Settings), Random(Random), Table(Table),
      Disseminator(Disseminator), Interval(InitialInterval) {}

void anti_entropy::startSync(const endpoint &To, instant Now) {
  gossip_message Message;
  Message.Kind = message_kind::SyncDigest;
  Message.ViewDigest = Table.digest();
  Message.LiveMembers = static_cast<std::uint32_t>(Table.liveCount());
  // The receiver may not know the local node yet.
  Message.Claims.push_back(Table.self().Claim);
  Disseminator.send(To, std::move(Message), message_priority::Sync, Now);
}

void anti_entropy::sendSampleMembers(const endpoint &To, instant Now) {
  // The local node, which may be a seed, is omitted if there are enough others;
  // otherwise all starting nodes would probe the seed at once.
  std::vector<member_key> Sample;
  for (const member_entry *Peer : Disseminator.randomPeers(SampleMembers))
    Sample.push_back(Peer->Key);
  if (Sample.size() < SampleMembers)
    Sample.push_back(Table.self().Key);
  Disseminator.sendClaims(To, Sample, message_priority::Join, Now);
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

void anti_entropy::handleNewMember(const endpoint &From, instant Now) {
  if (Table.liveCount() < SmallViewMembers)
    startSync(From, Now);
}

void anti_entropy::recordLearned(std::size_t Members, instant Now) {
  LearnedSinceSync += Members;
  if (LearnedSinceSync >= EarlySyncThreshold)
    NextSync = std::min(NextSync, Now + EarlySyncDelay);
}

void anti_entropy::assistNewMembers(const std::vector<member_key> &Members,
                                    instant Now) {
  for (const member_key Key : Members) {
    const member_entry *Entry = Table.find(Key);
    if (Entry && Random.below(Table.liveCount()) < AssistingMembers)
      sendSampleMembers(Entry->Claim.Record.Gossip, Now);
  }
}

void anti_entropy::tick(instant Now) {
  if (Now < NextSync)
    return;
  LearnedSinceSync = 0;
  // A jitter of up to half an interval spreads out nodes that started together.
  const auto Jitter =
      std::chrono::duration_cast<duration>(Interval * Random.unit() / 2);
  NextSync = Now + Interval - Jitter;
  Interval = std::min(Settings.SyncInterval, Interval + Interval / 8);
  for (const member_entry *Peer : Disseminator.randomPeers(1))
    startSync(Peer->Claim.Record.Gossip, Now);
}

void anti_entropy::answerDigest(const endpoint &From,
                                const gossip_message &Message, instant Now) {
  if (Message.ViewDigest == Table.digest())
    return;
  if (Message.LiveMembers < SmallViewMembers &&
      Table.liveCount() >= LargeViewMembers) {
    sendSampleMembers(From, Now);
    return;
  }
  gossip_message Reply;
  Reply.Kind = message_kind::SyncBuckets;
  for (std::size_t Bucket = 0; Bucket < member_table::Buckets; ++Bucket)
    Reply.BucketDigests.push_back(Table.bucketDigest(Bucket));
  Reply.Claims.push_back(Table.self().Claim);
  Disseminator.send(From, std::move(Reply), message_priority::Sync, Now);
}

void anti_entropy::answerBuckets(const endpoint &From,
                                 const gossip_message &Message, instant Now) {
  if (Message.BucketDigests.size() != member_table::Buckets)
    return;
  std::array<std::vector<sync_entry>, member_table::Buckets> Known;
  for (const auto &[Key, Entry] : Table.entries())
    if (!isDeadOrLeft(Entry))
      Known[member_table::bucketOf(Key)].push_back(
          {Key, member_table::stampHash(Entry)});
  std::vector<std::size_t> Different;
  for (std::size_t Bucket = 0; Bucket < member_table::Buckets; ++Bucket)
    if (Message.BucketDigests[Bucket] != Table.bucketDigest(Bucket))
      Different.push_back(Bucket);
  // Buckets with few known members need the fewest bytes and are likely to lack
  // the most members.
  std::sort(Different.begin(), Different.end(),
            [&](std::size_t Left, std::size_t Right) {
              return Known[Left].size() < Known[Right].size();
            });
  gossip_message Reply;
  Reply.Kind = message_kind::SyncEntries;
  std::size_t Room = MaxDatagramBytes - datagram_codec::sealedSize(Reply);
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
    Disseminator.send(From, std::move(Reply), message_priority::Sync, Now);
}

void anti_entropy::answerEntries(const endpoint &From,
                                 const gossip_message &Message, instant Now) {
  std::unordered_set<member_key> Listed;
  std::vector<member_key> Offered;
  gossip_message Request;
  std::size_t Room = MaxDatagramBytes - datagram_codec::sealedSize(Request);
  for (const sync_entry &RemoteEntry : Message.Entries) {
    Listed.insert(RemoteEntry.Key);
    const member_entry *LocalEntry = Table.find(RemoteEntry.Key);
    if (LocalEntry &&
        member_table::stampHash(*LocalEntry) == RemoteEntry.StampHash)
      continue;
    if (LocalEntry)
      Offered.push_back(RemoteEntry.Key);
    if (Room < datagram_codec::RequestedKeyBytes)
      continue;
    Room -= datagram_codec::RequestedKeyBytes;
    Request.RequestedKeys.push_back(RemoteEntry.Key);
  }
  for (const auto &[Key, Entry] : Table.entries()) {
    const bool BucketCovered =
        (Message.BucketMask & bitOf(member_table::bucketOf(Key))) != 0;
    if (BucketCovered && !isDeadOrLeft(Entry) && !Listed.contains(Key))
      Offered.push_back(Key);
  }
  if (!Request.RequestedKeys.empty())
    Disseminator.send(From, std::move(Request), message_priority::Sync, Now);
  Disseminator.sendClaims(From, Offered, message_priority::Sync, Now);
}

} // namespace clementine
