#include "clementine_membership/spread/disseminator.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace clementine {

namespace {

/// Sends of one piece of news beyond the logarithm of the members.
constexpr unsigned ExtraSends = 2;
/// With more news than this waiting, each piece is sent fewer times and the
/// rest is left to anti-entropy.
constexpr std::size_t CrowdedNews = 64;
constexpr send_limits CrowdedLimits = {1, 4, 16};
/// Urgent news is sent so many times more often, to more members and at shorter
/// intervals, so that it reaches all within three seconds under loss.
constexpr unsigned UrgentFactor = 2;
constexpr std::size_t UrgentFanout = 4;
constexpr duration UrgentInterval = std::chrono::milliseconds(200);
/// The shortest gap between two rounds when urgent news has just come.
constexpr duration ShortestGap = std::chrono::milliseconds(20);
/// The most datagrams for one request of claims.
constexpr std::size_t MostClaimDatagrams = 3;

} // namespace

disseminator::disseminator(const membership_settings &Settings,
                           random_source &Random, member_table &Table,
                           outbox &Outbox, change_function OnChange,
                           self_function OnSelf)
    : Settings(Settings), Random(Random), Table(Table), Outbox(Outbox),
      OnChange(std::move(OnChange)), OnSelf(std::move(OnSelf)) {}

std::vector<member_key> disseminator::receive(const gossip_message &Message,
                                              instant Now) {
  std::vector<member_key> Unknown;
  const bool IsNews = Message.Kind != message_kind::SyncClaims;
  for (const member_claim &Claim : Message.Claims)
    if (receiveClaim(Claim, IsNews, Now))
      Unknown.push_back(keyOf(Claim.Record.Identity.Name));
  for (const state_update &Update : Message.Updates)
    receiveUpdate(Update, Now);
  return Unknown;
}

bool disseminator::receiveClaim(const member_claim &Claim, bool IsNews,
                                instant Now) {
  const member_key Key = keyOf(Claim.Record.Identity.Name);
  const member_record &Self = Table.self().Claim.Record;
  if (Claim.Record.DataCentre != Self.DataCentre)
    return false;
  if (Key == Table.self().Key) {
    OnSelf(Claim.stamp(), false, Now);
    if (Claim.isAccused())
      OnSelf({Claim.Accused.Incarnation, 0}, true, Now);
    return false;
  }
  const bool Unknown = Table.find(Key) == nullptr;
  const merge_outcome Outcome = Table.merge(Claim, Now);
  // A node that has just started learns of everyone; that is no news.
  if (IsNews || !Unknown)
    enqueue(Key, Outcome);
  applied(Key, Outcome, Now);
  return Unknown;
}

void disseminator::receiveUpdate(const state_update &Update, instant Now) {
  const merge_outcome Outcome = mergeUpdate(Update, Now);
  enqueue(Update.Key, Outcome);
  applied(Update.Key, Outcome, Now);
}

merge_outcome disseminator::mergeUpdate(const state_update &Update,
                                        instant Now) {
  const bool IsDead = Update.State == member_state::Dead;
  const bool IsAccusation = IsDead || Update.State == member_state::Suspect;
  if (Update.Key == Table.self().Key) {
    const std::uint32_t Revision = IsAccusation ? 0 : Update.Detail;
    OnSelf({Update.Incarnation, Revision}, IsAccusation, Now);
    return {};
  }
  if (!IsAccusation)
    return Table.mergeState(Update.Key, {Update.Incarnation, Update.Detail},
                            Update.State, Update.ContentHash, Now);
  const accusation Accused{Update.Incarnation, IsDead
                                                   ? accusation_level::Dead
                                                   : accusation_level::Suspect};
  return Table.accuse(Update.Key, Accused, IsDead ? 0 : Update.Detail, Now);
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

void disseminator::applied(member_key Key, const merge_outcome &Outcome,
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
  applied(Key, Outcome, Now);
}

bool disseminator::send(const endpoint &To, gossip_message Message,
                        urgency Urgency, instant Now) {
  if (!Queue.empty() && Outbox.hasRoomFor(urgency::News, Now))
    fill(Message);
  return Outbox.send(To, std::move(Message), Urgency, Now);
}

void disseminator::sendClaims(const endpoint &To,
                              const std::vector<member_key> &Keys,
                              urgency Urgency, instant Now) {
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
    if (Size + Added > MostDatagramBytes) {
      ++Datagrams;
      if (!Outbox.send(To, std::exchange(Message, Empty), Urgency, Now) ||
          Datagrams == MostClaimDatagrams)
        return;
      Size = EmptySize;
    }
    Message.Claims.push_back(Entry->Claim);
    Size += Added;
  }
  if (!Message.Claims.empty())
    Outbox.send(To, std::move(Message), Urgency, Now);
}

void disseminator::tick(instant Now) {
  if (Now < nextWake())
    return;
  const bool IsUrgent = Queue.hasUrgent();
  const urgency Urgency = IsUrgent ? urgency::Leave : urgency::News;
  UrgentUnsent = false;
  LastRound = Now;
  NextRound = Now + (IsUrgent ? UrgentInterval : Settings.GossipInterval);
  const std::size_t Fanout = IsUrgent ? UrgentFanout : Settings.GossipFanout;
  for (const member_entry *Peer : randomPeers(Fanout)) {
    if (Queue.empty() || !Outbox.hasRoomFor(Urgency, Now))
      return;
    gossip_message Message;
    fill(Message);
    Outbox.send(Peer->Claim.Record.Gossip, std::move(Message), Urgency, Now);
  }
}

instant disseminator::nextWake() const {
  if (Queue.empty() || Table.peers().empty())
    return instant::max();
  return UrgentUnsent ? std::min(NextRound, LastRound + ShortestGap)
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
  Update.Detail = Entry.Accusers.empty() ? 0 : Entry.Accusers.back();
  return Update;
}

void disseminator::fill(gossip_message &Message) {
  std::size_t Room = MostDatagramBytes - datagram_codec::sealedSize(Message);
  Queue.drain(sendLimits(), [&](member_key Key, update_part Part) {
    return put(Message, Room, Key, Part);
  });
}

bool disseminator::put(gossip_message &Message, std::size_t &Room,
                       member_key Key, update_part Part) const {
  const member_entry *Entry = Table.find(Key);
  // What was forgotten meanwhile counts as sent.
  if (!Entry)
    return true;
  const member_claim &Claim = Entry->Claim;
  const std::size_t Size = Part == update_part::Claim
                               ? datagram_codec::sizeOf(Claim)
                               : datagram_codec::MostUpdateBytes;
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
  if (Queue.size() > CrowdedNews)
    return CrowdedLimits;
  const auto Doublings =
      static_cast<unsigned>(std::bit_width(Table.liveCount()));
  const unsigned Sends = Doublings + ExtraSends;
  return {Sends, Sends, UrgentFactor * Sends};
}

} // namespace clementine
