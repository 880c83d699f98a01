#ifndef CLEMENTINE_MEMBERSHIP_MESSAGES_GOSSIP_MESSAGE_H
#define CLEMENTINE_MEMBERSHIP_MESSAGES_GOSSIP_MESSAGE_H

#include "clementine_membership/members/member_table.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace clementine {

/// The purpose of a datagram.
enum class message_kind : std::uint8_t {
  /// Requests an Ack.
  Probe,
  /// Answers a Probe, directly or through a helper.
  Ack,
  /// Asks a helper to probe Subject.
  ProbeRequest,
  /// The helper got no Ack in time; shows that the helper itself is reachable.
  Nack,
  /// Carries only claims, updates and requests for claims.
  Gossip,
  /// Starts an anti-entropy exchange with the digest of all live members.
  SyncDigest,
  /// Sent when the digests differ: the digests of the buckets.
  SyncBuckets,
  /// The sender's entries in the buckets that differ.
  SyncEntries,
  /// Claims sent on request or because the receiver lacks them. The receiver
  /// does not disseminate members that it learns from them.
  SyncClaims,
  /// Asks another data centre for members of services, or the own one for
  /// contacts.
  Query,
  /// Answers a Query, and later reports changes while the lease is valid.
  Answer,
};

/// A new state of a record that the receiver is assumed to know, or an
/// accusation.
struct state_update {
  member_key Key = 0;
  std::uint64_t Incarnation = 0;
  /// Alive, Warming, Leaving and Left are set by the owner, Suspect and Dead
  /// are accusations.
  member_state State = member_state::Alive;
  /// The revision for a state set by the owner, the accuser's short hash for
  /// Suspect.
  std::uint32_t RevisionOrAccuser = 0;
  /// The content hash of the record, for a state set by the owner.
  std::uint32_t ContentHash = 0;

  bool operator==(const state_update &) const = default;
};

/// One member in an anti-entropy exchange.
struct sync_entry {
  member_key Key = 0;
  std::uint32_t StampHash = 0;

  bool operator==(const sync_entry &) const = default;
};

/// A service, and a digest of its known members in one data centre.
struct service_digest {
  /// The low half of the stable hash of the service's name.
  std::uint32_t Service = 0;
  /// The digest of the members; 0 for none.
  std::uint32_t Members = 0;

  bool operator==(const service_digest &) const = default;
};

/// The gossip endpoint of a member, in any data centre, that can be queried.
struct data_centre_contact {
  std::string DataCentre;
  endpoint Gossip;

  bool operator==(const data_centre_contact &) const = default;
};

/// One message between nodes. The kind decides which fields are encoded; every
/// kind may carry claims.
struct gossip_message {
  message_kind Kind = message_kind::Gossip;
  /// The sender and its incarnation, used with Sequence to detect replays.
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
  /// SyncDigest, Query, Answer: how many live members the sender knows.
  std::uint32_t LiveMembers = 0;
  /// SyncBuckets.
  std::vector<std::uint32_t> BucketDigests;
  /// SyncEntries: a bit for each bucket whose entries are all listed.
  std::uint64_t BucketMask = 0;
  std::vector<sync_entry> Entries;

  /// Query, Answer.
  std::string DataCentreName;
  std::vector<service_digest> Services;
  std::vector<data_centre_contact> Contacts;

  std::vector<state_update> Updates;
  std::vector<member_claim> Claims;
  /// Members whose whole claim the sender requests.
  std::vector<member_key> RequestedKeys;

  bool operator==(const gossip_message &) const = default;
};

/// @returns the short hash of the name of a data centre, service or accuser.
std::uint32_t shortHash(std::string_view Name);

} // namespace clementine

#endif
