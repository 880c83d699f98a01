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

/// The most services whose members in other data centres are followed.
constexpr std::size_t MostWantedServices = 32;
/// The most members of one service that are told to one node.
constexpr std::size_t MostToldMembers = 8;
/// The most other data centres.
constexpr std::size_t MostDataCentres = 64;

/// @returns what a Query says of @p Members; 0 for none.
std::uint32_t membersDigest(const std::vector<shared_member> &Members);

/// What a node knows of other data centres: a few members to ask there, and the
/// members of the services that it wants.
///
/// It asks each data centre at intervals, a different member each time, and is
/// told of changes meanwhile. While a data centre is silent what is known of it
/// stays.
class remote_directory {
public:
  remote_directory(const membership_settings &Settings, random_source &Random,
                   std::string OwnDataCentre, outbox &Outbox);

  remote_directory(const remote_directory &) = delete;
  remote_directory &operator=(const remote_directory &) = delete;

  /// Follows @p Service from now on. Beyond the most wanted services the one
  /// that was not wanted for longest is dropped.
  void watchService(const std::string &Service, instant Now);

  /// Handles an Answer of another data centre.
  void receive(const endpoint &From, const gossip_message &Message,
               instant Now);
  /// Takes in a member of another data centre that can be asked.
  void addContact(const centre_contact &Contact, instant Now);
  /// @returns one random contact in each other data centre.
  std::vector<centre_contact> contacts();
  /// @param DataCentre the short hash of its name.
  /// @returns a random contact there; its host is empty when there is none.
  centre_contact anyContact(std::uint32_t DataCentre);

  /// Sends the queries that are due.
  void tick(instant Now);
  /// @returns when tick() has work.
  instant nextWake() const;

  /// Adds all that is known to @p View.
  void addTo(member_view &View) const;
  /// @returns a number that rises with each change.
  std::uint64_t version() const { return Version; }

private:
  struct data_centre {
    std::string Name;
    std::vector<endpoint> Contacts;
    std::uint32_t LiveMembers = 0;
    instant LastHeard{};
    instant NextQuery{};
    /// Queries since the last answer, and the contact of the latest one.
    unsigned Unanswered = 0;
    endpoint Asked;
    /// By the short hash of the service.
    std::map<std::uint32_t, std::vector<shared_member>> Services;
  };

  data_centre *centreOf(const std::string &Name);
  duration queryInterval();
  void query(data_centre &Centre, instant Now);
  void replace(data_centre &Centre, const service_digest &Service,
               const gossip_message &Message);
  bool isWanted(std::uint32_t Service) const;

  const membership_settings &Settings;
  random_source &Random;
  const std::string OwnDataCentre;
  outbox &Outbox;
  /// The service that was wanted last stands first.
  std::vector<std::string> Wanted;
  std::vector<data_centre> Centres;
  std::uint64_t Version = 0;
};

} // namespace clementine

#endif
