#ifndef CLEMENTINE_MEMBERSHIP_MESSAGES_GOSSIP_MESSAGE_H
#define CLEMENTINE_MEMBERSHIP_MESSAGES_GOSSIP_MESSAGE_H

#include "clementine_membership/members/member_table.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace clementine {

/// What a datagram is for.
enum class message_kind : std::uint8_t {
  /// Asks for an Ack.
  Probe,
  /// Answers a Probe, directly or through a helper.
  Ack,
  /// Asks a helper to probe Subject.
  ProbeRequest,
  /// The helper got no Ack in time; shows that the helper itself is well.
  Nack,
  /// Only carries claims.
  Gossip,
  /// Opens anti-entropy with the digest of all members.
  SyncDigest,
  /// The digests differ; these are those of the buckets.
  SyncBuckets,
  /// What is known in the buckets that differ.
  SyncEntries,
  /// Claims that the receiver lacked. They are no news to others.
  SyncClaims,
  /// Asks another data centre for members of services.
  Query,
  /// Answers a Query, and later tells of changes while the lease runs.
  Answer,
};

/// A new state of a record that the receiver is thought to know, or an
/// accusation.
struct state_update {
  member_key Key = 0;
  std::uint64_t Incarnation = 0;
  /// Alive, Warming, Leaving and Left are the owner's word, Suspect and Dead
  /// are accusations.
  member_state State = member_state::Alive;
  /// The revision for an owner's word, the accuser's short hash for Suspect.
  std::uint32_t Detail = 0;
  /// The hash of the record that an owner's word belongs to.
  std::uint32_t ContentHash = 0;

  bool operator==(const state_update &) const = default;
};

/// One member in anti-entropy.
struct sync_entry {
  member_key Key = 0;
  std::uint32_t StampHash = 0;

  bool operator==(const sync_entry &) const = default;
};

/// A service, and what is known of its members in one data centre.
struct service_digest {
  /// The low half of the stable hash of the service's name.
  std::uint32_t Service = 0;
  /// 0 for no members.
  std::uint32_t Members = 0;

  bool operator==(const service_digest &) const = default;
};

/// A member that can be asked, in any data centre.
struct centre_contact {
  std::string DataCentre;
  endpoint Gossip;

  bool operator==(const centre_contact &) const = default;
};

/// One message between nodes. Which fields count depends on the kind; claims
/// may ride on every kind.
struct gossip_message {
  message_kind Kind = message_kind::Gossip;
  /// The sender and its incarnation; with Sequence they tell replays.
  member_key Sender = 0;
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0;
  /// The short hash of the sender's data centre.
  std::uint32_t DataCentre = 0;
  std::uint8_t AdmissionLevel = 0;
  bundle_mark Bundle;

  /// Probe, Ack, ProbeRequest, Nack.
  std::uint32_t Nonce = 0;
  member_key Subject = 0;

  /// SyncDigest.
  std::uint64_t ViewDigest = 0;
  /// SyncDigest, Query, Answer: how many members the sender knows.
  std::uint32_t LiveMembers = 0;
  /// SyncBuckets.
  std::vector<std::uint32_t> BucketDigests;
  /// SyncEntries: a bit for each bucket whose entries are all listed.
  std::uint64_t BucketMask = 0;
  std::vector<sync_entry> Entries;

  /// Query, Answer.
  std::string DataCentreName;
  std::vector<service_digest> Services;
  std::vector<centre_contact> Contacts;

  std::vector<state_update> Updates;
  std::vector<member_claim> Claims;
  /// Members whose whole claim the sender asks for.
  std::vector<member_key> Wanted;

  bool operator==(const gossip_message &) const = default;
};

/// @returns the short hash of the name of a data centre, service or accuser.
std::uint32_t shortHash(std::string_view Name);

} // namespace clementine

#endif
