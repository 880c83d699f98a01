#include "clementine_membership/spread/disseminator.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace clementine {

namespace {

/// The number of sends of one update in addition to the binary logarithm of the
/// number of members.
constexpr unsigned ExtraSends = 2;
/// With more queued updates than this, each one is sent fewer times and
/// anti-entropy delivers the rest.
constexpr std::size_t CrowdedQueueSize = 64;
constexpr send_limits CrowdedLimits = {1, 4, 16};
/// Urgent updates are sent this many times as often, to more members and at
/// shorter intervals, so that they reach all members within three seconds
/// despite packet loss.
constexpr unsigned UrgentFactor = 2;
constexpr std::size_t UrgentFanout = 4;
constexpr duration UrgentInterval = std::chrono::milliseconds(200);
/// The minimum interval between two rounds when an urgent update has just
/// arrived.
constexpr duration MinRoundGap = std::chrono::milliseconds(20);
/// The maximum number of datagrams in response to one request for claims.
constexpr std::size_t MaxClaimDatagrams = 3;

} // namespace

disseminator::disseminator(const membership_settings &Settings,
                           random_source &Random, member_table &Table,
                           outbox &Outbox, change_callback OnChange,
                           self_update_callback OnSelfUpdate)
    : Settings(Settings), Random(Random), Table(Table), Outbox(Outbox),
      OnChange(std::move(OnChange)), OnSelfUpdate(std::move(OnSelfUpdate)) {}

std::vector<member_key> disseminator::receive(const gossip_message &Message,
                                              instant Now) {
  std::vector<member_key> Unknown;
  const bool IsGossip = Message.Kind != message_kind::SyncClaims;
  for (const member_claim &Claim : Message.Claims)
    if (receiveClaim(Claim, IsGossip, Now))
      Unknown.push_back(keyOf(Claim.Record.Identity.Name));
  for (const state_update &Update : Message.Updates)
    receiveUpdate(Update, Now);
  return Unknown;
}

bool disseminator::receiveClaim(const member_claim &Claim, bool IsGossip,
                                instant Now) {
  const member_key Key = keyOf(Claim.Record.Identity.Name);
  const member_record &Self = Table.self().Claim.Record;
  if (Claim.Record.DataCentre != Self.DataCentre)
    return false;
  if (Key == Table.self().Key) {
    OnSelfUpdate(Claim.stamp(), false, Now);
    if (Claim.isAccused())
      OnSelfUpdate({Claim.Accused.Incarnation, 0}, true, Now);
    return false;
  }
  const bool Unknown = Table.find(Key) == nullptr;
  const merge_outcome Outcome = Table.merge(Claim, Now);
  // Members that are learned by anti-entropy, as by a node that has just
  // started, are not disseminated further.
  if (IsGossip || !Unknown)
    enqueue(Key, Outcome);
  notifyChange(Key, Outcome, Now);
  return Unknown;
}

void disseminator::receiveUpdate(const state_update &Update, instant Now) {
  const merge_outcome Outcome = mergeUpdate(Update, Now);
  enqueue(Update.Key, Outcome);
  notifyChange(Update.Key, Outcome, Now);
}

merge_outcome disseminator::mergeUpdate(const state_update &Update,
                                        instant Now) {
  const bool IsDead = Update.State == member_state::Dead;
  const bool IsAccusation = IsDead || Update.State == member_state::Suspect;
  if (Update.Key == Table.self().Key) {
    const std::uint32_t Revision = IsAccusation ? 0 : Update.RevisionOrAccuser;
    OnSelfUpdate({Update.Incarnation, Revision}, IsAccusation, Now);
    return {};
  }
  if (!IsAccusation)
    return Table.mergeState(Update.Key,
                            {Update.Incarnation, Update.RevisionOrAccuser},
                            Update.State, Update.ContentHash, Now);
  const accusation Accused{Update.Incarnation, IsDead
                                                   ? accusation_level::Dead
                                                   : accusation_level::Suspect};
  return Table.accuse(Update.Key, Accused,
                      IsDead ? 0 : Update.RevisionOrAccuser, Now);
}

void disseminator::enqueue(member_key Key, const merge_outcome &Outcome) {
  const bool IsUrgent =
      Outcome.Before != Outcome.After && Outcome.After == member_state::Leaving;
  if (Outcome.OwnerChanged)
    Queue.add(Key,
              Outcome.ContentChanged ? update_part::Claim : update_part::State,
              IsUrgent);
  if (Outcome.AccusationChanged || Outcome.Confirmed)
    Queue.add(Key, update_part::Accusation);
  UrgentUnsent = UrgentUnsent || IsUrgent;
}

void disseminator::notifyChange(member_key Key, const merge_outcome &Outcome,
                                instant Now) {
  if (Outcome.any())
    OnChange(Key, Outcome, Now);
}

void disseminator::announceSelf(update_part Part, bool IsUrgent, instant Now) {
  Queue.add(Table.self().Key, Part, IsUrgent);
  if (!IsUrgent)
    return;
  UrgentUnsent = true;
  NextRound = std::min(NextRound, Now);
}

void disseminator::accuse(member_key Key, accusation Accused, instant Now) {
  const auto Accuser = static_cast<std::uint32_t>(Table.self().Key);
  const merge_outcome Outcome = Table.accuse(Key, Accused, Accuser, Now);
  enqueue(Key, Outcome);
  notifyChange(Key, Outcome, Now);
}

bool disseminator::send(const endpoint &To, gossip_message Message,
                        message_priority Priority, instant Now) {
  if (!Queue.empty() && Outbox.hasRoomFor(message_priority::Dissemination, Now))
    fillWithUpdates(Message);
  return Outbox.send(To, std::move(Message), Priority, Now);
}

void disseminator::sendClaims(const endpoint &To,
                              const std::vector<member_key> &Keys,
                              message_priority Priority, instant Now) {
  gossip_message Empty;
  Empty.Kind = message_kind::SyncClaims;
  gossip_message Message = Empty;
  const std::size_t EmptySize = datagram_codec::sealedSize(Empty);
  std::size_t Size = EmptySize;
  std::size_t Datagrams = 0;
  for (const member_key Key : Keys) {
    const member_entry *Entry = Table.find(Key);
    if (!Entry)
      continue;
    const std::size_t Added = datagram_codec::sizeOf(Entry->Claim);
    if (Size + Added > MaxDatagramBytes) {
      ++Datagrams;
      if (!Outbox.send(To, std::exchange(Message, Empty), Priority, Now) ||
          Datagrams == MaxClaimDatagrams)
        return;
      Size = EmptySize;
    }
    Message.Claims.push_back(Entry->Claim);
    Size += Added;
  }
  if (!Message.Claims.empty())
    Outbox.send(To, std::move(Message), Priority, Now);
}

void disseminator::tick(instant Now) {
  if (Now < nextWake())
    return;
  const bool IsUrgent = Queue.hasUrgent();
  const message_priority Priority =
      IsUrgent ? message_priority::Leave : message_priority::Dissemination;
  UrgentUnsent = false;
  LastRound = Now;
  NextRound = Now + (IsUrgent ? UrgentInterval : Settings.GossipInterval);
  const std::size_t Fanout = IsUrgent ? UrgentFanout : Settings.GossipFanout;
  for (const member_entry *Peer : randomPeers(Fanout)) {
    if (Queue.empty() || !Outbox.hasRoomFor(Priority, Now))
      return;
    gossip_message Message;
    fillWithUpdates(Message);
    Outbox.send(Peer->Claim.Record.Gossip, std::move(Message), Priority, Now);
  }
}

instant disseminator::nextWake() const {
  if (Queue.empty() || Table.peers().empty())
    return instant::max();
  return UrgentUnsent ? std::min(NextRound, LastRound + MinRoundGap)
                      : NextRound;
}

std::vector<const member_entry *> disseminator::randomPeers(std::size_t Count) {
  const std::vector<member_key> &Peers = Table.peers();
  std::vector<const member_entry *> Chosen;
  if (Peers.size() <= Count) {
    for (const member_key Key : Peers)
      Chosen.push_back(Table.find(Key));
    return Chosen;
  }
  while (Chosen.size() < Count) {
    const member_entry *Entry = Table.find(Peers[Random.below(Peers.size())]);
    if (std::find(Chosen.begin(), Chosen.end(), Entry) == Chosen.end())
      Chosen.push_back(Entry);
  }
  return Chosen;
}

state_update disseminator::accusationOf(const member_entry &Entry) {
  state_update Update;
  Update.Key = Entry.Key;
  const member_claim &Claim = Entry.Claim;
  Update.Incarnation = Claim.Accused.Incarnation;
  Update.State = Claim.Accused.Level == accusation_level::Dead
                     ? member_state::Dead
                     : member_state::Suspect;
  Update.RevisionOrAccuser = Entry.Accusers.empty() ? 0 : Entry.Accusers.back();
  return Update;
}

void disseminator::fillWithUpdates(gossip_message &Message) {
  std::size_t Room = MaxDatagramBytes - datagram_codec::sealedSize(Message);
  Queue.drain(sendLimits(), [&](member_key Key, update_part Part) {
    return appendUpdate(Message, Room, Key, Part);
  });
}

bool disseminator::appendUpdate(gossip_message &Message, std::size_t &Room,
                                member_key Key, update_part Part) const {
  const member_entry *Entry = Table.find(Key);
  // Members that were removed meanwhile count as sent.
  if (!Entry)
    return true;
  const member_claim &Claim = Entry->Claim;
  const std::size_t Size = Part == update_part::Claim
                               ? datagram_codec::sizeOf(Claim)
                               : datagram_codec::MaxUpdateBytes;
  if (Size > Room)
    return false;
  Room -= Size;
  if (Part == update_part::Claim) {
    Message.Claims.push_back(Claim);
    return true;
  }
  if (Part == update_part::State) {
    const member_record &Record = Claim.Record;
    Message.Updates.push_back({Key, Record.Identity.Incarnation, Record.State,
                               Claim.Revision,
                               member_table::contentHash(Record)});
    return true;
  }
  if (Claim.isAccused())
    Message.Updates.push_back(accusationOf(*Entry));
  return true;
}

send_limits disseminator::sendLimits() const {
  if (Queue.size() > CrowdedQueueSize)
    return CrowdedLimits;
  const auto Doublings =
      static_cast<unsigned>(std::bit_width(Table.liveCount()));
  const unsigned Sends = Doublings + ExtraSends;
  return {Sends, Sends, UrgentFactor * Sends};
}

} // namespace clementine
