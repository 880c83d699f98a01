#include "clementine_membership/node/membership.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace clementine {

namespace {

/// The first wait between two attempts to join, and the most doublings of it.
constexpr duration JoinInterval = std::chrono::seconds(1);
constexpr unsigned MostJoinDoublings = 4;

/// The most seeds that are held.
constexpr std::size_t MostSeeds = 64;
/// A tick that comes so much too late shows that the node was paused.
constexpr duration PauseThreshold = std::chrono::seconds(2);
/// To how many members a newer bundle and a good-bye are told at once.
constexpr std::size_t BundleFanout = 4;
constexpr std::size_t DepartFanout = 8;
/// One in so many nodes tells a member of another data centre of a new bundle.
constexpr std::uint64_t RemoteBundleShare = 8;
/// How often members that are gone for long are forgotten.
constexpr duration ForgetInterval = std::chrono::seconds(10);
/// The shortest gap between two notices of an old incarnation.
constexpr duration NoticeInterval = std::chrono::milliseconds(200);
/// How many nodes in a data centre probe each dead member, or seeds, in each
/// reconnect interval.
constexpr std::size_t ReconnectingNodes = 4;

/// The first incarnation after @p Heard.
constexpr std::uint64_t above(std::uint64_t Heard) { return Heard + 1; }

outbox::sender_header headerOf(const member_record &Self) {
  outbox::sender_header Header;
  Header.Key = keyOf(Self.Identity.Name);
  Header.Incarnation = Self.Identity.Incarnation;
  Header.DataCentre = shortHash(Self.DataCentre);
  Header.AdmissionLevel = Self.AdmissionLevel;
  return Header;
}

member_record checked(member_record Self) {
  assert(isWellFormed(Self) && "the own record is within the caps");
  return Self;
}

} // namespace

membership::membership(member_record Self, membership_settings Settings,
                       peer_key_ring Keys, random_source &Random)
    : Settings(Settings), Random(Random), Codec(std::move(Keys)),
      Table(checked(std::move(Self)), Settings.MostMembers),
      Outbox(this->Settings, Codec, headerOf(Table.self().Claim.Record)),
      Spread(
          this->Settings, Random, Table, Outbox,
          [this](member_key Key, const merge_outcome &Outcome, instant Now) {
            memberChanged(Key, Outcome, Now);
          },
          [this](owner_stamp Heard, bool IsAccusation, instant Now) {
            heardOfSelf(Heard, IsAccusation, Now);
          }),
      Sync(this->Settings, Random, Table, Spread),
      Detector(this->Settings, Random, Table, Spread),
      Directory(this->Settings, Random, Table.self().Claim.Record.DataCentre,
                Outbox),
      Server(this->Settings, Table, Directory, Outbox),
      Replays(2 * Settings.MostMembers) {}

void membership::join(std::vector<endpoint> NewSeeds, instant Now) {
  std::erase(NewSeeds, self().Gossip);
  if (NewSeeds.size() > MostSeeds)
    NewSeeds.resize(MostSeeds);
  Seeds = std::move(NewSeeds);
  NextJoin = Now;
  JoinAttempts = 0;
}

std::vector<outgoing_datagram> membership::tick(instant Now) {
  if (Departed)
    return {};
  noticePause(Now);
  trySeeds(Now);
  tryReconnect(Now);
  askForContacts(Now);
  Detector.tick(Now);
  Spread.tick(Now);
  Sync.tick(Now);
  Directory.tick(Now);
  Server.tick(Now);
  if (Now >= NextForget) {
    NextForget = Now + ForgetInterval;
    Table.forgetGone(Now, Settings.KeepLeft, Settings.KeepDead);
  }
  return takeOutgoing();
}

std::vector<outgoing_datagram>
membership::receive(const endpoint &From, std::span<const std::byte> Bytes,
                    instant Now) {
  if (Departed)
    return {};
  noticePause(Now);
  ++Counters.DatagramsReceived;
  Counters.BytesReceived += Bytes.size() + DatagramOverheadBytes;
  const auto Opened = Codec.open(Bytes);
  if (!Opened) {
    ++Counters.Refused.at(static_cast<std::size_t>(Opened.error()));
    return {};
  }
  if (Opened.value().Sender != Table.self().Key)
    handle(From, Opened.value(), Now);
  Spread.tick(Now);
  return takeOutgoing();
}

instant membership::nextWake() const {
  if (Departed)
    return instant::max();
  return std::min({NextJoin, NextReconnect, NextContacts, Detector.nextWake(),
                   Spread.nextWake(), Sync.nextWake(), Directory.nextWake(),
                   Server.nextWake(), NextForget});
}

void membership::leave(instant Now) {
  if (self().State == member_state::Leaving)
    return;
  member_record Record = self();
  Record.State = member_state::Leaving;
  publishSelf(Record, update_part::State, true, Now);
}

std::vector<outgoing_datagram> membership::depart(instant Now) {
  if (Departed)
    return {};
  member_record Record = self();
  Record.State = member_state::Left;
  publishSelf(Record, update_part::State, false, Now);
  for (const member_entry *Peer : Spread.randomPeers(DepartFanout))
    Spread.send(Peer->Claim.Record.Gossip, {}, urgency::Leave, Now);
  Departed = true;
  return takeOutgoing();
}

void membership::setState(member_state State, instant Now) {
  assert((State == member_state::Alive || State == member_state::Warming) &&
         "leave() and depart() set the other states");
  if (self().State == State || self().State == member_state::Leaving)
    return;
  member_record Record = self();
  Record.State = State;
  publishSelf(Record, update_part::State, false, Now);
}

void membership::setService(const std::string &Service, std::uint16_t Weight,
                            instant Now) {
  assert(Service.size() <= LongestServiceName &&
         "the service is within its cap");
  if (self().Service == Service && self().Weight == Weight)
    return;
  member_record Record = self();
  const std::string Before = std::exchange(Record.Service, Service);
  Record.Weight = Weight;
  publishSelf(Record, update_part::Claim, false, Now);
  Server.changed(Before, Now);
}

void membership::setAdmissionLevel(std::uint8_t Level) {
  Outbox.Header.AdmissionLevel = Level;
  Table.noteLevel(Table.self().Key, Level);
}

void membership::setBundle(bundle_mark Bundle, instant Now) {
  const bool Newer = Bundle.Version > Outbox.Header.Bundle.Version;
  Outbox.Header.Bundle = Bundle;
  if (Bundle.Version > Newest.Bundle.Version) {
    Newest = {Bundle, self().Gossip, self().Peer};
    BundleHeard = true;
  }
  if (Newer)
    tellBundle(Now);
}

void membership::tellBundle(instant Now) {
  for (const member_entry *Peer : Spread.randomPeers(BundleFanout))
    Spread.send(Peer->Claim.Record.Gossip, {}, urgency::News, Now);
  if (Random.below(RemoteBundleShare) != 0)
    return;
  std::vector<centre_contact> Contacts = Directory.contacts();
  if (Contacts.empty())
    return;
  const centre_contact &Chosen = Contacts[Random.below(Contacts.size())];
  Outbox.send(Chosen.Gossip, {}, urgency::News, Now);
}

void membership::watchService(const std::string &Service, instant Now) {
  Directory.watchService(Service, Now);
}

void membership::replaceKeys(peer_key_ring Keys) {
  Codec.replaceKeys(std::move(Keys));
}

const member_view &membership::view() {
  if (Table.version() != ViewedTable ||
      Directory.version() != ViewedDirectory || BundleHeard)
    rebuildView();
  return View;
}

std::vector<outgoing_datagram> membership::takeOutgoing() {
  std::vector<outgoing_datagram> Taken = Outbox.take();
  Counters.DatagramsSent += Taken.size();
  Counters.BytesSent = Outbox.bytesSent();
  return Taken;
}

void membership::handle(const endpoint &From, const gossip_message &Message,
                        instant Now) {
  if (!isFresh(From, Message, Now))
    return;
  hearBundle(From, Message);
  const bool IsLocal = Message.DataCentre == Outbox.Header.DataCentre;
  if (Message.Kind == message_kind::Query) {
    Directory.addContact({Message.DataCentreName, From}, Now);
    Server.answer(From, Message, Now);
    return;
  }
  if (Message.Kind == message_kind::Answer) {
    for (const centre_contact &Contact : Message.Contacts)
      if (Contact.DataCentre == self().DataCentre && Table.peers().empty() &&
          Contact.Gossip != self().Gossip)
        Sync.open(Contact.Gossip, Now);
    Directory.receive(From, Message, Now);
    return;
  }
  if (IsLocal)
    handleLocal(From, Message, Now);
  else if (Message.Kind == message_kind::SyncDigest ||
           Message.Kind == message_kind::Probe)
    Server.answer(From, Message, Now);
}

void membership::handleLocal(const endpoint &From,
                             const gossip_message &Message, instant Now) {
  const bool Met = Table.find(Message.Sender) == nullptr;
  const std::vector<member_key> Unknown = Spread.receive(Message, Now);
  Table.noteLevel(Message.Sender, Message.AdmissionLevel);
  if (Message.Kind == message_kind::SyncClaims)
    Sync.learnt(Unknown.size(), Now);
  else
    Sync.welcome(Unknown, Now);
  if (Met)
    Sync.met(From, Now);
  Detector.receive(From, Message, Now);
  Sync.receive(From, Message, Now);
  if (!Message.Wanted.empty())
    Spread.sendClaims(From, Message.Wanted, urgency::Sync, Now);
}

bool membership::isFresh(const endpoint &From, const gossip_message &Message,
                         instant Now) {
  const replay_verdict Verdict =
      Replays.accept(Message.Sender, Message.Incarnation, Message.Sequence);
  if (Verdict == replay_verdict::Fresh)
    return true;
  ++Counters.Replayed;
  if (Verdict == replay_verdict::Replayed || Now - LastNotice < NoticeInterval)
    return false;
  // A node that started with a lower incarnation than its earlier run had has
  // to hear of it, or nobody would listen to it.
  LastNotice = Now;
  gossip_message Notice;
  state_update Update;
  Update.Key = Message.Sender;
  Update.Incarnation = Replays.epochOf(Message.Sender).value_or(0);
  Notice.Updates.push_back(Update);
  Outbox.send(From, std::move(Notice), urgency::News, Now);
  return false;
}

void membership::hearBundle(const endpoint &From,
                            const gossip_message &Message) {
  if (Message.Bundle.Version <= Newest.Bundle.Version)
    return;
  const member_entry *Sender = Table.find(Message.Sender);
  Newest = {Message.Bundle, From,
            Sender ? Sender->Claim.Record.Peer : endpoint{}};
  BundleHeard = true;
}

void membership::heardOfSelf(owner_stamp Heard, bool IsAccusation,
                             instant Now) {
  const owner_stamp Own = Table.self().Claim.stamp();
  const bool Refute = IsAccusation ? Heard.Incarnation >= Own.Incarnation
                                   : Heard.isNewerThan(Own);
  if (!Refute || Departed)
    return;
  ++Counters.Refutations;
  if (IsAccusation)
    Detector.refuted();
  member_record Record = self();
  Record.Identity.Incarnation = above(Heard.Incarnation);
  Table.setSelf(Record, 0);
  Outbox.Header.Incarnation = Record.Identity.Incarnation;
  Spread.announceSelf(update_part::State, false, Now);
}

void membership::memberChanged(member_key Key, const merge_outcome &Outcome,
                               instant Now) {
  Detector.changed(Key, Outcome, Now);
  Server.changed(Key, Outcome, Now);
}

void membership::publishSelf(const member_record &Record, update_part Part,
                             bool AtOnce, instant Now) {
  Table.setSelf(Record, Table.self().Claim.Revision + 1);
  Spread.announceSelf(Part, AtOnce, Now);
  Server.changed(Record.Service, Now);
}

void membership::noticePause(instant Now) {
  const instant Last = std::exchange(LastActive, Now);
  if (Last == instant{} || Now - Last < PauseThreshold)
    return;
  if (Now - std::max(Last, nextWake()) < PauseThreshold)
    return;
  ++Counters.Pauses;
  Detector.resumed(Now);
}

void membership::trySeeds(instant Now) {
  if (Now < NextJoin)
    return;
  if (!Table.peers().empty() || Seeds.empty()) {
    NextJoin = instant::max();
    return;
  }
  Sync.open(randomSeed(), Now);
  const unsigned Doublings = std::min(JoinAttempts++, MostJoinDoublings);
  // The jitter keeps the nodes of a data centre that starts at once apart.
  const auto Wait = std::chrono::duration_cast<duration>(
      JoinInterval * (1U << Doublings) * (0.5 + Random.unit()));
  NextJoin = Now + Wait;
}

void membership::tryReconnect(instant Now) {
  if (Now < NextReconnect)
    return;
  const auto Jitter = std::chrono::duration_cast<duration>(
      Settings.ReconnectInterval * Random.unit() / 2);
  NextReconnect = Now + Settings.ReconnectInterval - Jitter;
  if (Table.peers().empty() && NextJoin == instant::max())
    NextJoin = Now;
  std::vector<const member_entry *> Dead;
  for (const auto &[Key, Entry] : Table.entries())
    if (Entry.Claim.state() == member_state::Dead)
      Dead.push_back(&Entry);
  // The whole data centre probes as often as a few nodes would, so that what
  // now stands at a dead member's address, or a seed, is not flooded.
  const std::size_t Share = Random.below(Table.liveCount());
  if (!Dead.empty() && Share < ReconnectingNodes * Dead.size())
    Detector.reconnect(*Dead[Random.below(Dead.size())], Now);
  // Two halves that forgot each other meet again at a seed.
  if (!Seeds.empty() && !Table.peers().empty() && Share < ReconnectingNodes)
    Sync.open(randomSeed(), Now);
}

void membership::askForContacts(instant Now) {
  if (Now < NextContacts)
    return;
  NextContacts = Now + ContactInterval;
  if (Table.peers().empty())
    return;
  ContactInterval = std::min(2 * ContactInterval, Settings.QueryInterval);
  for (const member_entry *Peer : Spread.randomPeers(1)) {
    gossip_message Message;
    Message.Kind = message_kind::Query;
    Message.DataCentreName = self().DataCentre;
    Outbox.send(Peer->Claim.Record.Gossip, std::move(Message), urgency::Query,
                Now);
  }
}

endpoint membership::randomSeed() { return Seeds[Random.below(Seeds.size())]; }

void membership::rebuildView() {
  ViewedTable = Table.version();
  ViewedDirectory = Directory.version();
  BundleHeard = false;
  member_view Fresh;
  Fresh.Version = View.Version + 1;
  Fresh.NewestBundle = Newest;
  Fresh.Local.reserve(Table.entries().size());
  for (const auto &[Key, Entry] : Table.entries())
    Fresh.Local.push_back(Entry.Published);
  std::sort(Fresh.Local.begin(), Fresh.Local.end(),
            [](const shared_member &Left, const shared_member &Right) {
              return Left->Identity.Name < Right->Identity.Name;
            });
  for (const shared_member &Member : Fresh.Local) {
    const bool Gone = Member->State == member_state::Dead ||
                      Member->State == member_state::Left;
    if (!Gone && !Member->Service.empty())
      Fresh.ByService[Member->Service].push_back(Member);
  }
  Directory.addTo(Fresh);
  View = std::move(Fresh);
}

} // namespace clementine
