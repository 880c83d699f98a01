#include "clementine_membership/node/membership.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace clementine {

namespace {

/// The interval between the first two attempts to join, before jitter.
constexpr duration JoinInterval = std::chrono::seconds(1);
/// How often the interval between attempts to join is doubled at most.
constexpr unsigned MaxJoinDoublings = 4;

/// The maximum number of seeds.
constexpr std::size_t MaxSeeds = 64;
/// The process is assumed to have been paused if tick() or receive() is called
/// this long after both the previous call and the time from nextWake().
constexpr duration PauseThreshold = std::chrono::seconds(2);
/// The number of members that a newer bundle is announced to at once.
constexpr std::size_t BundleFanout = 4;
/// The number of members that a departure is sent to at once.
constexpr std::size_t DepartFanout = 8;
/// One in this many nodes also announces a new bundle to a contact in another
/// data centre.
constexpr std::uint64_t RemoteBundleOneIn = 8;
/// How often dead and left members past their retention period are removed.
constexpr duration PurgeInterval = std::chrono::seconds(10);
/// The minimum interval between two notices of an outdated incarnation.
constexpr duration IncarnationNoticeInterval = std::chrono::milliseconds(200);
/// How many nodes in a data centre probe each dead member, or seeds, in each
/// reconnect interval.
constexpr std::size_t ReconnectingNodes = 4;

/// @returns the lowest incarnation above @p Received.
constexpr std::uint64_t nextIncarnation(std::uint64_t Received) {
  return Received + 1;
}

outbox::sender_header headerOf(const member_record &Self) {
  outbox::sender_header Header;
  Header.Key = keyOf(Self.Identity.Name);
  Header.Incarnation = Self.Identity.Incarnation;
  Header.DataCentre = shortHash(Self.DataCentre);
  Header.AdmissionLevel = Self.AdmissionLevel;
  return Header;
}

member_record requireWellFormed(member_record Self) {
  assert(isWellFormed(Self) && "the local record must be well-formed");
  return Self;
}

} // namespace

membership::membership(member_record Self, membership_settings Settings,
                       peer_key_ring Keys, random_source &Random)
    : Settings(Settings), Random(Random), Codec(std::move(Keys)),
      Table(requireWellFormed(std::move(Self)), Settings.MaxMembers),
      Outbox(this->Settings, Codec, headerOf(Table.self().Claim.Record)),
      Disseminator(
          this->Settings, Random, Table, Outbox,
          [this](member_key Key, const merge_outcome &Outcome, instant Now) {
            memberChanged(Key, Outcome, Now);
          },
          [this](owner_stamp Received, bool IsAccusation, instant Now) {
            handleSelfUpdate(Received, IsAccusation, Now);
          }),
      Sync(this->Settings, Random, Table, Disseminator),
      Detector(this->Settings, Random, Table, Disseminator),
      Directory(this->Settings, Random, Table.self().Claim.Record.DataCentre,
                Outbox),
      Server(this->Settings, Table, Directory, Outbox),
      Replays(2 * Settings.MaxMembers) {}

void membership::join(std::vector<endpoint> NewSeeds, instant Now) {
  std::erase(NewSeeds, self().Gossip);
  if (NewSeeds.size() > MaxSeeds)
    NewSeeds.resize(MaxSeeds);
  Seeds = std::move(NewSeeds);
  NextJoin = Now;
  JoinAttempts = 0;
}

std::vector<outgoing_datagram> membership::tick(instant Now) {
  if (Departed)
    return {};
  detectPause(Now);
  tryJoin(Now);
  tryReconnect(Now);
  requestContacts(Now);
  Detector.tick(Now);
  Disseminator.tick(Now);
  Sync.tick(Now);
  Directory.tick(Now);
  Server.tick(Now);
  if (Now >= NextPurge) {
    NextPurge = Now + PurgeInterval;
    Table.purgeDeadOrLeft(Now, Settings.LeftRetention, Settings.DeadRetention);
  }
  return takeOutgoing();
}

std::vector<outgoing_datagram>
membership::receive(const endpoint &From, std::span<const std::byte> Bytes,
                    instant Now) {
  if (Departed)
    return {};
  detectPause(Now);
  ++Counters.DatagramsReceived;
  Counters.BytesReceived += Bytes.size() + DatagramOverheadBytes;
  const auto Opened = Codec.open(Bytes);
  if (!Opened) {
    ++Counters.Refused.at(static_cast<std::size_t>(Opened.error()));
    return {};
  }
  if (Opened.value().Sender != Table.self().Key)
    handle(From, Opened.value(), Now);
  Disseminator.tick(Now);
  return takeOutgoing();
}

instant membership::nextWake() const {
  if (Departed)
    return instant::max();
  return std::min({NextJoin, NextReconnect, NextContactRequest,
                   Detector.nextWake(), Disseminator.nextWake(),
                   Sync.nextWake(), Directory.nextWake(), Server.nextWake(),
                   NextPurge});
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
  for (const member_entry *Peer : Disseminator.randomPeers(DepartFanout))
    Disseminator.send(Peer->Claim.Record.Gossip, {}, message_priority::Leave,
                      Now);
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
  assert(Service.size() <= MaxServiceNameBytes &&
         "the service name must not be too long");
  if (self().Service == Service && self().Weight == Weight)
    return;
  member_record Record = self();
  const std::string Before = std::exchange(Record.Service, Service);
  Record.Weight = Weight;
  publishSelf(Record, update_part::Claim, false, Now);
  Server.serviceChanged(Before, Now);
}

void membership::setAdmissionLevel(std::uint8_t Level) {
  Outbox.Header.AdmissionLevel = Level;
  Table.updateAdmissionLevel(Table.self().Key, Level);
}

void membership::setBundle(bundle_mark Bundle, instant Now) {
  const bool Newer = Bundle.Version > Outbox.Header.Bundle.Version;
  Outbox.Header.Bundle = Bundle;
  if (Bundle.Version > Newest.Bundle.Version) {
    Newest = {Bundle, self().Gossip, self().Peer};
    NewestBundleChanged = true;
  }
  if (Newer)
    announceBundle(Now);
}

void membership::announceBundle(instant Now) {
  for (const member_entry *Peer : Disseminator.randomPeers(BundleFanout))
    Disseminator.send(Peer->Claim.Record.Gossip, {},
                      message_priority::Dissemination, Now);
  if (Random.below(RemoteBundleOneIn) != 0)
    return;
  std::vector<data_centre_contact> Contacts = Directory.contacts();
  if (Contacts.empty())
    return;
  const data_centre_contact &Chosen = Contacts[Random.below(Contacts.size())];
  Outbox.send(Chosen.Gossip, {}, message_priority::Dissemination, Now);
}

void membership::watchService(const std::string &Service, instant Now) {
  Directory.watchService(Service, Now);
}

void membership::replaceKeys(peer_key_ring Keys) {
  Codec.replaceKeys(std::move(Keys));
}

const member_view &membership::view() {
  if (Table.version() != ViewTableVersion ||
      Directory.version() != ViewDirectoryVersion || NewestBundleChanged)
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
  updateNewestBundle(From, Message);
  const bool IsLocal = Message.DataCentre == Outbox.Header.DataCentre;
  if (Message.Kind == message_kind::Query) {
    Directory.addContact({Message.DataCentreName, From}, Now);
    Server.answer(From, Message, Now);
    return;
  }
  if (Message.Kind == message_kind::Answer) {
    for (const data_centre_contact &Contact : Message.Contacts)
      if (Contact.DataCentre == self().DataCentre && Table.peers().empty() &&
          Contact.Gossip != self().Gossip)
        Sync.startSync(Contact.Gossip, Now);
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
  const bool IsNewSender = Table.find(Message.Sender) == nullptr;
  const std::vector<member_key> Unknown = Disseminator.receive(Message, Now);
  Table.updateAdmissionLevel(Message.Sender, Message.AdmissionLevel);
  if (Message.Kind == message_kind::SyncClaims)
    Sync.recordLearned(Unknown.size(), Now);
  else
    Sync.assistNewMembers(Unknown, Now);
  if (IsNewSender)
    Sync.handleNewMember(From, Now);
  Detector.receive(From, Message, Now);
  Sync.receive(From, Message, Now);
  if (!Message.RequestedKeys.empty())
    Disseminator.sendClaims(From, Message.RequestedKeys, message_priority::Sync,
                            Now);
}

bool membership::isFresh(const endpoint &From, const gossip_message &Message,
                         instant Now) {
  const replay_verdict Verdict =
      Replays.accept(Message.Sender, Message.Incarnation, Message.Sequence);
  if (Verdict == replay_verdict::Fresh)
    return true;
  ++Counters.Replayed;
  if (Verdict == replay_verdict::Replayed ||
      Now - LastIncarnationNotice < IncarnationNoticeInterval)
    return false;
  // A node that restarted with a lower incarnation than in its earlier run must
  // be notified, since otherwise all its messages would be rejected.
  LastIncarnationNotice = Now;
  gossip_message Notice;
  state_update Update;
  Update.Key = Message.Sender;
  Update.Incarnation = Replays.epochOf(Message.Sender).value_or(0);
  Notice.Updates.push_back(Update);
  Outbox.send(From, std::move(Notice), message_priority::Dissemination, Now);
  return false;
}

void membership::updateNewestBundle(const endpoint &From,
                                    const gossip_message &Message) {
  if (Message.Bundle.Version <= Newest.Bundle.Version)
    return;
  const member_entry *Sender = Table.find(Message.Sender);
  Newest = {Message.Bundle, From,
            Sender ? Sender->Claim.Record.Peer : endpoint{}};
  NewestBundleChanged = true;
}

void membership::handleSelfUpdate(owner_stamp Received, bool IsAccusation,
                                  instant Now) {
  const owner_stamp Own = Table.self().Claim.stamp();
  const bool Refute = IsAccusation ? Received.Incarnation >= Own.Incarnation
                                   : Received.isNewerThan(Own);
  if (!Refute || Departed)
    return;
  ++Counters.Refutations;
  if (IsAccusation)
    Detector.recordRefutation();
  member_record Record = self();
  Record.Identity.Incarnation = nextIncarnation(Received.Incarnation);
  Table.setSelf(Record, 0);
  Outbox.Header.Incarnation = Record.Identity.Incarnation;
  Disseminator.announceSelf(update_part::State, false, Now);
}

void membership::memberChanged(member_key Key, const merge_outcome &Outcome,
                               instant Now) {
  Detector.memberChanged(Key, Outcome, Now);
  Server.memberChanged(Key, Outcome, Now);
}

void membership::publishSelf(const member_record &Record, update_part Part,
                             bool IsUrgent, instant Now) {
  Table.setSelf(Record, Table.self().Claim.Revision + 1);
  Disseminator.announceSelf(Part, IsUrgent, Now);
  Server.serviceChanged(Record.Service, Now);
}

void membership::detectPause(instant Now) {
  const instant Last = std::exchange(LastActive, Now);
  if (Last == instant{} || Now - Last < PauseThreshold)
    return;
  if (Now - std::max(Last, nextWake()) < PauseThreshold)
    return;
  ++Counters.Pauses;
  Detector.restartAfterPause(Now);
}

void membership::tryJoin(instant Now) {
  if (Now < NextJoin)
    return;
  if (!Table.peers().empty() || Seeds.empty()) {
    NextJoin = instant::max();
    return;
  }
  Sync.startSync(randomSeed(), Now);
  const unsigned Doublings = std::min(JoinAttempts++, MaxJoinDoublings);
  // The jitter spreads out the nodes of a data centre that all start at once.
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
  // Only ReconnectingNodes nodes on average probe each dead member or the
  // seeds, so that a seed, or a new process at a dead member's address, is not
  // flooded.
  const std::size_t Share = Random.below(Table.liveCount());
  if (!Dead.empty() && Share < ReconnectingNodes * Dead.size())
    Detector.reconnect(*Dead[Random.below(Dead.size())], Now);
  // Synchronising with a seed reunites two partitions whose members have
  // removed each other.
  if (!Seeds.empty() && !Table.peers().empty() && Share < ReconnectingNodes)
    Sync.startSync(randomSeed(), Now);
}

void membership::requestContacts(instant Now) {
  if (Now < NextContactRequest)
    return;
  NextContactRequest = Now + ContactRequestInterval;
  if (Table.peers().empty())
    return;
  ContactRequestInterval =
      std::min(2 * ContactRequestInterval, Settings.QueryInterval);
  for (const member_entry *Peer : Disseminator.randomPeers(1)) {
    gossip_message Message;
    Message.Kind = message_kind::Query;
    Message.DataCentreName = self().DataCentre;
    Outbox.send(Peer->Claim.Record.Gossip, std::move(Message),
                message_priority::Query, Now);
  }
}

endpoint membership::randomSeed() { return Seeds[Random.below(Seeds.size())]; }

void membership::rebuildView() {
  ViewTableVersion = Table.version();
  ViewDirectoryVersion = Directory.version();
  NewestBundleChanged = false;
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
    const bool IsDeadOrLeft = Member->State == member_state::Dead ||
                              Member->State == member_state::Left;
    if (!IsDeadOrLeft && !Member->Service.empty())
      Fresh.ByService[Member->Service].push_back(Member);
  }
  Directory.addTo(Fresh);
  View = std::move(Fresh);
}

} // namespace clementine
