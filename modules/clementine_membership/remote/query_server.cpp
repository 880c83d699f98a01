#include "clementine_membership/remote/query_server.h"

#include <algorithm>
#include <utility>

namespace clementine {

namespace {

/// The most askers that are told of changes.
constexpr std::size_t MostSubscribers = 128;
/// A lease in query intervals: an asker comes back to another member each time,
/// so a few members at once tell it of changes.
constexpr int LeaseIntervals = 2;
/// Changes within this span are told together.
constexpr duration PushDelay = std::chrono::milliseconds(300);
/// How many members of this data centre are named as contacts.
constexpr std::size_t NamedContacts = 2;
/// The bytes left for contacts in an answer.
constexpr std::size_t ContactRoom = 96;

std::uint64_t rendezvousScore(member_key Asker, member_key Member) {
  return mixBits(Asker ^ mixBits(Member));
}

} // namespace

query_server::query_server(const membership_settings &Settings,
                           member_table &Table, remote_directory &Directory,
                           outbox &Outbox)
    : Settings(Settings), Table(Table), Directory(Directory), Outbox(Outbox) {}

void query_server::answer(const endpoint &From, const gossip_message &Message,
                          instant Now) {
  if (Message.Kind != message_kind::Query) {
    tell(From, Message.Sender, {}, true, Message.DataCentre, Now);
    return;
  }
  const bool SameCentre =
      Message.DataCentreName == Table.self().Claim.Record.DataCentre;
  if (SameCentre) {
    // A member of the own data centre wants contacts in all others.
    gossip_message Answer = emptyAnswer();
    for (centre_contact &Contact : Directory.contacts()) {
      Answer.Contacts.push_back(std::move(Contact));
      if (datagram_codec::sealedSize(Answer) + ContactRoom > MostDatagramBytes)
        break;
    }
    Outbox.send(From, std::move(Answer), urgency::Query, Now);
    return;
  }
  subscribe(From, Message, Now);
  std::vector<service_digest> Different;
  for (const service_digest &Service : Message.Services) {
    std::vector<shared_member> Members;
    for (const member_entry *Entry : choose(Service.Service, Message.Sender))
      Members.push_back(Entry->Published);
    if (membersDigest(Members) != Service.Members)
      Different.push_back(Service);
  }
  tell(From, Message.Sender, Different, true, Message.DataCentre, Now);
}

void query_server::subscribe(const endpoint &From,
                             const gossip_message &Message, instant Now) {
  std::erase_if(Subscribers, [&](const subscriber &Each) {
    return Each.Key == Message.Sender || Each.LeaseEnds < Now;
  });
  if (Subscribers.size() == MostSubscribers || Message.Services.empty() ||
      Message.Services.size() > MostWantedServices)
    return;
  subscriber Added;
  Added.Key = Message.Sender;
  Added.From = From;
  for (const service_digest &Service : Message.Services)
    Added.Services.insert(Service.Service);
  Added.LeaseEnds = Now + LeaseIntervals * Settings.QueryInterval;
  Subscribers.push_back(std::move(Added));
}

void query_server::changed(member_key Key, const merge_outcome &Outcome,
                           instant Now) {
  // A suspicion is often refuted; the next query tells of it if not.
  const bool OnlySuspicion = Outcome.After == member_state::Suspect ||
                             Outcome.Before == member_state::Suspect;
  const bool MemberDied = Outcome.After == member_state::Dead;
  if (Outcome.Before == Outcome.After && !Outcome.ContentChanged)
    return;
  if (OnlySuspicion && !MemberDied && !Outcome.ContentChanged)
    return;
  if (const member_entry *Entry = Table.find(Key))
    changed(Entry->Claim.Record.Service, Now);
}

void query_server::changed(std::string_view Service, instant Now) {
  if (Service.empty())
    return;
  const std::uint32_t Hash = shortHash(Service);
  for (subscriber &Each : Subscribers) {
    if (!Each.Services.contains(Hash))
      continue;
    Each.Changed.insert(Hash);
    NextPush = std::min(NextPush, Now + PushDelay);
  }
}

void query_server::tick(instant Now) {
  if (Now < NextPush)
    return;
  NextPush = instant::max();
  for (subscriber &Each : Subscribers) {
    if (Each.Changed.empty() || Each.LeaseEnds < Now)
      continue;
    std::vector<service_digest> Services;
    for (const std::uint32_t Service : Each.Changed)
      Services.push_back({Service, 0});
    Each.Changed.clear();
    tell(Each.From, Each.Key, Services, false, 0, Now);
  }
}

void query_server::tell(const endpoint &To, member_key Asker,
                        const std::vector<service_digest> &Services,
                        bool WithContacts, std::uint32_t AskersCentre,
                        instant Now) {
  gossip_message Answer = emptyAnswer();
  if (WithContacts)
    addContacts(Answer, AskersCentre);
  const std::size_t EmptySize = datagram_codec::sealedSize(emptyAnswer());
  std::size_t Size = datagram_codec::sealedSize(Answer);
  for (const service_digest &Service : Services) {
    std::size_t Added = sizeof(std::uint32_t) * 2;
    std::vector<member_claim> Claims;
    for (const member_entry *Entry : choose(Service.Service, Asker)) {
      const std::size_t ClaimSize = datagram_codec::sizeOf(Entry->Claim);
      // Members with very long names: fewer of them are told.
      if (EmptySize + Added + ClaimSize > MostDatagramBytes)
        break;
      Added += ClaimSize;
      Claims.push_back(Entry->Claim);
    }
    if (Size + Added > MostDatagramBytes) {
      if (!Outbox.send(To, std::exchange(Answer, emptyAnswer()), urgency::Query,
                       Now))
        return;
      Size = EmptySize;
    }
    Size += Added;
    Answer.Services.push_back({Service.Service, 0});
    Answer.Claims.insert(Answer.Claims.end(), Claims.begin(), Claims.end());
  }
  Outbox.send(To, std::move(Answer), urgency::Query, Now);
}

std::vector<const member_entry *> query_server::choose(std::uint32_t Service,
                                                       member_key Asker) const {
  std::vector<const member_entry *> Members;
  for (const auto &[Key, Entry] : Table.entries()) {
    const member_record &Record = Entry.Claim.Record;
    const member_state State = Entry.Claim.state();
    const bool Gone =
        State == member_state::Dead || State == member_state::Left;
    if (!Gone && !Record.Service.empty() &&
        shortHash(Record.Service) == Service)
      Members.push_back(&Entry);
  }
  const std::size_t Told = std::min(Members.size(), MostToldMembers);
  std::partial_sort(Members.begin(),
                    Members.begin() + static_cast<std::ptrdiff_t>(Told),
                    Members.end(), [&](const auto *Left, const auto *Right) {
                      return rendezvousScore(Asker, Left->Key) <
                             rendezvousScore(Asker, Right->Key);
                    });
  Members.resize(Told);
  return Members;
}

gossip_message query_server::emptyAnswer() const {
  gossip_message Answer;
  Answer.Kind = message_kind::Answer;
  Answer.DataCentreName = Table.self().Claim.Record.DataCentre;
  Answer.LiveMembers = static_cast<std::uint32_t>(Table.liveCount());
  return Answer;
}

void query_server::addContacts(gossip_message &Answer,
                               std::uint32_t AskersCentre) {
  const std::vector<member_key> &Peers = Table.peers();
  const std::size_t Named = std::min(Peers.size(), NamedContacts);
  for (std::size_t Count = 0; Count < Named; ++Count) {
    const member_entry *Peer = Table.find(Peers[ContactTurn++ % Peers.size()]);
    const member_record &Record = Peer->Claim.Record;
    Answer.Contacts.push_back({Record.DataCentre, Record.Gossip});
  }
  const centre_contact Theirs = Directory.anyContact(AskersCentre);
  if (!Theirs.Gossip.Host.empty())
    Answer.Contacts.push_back(Theirs);
}

} // namespace clementine
