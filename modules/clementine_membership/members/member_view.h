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

/// A record that views share; it never changes.
using shared_member = std::shared_ptr<const member_record>;

/// What is known of another data centre.
struct data_centre_summary {
  std::string Name;
  /// How many members it said it has.
  std::uint32_t LiveMembers = 0;
  /// When it last answered; the epoch if never. During a cut the records stay
  /// and this grows old.
  instant LastHeard{};

  bool operator==(const data_centre_summary &) const = default;
};

/// The newest bundle of which a peer spoke, and where to fetch it.
struct heard_bundle {
  bundle_mark Bundle;
  /// The gossip endpoint it was heard from.
  endpoint Gossip;
  /// The peer (TCP) endpoint of the same node; its host is empty while the
  /// node's record is not known.
  endpoint Peer;

  bool operator==(const heard_bundle &) const = default;
};

/// What one node knows of all members at one moment; a value to be copied to
/// other threads cheaply.
struct member_view {
  using member_list = std::vector<shared_member>;

  /// Rises with every change.
  std::uint64_t Version = 0;
  /// Every member of the own data centre, the own node and those dead or left
  /// included, in the order of their names.
  member_list Local;
  /// Members by service: alive, warming, suspect and leaving ones of the own
  /// data centre, and of the other data centres those that were learnt for
  /// wanted services.
  std::map<std::string, member_list, std::less<>> ByService;
  /// The other data centres in the order of their names.
  std::vector<data_centre_summary> DataCentres;
  heard_bundle NewestBundle;

  /// @returns the members of @p Service; empty for an unknown one.
  const member_list &membersOf(std::string_view Service) const;

  /// @returns the member of the own data centre called @p Name, or null.
  shared_member find(std::string_view Name) const;
};

} // namespace clementine

#endif
