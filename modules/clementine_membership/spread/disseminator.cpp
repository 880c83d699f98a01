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
constexpr unsigned CrowdedSends = 4;
/// The shortest gap between two rounds when a member leaves.
constexpr duration ShortestGap = std::chrono::milliseconds(20);
/// The most datagrams for one request of claims.
constexpr std::size_t MostClaimDatagrams = 6;

} // namespace

disseminator::disseminator(const membership_settings &Settings,
                           random_source &Random, member_table &Table,
                           outbox &Outbox, change_function OnChange,
                           self_function OnSelf)
    : Settings(Settings), Random(Random), Table(Table), Outbox(Outbox),
      OnChange(std::move(OnChange)), OnSelf(std::move(OnSelf)) {}

std::size_t disseminator::receive(const gossip_message &Message, instant Now) {
  std::size_t Unknown = 0;
  for (const member_claim &Claim : Message.Claims)
    Unknown += receiveClaim(Claim, Now) ? 1 : 0;
  for (const state_update &Update : Message.Updates)
    receiveUpdate(Update, Now);
  return Unknown;
}

bool disseminator::receiveClaim(const member_claim &Claim, instant Now) {
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
  applied(Key, Table.merge(Claim, Now), Now);
  return Unknown;
}

void disseminator::receiveUpdate(const state_update &Update, instant Now) {
  const bool IsDead = Update.State == member_state::Dead;
  const bool IsAccusation = IsDead || Update.State == member_state::Suspect;
  if (Update.Key == Table.self().Key) {
    const std::uint32_t Revision = IsAccusation ? 0 : Update.Detail;
    OnSelf({Update.Incarnation, Revision}, IsAccusation, Now);
    return;
  }
  if (!IsAccusation) {
    applied(Update.Key,
            Table.mergeState(Update.Key, {Update.Incarnation, Update.Detail},
                             Update.State, Update.ContentHash, Now),
            Now);
    return;
  }
  const accusation Accused{Update.Incarnation, IsDead
                                                   ? accusation_level::Dead
                                                   : accusation_level::Suspect};
  applied(Update.Key,
          Table.accuse(Update.Key, Accused, IsDead ? 0 : Update.Detail, Now),
          Now);
}

void disseminator::applied(member_key Key, const merge_outcome &Outcome,
                           instant Now) {
  if (Outcome.OwnerChanged)
    Queue.add(Key,
              Outcome.ContentChanged ? update_part::Claim : update_part::State);
  if (Outcome.AccusationChanged || Outcome.Confirmed)
    Queue.add(Key, update_part::Accusation);
  if (Outcome.Before != Outcome.After && Outcome.After == member_state::Leaving)
    LeaveWaits = true;
  if (Outcome.any())
    OnChange(Key, Outcome, Now);
}

void disseminator::announceSelf(update_part Part, bool AtOnce, instant Now) {
  Queue.add(Table.self().Key, Part);
  if (!AtOnce)
    return;
  LeaveWaits = true;
  NextRound = std::min(NextRound, Now);
}

void disseminator::accuse(member_key Key, accusation Accused, instant Now) {
  const auto Accuser = static_cast<std::uint32_t>(Table.self().Key);
  applied(Key, Table.accuse(Key, Accused, Accuser, Now), Now);
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
  gossip_message Message;
  std::size_t Size = datagram_codec::sealedSize(Message);
  const std::size_t EmptySize = Size;
  std::size_t Datagrams = 0;
  for (const member_key Key : Keys) {
    const member_entry *Entry = Table.find(Key);
    if (!Entry)
      continue;
    const std::size_t Added = datagram_codec::sizeOf(Entry->Claim);
    if (Size + Added > MostDatagramBytes) {
      ++Datagrams;
      if (!Outbox.send(To, std::exchange(Message, {}), Urgency, Now) ||
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
  const urgency Urgency = LeaveWaits ? urgency::Leave : urgency::News;
  LeaveWaits = false;
  NextRound = Now + Settings.GossipInterval;
  for (const member_entry *Peer : randomPeers(Settings.GossipFanout)) {
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
  const duration Waited = Settings.GossipInterval - ShortestGap;
  return LeaveWaits ? NextRound - Waited : NextRound;
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
  Queue.drain(mostSends(), [&](member_key Key, update_part Part) {
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

unsigned disseminator::mostSends() const {
  if (Queue.size() > CrowdedNews)
    return CrowdedSends;
  const auto Doublings =
      static_cast<unsigned>(std::bit_width(Table.liveCount()));
  return Doublings + ExtraSends;
}

} // namespace clementine
