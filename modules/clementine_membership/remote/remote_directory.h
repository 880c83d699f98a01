#ifndef CLEMENTINE_MEMBERSHIP_REMOTE_REMOTE_DIRECTORY_H
#define CLEMENTINE_MEMBERSHIP_REMOTE_REMOTE_DIRECTORY_H

#include "clementine_core/random/random_source.h"
#include "clementine_membership/members/member_view.h"
#include "clementine_membership/spread/outbox.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace clementine {

/// The maximum number of services watched in other data centres.
constexpr std::size_t MaxWatchedServices = 32;
/// The maximum number of members of one service that are sent to one node.
constexpr std::size_t MaxMembersPerService = 8;
/// The maximum number of other data centres.
constexpr std::size_t MaxDataCentres = 64;

/// @returns the digest of @p Members that a Query carries; 0 for none.
std::uint32_t membersDigest(const std::vector<shared_member> &Members);

/// The other data centres known to a node: a few contacts in each, and the
/// members of the watched services.
///
/// Queries a random contact of each data centre at intervals and receives
/// notifications of changes in between. If a data centre does not answer, its
/// last known members are kept.
class remote_directory {
public:
  remote_directory(const membership_settings &Settings, random_source &Random,
                   std::string OwnDataCentre, outbox &Outbox);

  remote_directory(const remote_directory &) = delete;
  remote_directory &operator=(const remote_directory &) = delete;

  /// Starts watching @p Service. If more than MaxWatchedServices are watched,
  /// the one requested least recently is dropped.
  void watchService(const std::string &Service, instant Now);

  /// Handles an Answer from another data centre.
  void receive(const endpoint &From, const gossip_message &Message,
               instant Now);
  /// Adds a contact in another data centre.
  void addContact(const data_centre_contact &Contact, instant Now);
  /// @returns one random contact in each other data centre.
  std::vector<data_centre_contact> contacts();
  /// @param DataCentre the short hash of its name.
  /// @returns a random contact in the data centre; its host is empty when there
  /// is none.
  data_centre_contact randomContact(std::uint32_t DataCentre);

  /// Sends the queries that are due.
  void tick(instant Now);
  /// @returns when tick() has work.
  instant nextWake() const;

  /// Adds the other data centres and the members of the watched services to @p
  /// View.
  void addTo(member_view &View) const;
  /// @returns a number that increases with each change.
  std::uint64_t version() const { return Version; }

private:
  struct data_centre {
    std::string Name;
    std::vector<endpoint> Contacts;
    std::uint32_t LiveMembers = 0;
    instant LastAnswerAt{};
    instant NextQuery{};
    /// Queries since the last answer, and the contact of the latest query.
    unsigned UnansweredQueries = 0;
    endpoint LastContact;
    /// Members by the short hash of the service.
    std::map<std::uint32_t, std::vector<shared_member>> Services;
  };

  data_centre *findCentre(const std::string &Name);
  duration queryInterval();
  void query(data_centre &Centre, instant Now);
  void replaceMembers(data_centre &Centre, const service_digest &Service,
                      const gossip_message &Message);
  bool isWatched(std::uint32_t Service) const;

  const membership_settings &Settings;
  random_source &Random;
  const std::string OwnDataCentre;
  outbox &Outbox;
  /// The most recently requested service is first.
  std::vector<std::string> WatchedServices;
  std::vector<data_centre> Centres;
  std::uint64_t Version = 0;
};

} // namespace clementine

#endif
