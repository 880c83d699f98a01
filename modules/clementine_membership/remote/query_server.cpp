#include "clementine_membership/remote/query_server.h"

#include <algorithm>
#include <utility>

namespace clementine {

namespace {

/// The maximum number of requesters that are notified of changes.
constexpr std::size_t MaxSubscribers = 128;
/// The length of a lease in query intervals. A requester queries a random
/// member each time, so several members may notify it of changes at once.
constexpr int LeaseIntervals = 2;
/// Changes within this time are sent together.
constexpr duration PushDelay = std::chrono::milliseconds(300);
/// How many members of this data centre an answer lists as contacts.
constexpr std::size_t LocalContacts = 2;
/// The number of bytes reserved for a further contact in an answer.
constexpr std::size_t ContactReserveBytes = 96;

std::uint64_t rendezvousScore(member_key Requester, member_key Member) {
  return mixBits(Requester ^ mixBits(Member));
}

} // namespace

query_server::query_server(const membership_settings &Settings,
                           member_table &Table, remote_directory &Directory,
                           outbox &Outbox)
    : Settings(Settings), Table(Table), Directory(Directory), Outbox(Outbox) {}

void query_server::answer(const endpoint &From, const gossip_message &Message,
                          instant Now) {
  if (Message.Kind != message_kind::Query) {
    sendAnswer(From, Message.Sender, {}, true, Message.DataCentre, Now);
    return;
  }
  const bool SameCentre =
      Message.DataCentreName == Table.self().Claim.Record.DataCentre;
  if (SameCentre) {
    // A member of the same data centre requests contacts in all others.
    gossip_message Answer = emptyAnswer();
    for (data_centre_contact &Contact : Directory.contacts()) {
      Answer.Contacts.push_back(std::move(Contact));
      if (datagram_codec::sealedSize(Answer) + ContactReserveBytes >
          MaxDatagramBytes)
        break;
    }
    Outbox.send(From, std::move(Answer), message_priority::Query, Now);
    return;
  }
  subscribe(From, Message, Now);
  std::vector<service_digest> Different;
  for (const service_digest &Service : Message.Services) {
    std::vector<shared_member> Members;
    for (const member_entry *Entry :
         selectMembers(Service.Service, Message.Sender))
      Members.push_back(Entry->Published);
    if (membersDigest(Members) != Service.Members)
      Different.push_back(Service);
  }
  sendAnswer(From, Message.Sender, Different, true, Message.DataCentre, Now);
}

void query_server::subscribe(const endpoint &From,
                             const gossip_message &Message, instant Now) {
  std::erase_if(Subscribers, [&](const subscriber &Each) {
    return Each.Key == Message.Sender || Each.LeaseEnds < Now;
  });
  if (Subscribers.size() == MaxSubscribers || Message.Services.empty() ||
      Message.Services.size() > MaxWatchedServices)
    return;
  subscriber Added;
  Added.Key = Message.Sender;
  Added.From = From;
  for (const service_digest &Service : Message.Services)
    Added.Services.insert(Service.Service);
  Added.LeaseEnds = Now + LeaseIntervals * Settings.QueryInterval;
  Subscribers.push_back(std::move(Added));
}

void query_server::memberChanged(member_key Key, const merge_outcome &Outcome,
                                 instant Now) {
  // A suspicion is often refuted, so it is not pushed; the next query returns
  // it if it persists.
  const bool OnlySuspicion = Outcome.After == member_state::Suspect ||
                             Outcome.Before == member_state::Suspect;
  const bool MemberDied = Outcome.After == member_state::Dead;
  if (Outcome.Before == Outcome.After && !Outcome.ContentChanged)
    return;
  if (OnlySuspicion && !MemberDied && !Outcome.ContentChanged)
    return;
  if (const member_entry *Entry = Table.find(Key))
    serviceChanged(Entry->Claim.Record.Service, Now);
}

void query_server::serviceChanged(std::string_view Service, instant Now) {
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
    sendAnswer(Each.From, Each.Key, Services, false, 0, Now);
  }
}

void query_server::sendAnswer(const endpoint &To, member_key Requester,
                              const std::vector<service_digest> &Services,
                              bool WithContacts, std::uint32_t RequesterCentre,
                              instant Now) {
  gossip_message Answer = emptyAnswer();
  if (WithContacts)
    addContacts(Answer, RequesterCentre);
  const std::size_t EmptySize = datagram_codec::sealedSize(emptyAnswer());
  std::size_t Size = datagram_codec::sealedSize(Answer);
  for (const service_digest &Service : Services) {
    std::size_t Added = sizeof(std::uint32_t) * 2;
    std::vector<member_claim> Claims;
    for (const member_entry *Entry :
         selectMembers(Service.Service, Requester)) {
      const std::size_t ClaimSize = datagram_codec::sizeOf(Entry->Claim);
      // With very long names, fewer members fit into one answer.
      if (EmptySize + Added + ClaimSize > MaxDatagramBytes)
        break;
      Added += ClaimSize;
      Claims.push_back(Entry->Claim);
    }
    if (Size + Added > MaxDatagramBytes) {
      if (!Outbox.send(To, std::exchange(Answer, emptyAnswer()),
                       message_priority::Query, Now))
        return;
      Size = EmptySize;
    }
    Size += Added;
    Answer.Services.push_back({Service.Service, 0});
    Answer.Claims.insert(Answer.Claims.end(), Claims.begin(), Claims.end());
  }
  Outbox.send(To, std::move(Answer), message_priority::Query, Now);
}

std::vector<const member_entry *>
query_server::selectMembers(std::uint32_t Service, member_key Requester) const {
  std::vector<const member_entry *> Members;
  for (const auto &[Key, Entry] : Table.entries()) {
    const member_record &Record = Entry.Claim.Record;
    const member_state State = Entry.Claim.state();
    const bool IsDeadOrLeft =
        State == member_state::Dead || State == member_state::Left;
    if (!IsDeadOrLeft && !Record.Service.empty() &&
        shortHash(Record.Service) == Service)
      Members.push_back(&Entry);
  }
  const std::size_t Selected = std::min(Members.size(), MaxMembersPerService);
  std::partial_sort(Members.begin(),
                    Members.begin() + static_cast<std::ptrdiff_t>(Selected),
                    Members.end(), [&](const auto *Left, const auto *Right) {
                      return rendezvousScore(Requester, Left->Key) <
                             rendezvousScore(Requester, Right->Key);
                    });
  Members.resize(Selected);
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
                               std::uint32_t RequesterCentre) {
  const std::vector<member_key> &Peers = Table.peers();
  const std::size_t ContactCount = std::min(Peers.size(), LocalContacts);
  for (std::size_t Count = 0; Count < ContactCount; ++Count) {
    const member_entry *Peer =
        Table.find(Peers[NextContactIndex++ % Peers.size()]);
    const member_record &Record = Peer->Claim.Record;
    Answer.Contacts.push_back({Record.DataCentre, Record.Gossip});
  }
  const data_centre_contact RequesterContact =
      Directory.randomContact(RequesterCentre);
  if (!RequesterContact.Gossip.Host.empty())
    Answer.Contacts.push_back(RequesterContact);
}

} // namespace clementine
