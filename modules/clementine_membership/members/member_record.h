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

/// The longest node name in bytes.
constexpr std::size_t LongestMemberName = 64;
/// The longest name of a data centre in bytes.
constexpr std::size_t LongestDataCentreName = 32;
/// The longest service name in bytes.
constexpr std::size_t LongestServiceName = 48;
/// The longest host in bytes: an IPv6 number.
constexpr std::size_t LongestHost = 45;

/// What a view holds of a member's condition.
enum class member_state : std::uint8_t {
  /// It takes work.
  Alive,
  /// It takes work, little at first.
  Warming,
  /// It finishes what it has and must get nothing new.
  Leaving,
  /// It did not answer probes; it can still refute.
  Suspect,
  /// It did not refute in time.
  Dead,
  /// It said that it has gone.
  Left,
};

/// @returns the lower-case name of @p State.
std::string_view memberStateName(member_state State);

/// What is known of one member.
struct member_record {
  node_identity Identity;
  std::string DataCentre;
  /// The service of the upstream beside the node; empty while none announced
  /// itself.
  std::string Service;
  /// Where the node takes gossip (UDP).
  endpoint Gossip;
  /// Where it takes frames of other nodes (TCP).
  endpoint Peer;
  /// Where it takes calls of callers (HTTP).
  endpoint Http;
  member_state State = member_state::Warming;
  /// A hint of how many slots the upstream has.
  std::uint16_t Weight = 0;
  /// The admission level as last heard from the member itself. It is not spread
  /// by gossip; fresh levels travel on answers.
  std::uint8_t AdmissionLevel = 0;

  bool operator==(const member_record &) const = default;
};

/// @returns whether every text of @p Record is within its cap and its name,
/// data centre and gossip host are not empty.
bool isWellFormed(const member_record &Record);

/// @returns the key of the node called @p Name.
member_key keyOf(std::string_view Name);

/// Which bundle a node holds. It rides on every message.
struct bundle_mark {
  std::uint64_t Version = 0;
  std::uint64_t Digest = 0;

  bool operator==(const bundle_mark &) const = default;
};

} // namespace clementine

#endif
