#include "clementine_membership/members/member_record.h"

#include <array>

namespace clementine {

namespace {

constexpr std::array<std::string_view, 6> StateNames = {
    "alive", "warming", "leaving", "suspect", "dead", "left"};

bool isHost(const std::string &Host) { return Host.size() <= MaxHostBytes; }

} // namespace

std::string_view memberStateName(member_state State) {
  return StateNames.at(static_cast<std::size_t>(State));
}

bool isWellFormed(const member_record &Record) {
  const std::string &Name = Record.Identity.Name;
  if (Name.empty() || Name.size() > MaxMemberNameBytes)
    return false;
  if (Record.DataCentre.empty() ||
      Record.DataCentre.size() > MaxDataCentreNameBytes)
    return false;
  if (Record.Service.size() > MaxServiceNameBytes)
    return false;
  return !Record.Gossip.Host.empty() && isHost(Record.Gossip.Host) &&
         isHost(Record.Peer.Host) && isHost(Record.Http.Host);
}

member_key keyOf(std::string_view Name) { return stableHash(Name); }

} // namespace clementine
