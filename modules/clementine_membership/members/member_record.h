#ifndef CLEMENTINE_MEMBERSHIP_MEMBERS_MEMBER_RECORD_H
#define CLEMENTINE_MEMBERSHIP_MEMBERS_MEMBER_RECORD_H

#include "clementine_core/identity/identity.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace clementine {

/// The stable hash of a node's name; identifies it in tables and on the wire.
using member_key = std::uint64_t;

/// The maximum length of a node name.
constexpr std::size_t MaxMemberNameBytes = 64;
/// The maximum length of a data centre name.
constexpr std::size_t MaxDataCentreNameBytes = 32;
/// The maximum length of a service name.
constexpr std::size_t MaxServiceNameBytes = 48;
/// The maximum length of a host: an IPv6 address in text form.
constexpr std::size_t MaxHostBytes = 45;

/// The state of a member as a view shows it.
enum class member_state : std::uint8_t {
  /// Accepts calls.
  Alive,
  /// Accepts calls, few at first.
  Warming,
  /// Finishes its present calls and must receive no new ones.
  Leaving,
  /// Did not answer probes, but can still refute the suspicion.
  Suspect,
  /// Did not refute the suspicion in time.
  Dead,
  /// Announced its departure.
  Left,
};

/// @returns the lower-case name of @p State.
std::string_view memberStateName(member_state State);

/// The record of one member.
struct member_record {
  node_identity Identity;
  std::string DataCentre;
  /// The service of the node's upstream; empty until an upstream has announced
  /// itself.
  std::string Service;
  /// The node's gossip endpoint (UDP).
  endpoint Gossip;
  /// The endpoint for frames from other nodes (TCP).
  endpoint Peer;
  /// The endpoint for calls from callers (HTTP).
  endpoint Http;
  member_state State = member_state::Warming;
  /// A hint of how many slots the upstream has.
  std::uint16_t Weight = 0;
  /// The admission level from the latest message of the member itself. Gossip
  /// does not disseminate it to third members; fresh levels are sent with
  /// answers.
  std::uint8_t AdmissionLevel = 0;

  bool operator==(const member_record &) const = default;
};

/// @returns whether every text of @p Record is within its maximum length and
/// its name, data centre and gossip host are not empty.
bool isWellFormed(const member_record &Record);

/// @returns the key of the node called @p Name.
member_key keyOf(std::string_view Name);

/// The version and digest of a node's bundle, sent in the header of every
/// message.
struct bundle_mark {
  std::uint64_t Version = 0;
  std::uint64_t Digest = 0;

  bool operator==(const bundle_mark &) const = default;
};

} // namespace clementine

#endif
