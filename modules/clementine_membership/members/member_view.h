#ifndef CLEMENTINE_MEMBERSHIP_MEMBERS_MEMBER_VIEW_H
#define CLEMENTINE_MEMBERSHIP_MEMBERS_MEMBER_VIEW_H

#include "clementine_core/time/clock.h"
#include "clementine_membership/members/member_record.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace clementine {

/// An immutable record shared by views.
using shared_member = std::shared_ptr<const member_record>;

/// Summary of another data centre.
struct data_centre_summary {
  std::string Name;
  /// The number of live members in its latest answer.
  std::uint32_t LiveMembers = 0;
  /// When it last answered; the epoch if never. During a network partition the
  /// records are kept and this time is not updated.
  instant LastAnswerAt{};

  bool operator==(const data_centre_summary &) const = default;
};

/// The newest bundle advertised by any node, and where to fetch it.
struct advertised_bundle {
  bundle_mark Bundle;
  /// The gossip endpoint of the node that advertised it.
  endpoint Gossip;
  /// The peer (TCP) endpoint of the same node; its host is empty while the
  /// node's record is unknown.
  endpoint Peer;

  bool operator==(const advertised_bundle &) const = default;
};

/// A snapshot of all members known to one node. Copies share the member records
/// and can be passed to other threads.
struct member_view {
  using member_list = std::vector<shared_member>;

  /// Increases with every change.
  std::uint64_t Version = 0;
  /// Every member of the local data centre, including the local node and dead
  /// or left members, sorted by name.
  member_list Local;
  /// Members by service: alive, warming, suspect and leaving members of the
  /// local data centre, and those members of other data centres that were
  /// received for watched services.
  std::map<std::string, member_list, std::less<>> ByService;
  /// The other data centres, sorted by name.
  std::vector<data_centre_summary> DataCentres;
  advertised_bundle NewestBundle;

  /// @returns the members of @p Service; empty if the service is unknown.
  const member_list &membersOf(std::string_view Service) const;

  /// @returns the member of the local data centre called @p Name, or null.
  shared_member find(std::string_view Name) const;
};

} // namespace clementine

#endif
