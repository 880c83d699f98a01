#include "clementine_membership/remote/remote_directory.h"

#include <algorithm>
#include <utility>

namespace clementine {

namespace {

/// The maximum number of contacts in one data centre.
constexpr std::size_t MaxContacts = 8;
/// How long to wait for an answer before another contact is queried.
constexpr duration AnswerTimeout = std::chrono::seconds(2);
/// The maximum number of doublings of the interval between unanswered queries.
constexpr unsigned MaxDoublings = 4;

} // namespace

std::uint32_t membersDigest(const std::vector<shared_member> &Members) {
  if (Members.empty())
    return 0;
  std::uint64_t Sum = 0;
  for (const shared_member &Member : Members) {
    const std::uint64_t Content = member_table::contentHash(*Member);
    const auto State = static_cast<std::uint64_t>(Member->State);
    Sum ^= mixBits(mixBits(Member->Identity.Incarnation + (State << 56U)) ^
                   Content);
  }
  const auto Digest = static_cast<std::uint32_t>(Sum);
  return Digest == 0 ? 1 : Digest;
}

remote_directory::remote_directory(const membership_settings &Settings,
                                   random_source &Random,
                                   std::string OwnDataCentre, outbox &Outbox)
    : Settings(Settings), Random(Random),
      OwnDataCentre(std::move(OwnDataCentre)), Outbox(Outbox) {}

void remote_directory::watchService(const std::string &Service, instant Now) {
  const auto Found =
      std::find(WatchedServices.begin(), WatchedServices.end(), Service);
  if (Found != WatchedServices.end()) {
    std::rotate(WatchedServices.begin(), Found, Found + 1);
    return;
  }
  if (WatchedServices.size() == MaxWatchedServices) {
    const std::uint32_t Dropped = shortHash(WatchedServices.back());
    for (data_centre &Centre : Centres)
      Centre.Services.erase(Dropped);
    WatchedServices.pop_back();
    ++Version;
  }
  WatchedServices.insert(WatchedServices.begin(), Service);
  for (data_centre &Centre : Centres)
    Centre.NextQuery = std::min(Centre.NextQuery, Now);
}

void remote_directory::receive(const endpoint &From,
                               const gossip_message &Message, instant Now) {
  for (const data_centre_contact &Contact : Message.Contacts)
    addContact(Contact, Now);
  addContact({Message.DataCentreName, From}, Now);
  data_centre *Centre = findCentre(Message.DataCentreName);
  if (!Centre)
    return;
  Centre->LastAnswerAt = Now;
  Centre->LiveMembers = Message.LiveMembers;
  if (Centre->UnansweredQueries > 0)
    Centre->NextQuery = Now + queryInterval();
  Centre->UnansweredQueries = 0;
  for (const service_digest &Service : Message.Services)
    replaceMembers(*Centre, Service, Message);
  ++Version;
}

void remote_directory::replaceMembers(data_centre &Centre,
                                      const service_digest &Service,
                                      const gossip_message &Message) {
  if (!isWatched(Service.Service))
    return;
  std::vector<shared_member> Members;
  for (const member_claim &Claim : Message.Claims) {
    const bool Matches = shortHash(Claim.Record.Service) == Service.Service &&
                         Claim.Record.DataCentre == Centre.Name;
    if (!Matches || Members.size() == MaxMembersPerService)
      continue;
    auto Member = std::make_shared<member_record>(Claim.Record);
    Member->State = Claim.state();
    Members.push_back(std::move(Member));
  }
  Centre.Services[Service.Service] = std::move(Members);
}

void remote_directory::addContact(const data_centre_contact &Contact,
                                  instant Now) {
  if (Contact.DataCentre.empty() || Contact.DataCentre == OwnDataCentre ||
      Contact.Gossip.Host.empty())
    return;
  data_centre *Centre = findCentre(Contact.DataCentre);
  if (!Centre) {
    if (Centres.size() == MaxDataCentres)
      return;
    Centre = &Centres.emplace_back();
    Centre->Name = Contact.DataCentre;
    Centre->NextQuery = Now;
    ++Version;
  }
  auto &Contacts = Centre->Contacts;
  if (std::find(Contacts.begin(), Contacts.end(), Contact.Gossip) !=
      Contacts.end())
    return;
  // In a full list the new contact replaces a random one, so that the list
  // follows changes of the fleet.
  if (Contacts.size() == MaxContacts)
    Contacts[Random.below(MaxContacts)] = Contact.Gossip;
  else
    Contacts.push_back(Contact.Gossip);
}

std::vector<data_centre_contact> remote_directory::contacts() {
  std::vector<data_centre_contact> Chosen;
  for (const data_centre &Centre : Centres)
    Chosen.push_back(
        {Centre.Name, Centre.Contacts[Random.below(Centre.Contacts.size())]});
  return Chosen;
}

data_centre_contact remote_directory::randomContact(std::uint32_t DataCentre) {
  for (const data_centre &Centre : Centres)
    if (shortHash(Centre.Name) == DataCentre)
      return {Centre.Name,
              Centre.Contacts[Random.below(Centre.Contacts.size())]};
  return {};
}

void remote_directory::tick(instant Now) {
  for (data_centre &Centre : Centres)
    if (Now >= Centre.NextQuery)
      query(Centre, Now);
}

instant remote_directory::nextWake() const {
  instant Wake = instant::max();
  for (const data_centre &Centre : Centres)
    Wake = std::min(Wake, Centre.NextQuery);
  return Wake;
}

duration remote_directory::queryInterval() {
  // A jitter of up to a quarter spreads out nodes that started together.
  return std::chrono::duration_cast<duration>(Settings.QueryInterval *
                                              (1.0 - Random.unit() / 4));
}

void remote_directory::query(data_centre &Centre, instant Now) {
  // Until an answer arrives, queries are repeated after AnswerTimeout with
  // exponential backoff.
  const unsigned Doublings = std::min(Centre.UnansweredQueries, MaxDoublings);
  Centre.NextQuery =
      Now + std::min(queryInterval(), AnswerTimeout * (1U << Doublings));
  auto &Contacts = Centre.Contacts;
  if (Centre.UnansweredQueries > 0 && Contacts.size() > 1)
    std::erase(Contacts, Centre.LastContact);
  Centre.LastContact = Contacts[Random.below(Contacts.size())];
  ++Centre.UnansweredQueries;

  gossip_message Message;
  Message.Kind = message_kind::Query;
  Message.DataCentreName = OwnDataCentre;
  for (const std::string &Service : WatchedServices) {
    const std::uint32_t Hash = shortHash(Service);
    const auto Known = Centre.Services.find(Hash);
    const std::uint32_t Digest =
        Known == Centre.Services.end() ? 0 : membersDigest(Known->second);
    Message.Services.push_back({Hash, Digest});
  }
  Outbox.send(Centre.LastContact, std::move(Message), message_priority::Query,
              Now);
}

void remote_directory::addTo(member_view &View) const {
  for (const data_centre &Centre : Centres) {
    View.DataCentres.push_back(
        {Centre.Name, Centre.LiveMembers, Centre.LastAnswerAt});
    for (const auto &[Hash, Members] : Centre.Services)
      for (const shared_member &Member : Members)
        View.ByService[Member->Service].push_back(Member);
  }
  std::sort(View.DataCentres.begin(), View.DataCentres.end(),
            [](const auto &Left, const auto &Right) {
              return Left.Name < Right.Name;
            });
}

remote_directory::data_centre *
remote_directory::findCentre(const std::string &Name) {
  const auto Found =
      std::find_if(Centres.begin(), Centres.end(),
                   [&](const auto &Centre) { return Centre.Name == Name; });
  return Found == Centres.end() ? nullptr : &*Found;
}

bool remote_directory::isWatched(std::uint32_t Service) const {
  return std::any_of(
      WatchedServices.begin(), WatchedServices.end(),
      [&](const auto &Name) { return shortHash(Name) == Service; });
}

} // namespace clementine
