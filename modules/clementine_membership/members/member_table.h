#ifndef CLEMENTINE_MEMBERSHIP_MEMBERS_MEMBER_TABLE_H
#define CLEMENTINE_MEMBERSHIP_MEMBERS_MEMBER_TABLE_H

#include "clementine_core/time/clock.h"
#include "clementine_membership/members/member_view.h"

#include <array>
#include <cstdint>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace clementine {

/// Orders the versions of a member's own record. Only the member itself raises
/// it.
struct owner_stamp {
  std::uint64_t Incarnation = 0;
  /// Increases with each change of the record within an incarnation.
  std::uint32_t Revision = 0;

  bool operator==(const owner_stamp &) const = default;

  bool isNewerThan(const owner_stamp &Other) const {
    return std::tie(Incarnation, Revision) >
           std::tie(Other.Incarnation, Other.Revision);
  }
};

/// The severity of an accusation.
enum class accusation_level : std::uint8_t { None, Suspect, Dead };

/// A report by other members that one incarnation of a member is suspected or
/// dead. A record of a higher incarnation clears it.
struct accusation {
  std::uint64_t Incarnation = 0;
  accusation_level Level = accusation_level::None;

  bool operator==(const accusation &) const = default;

  bool isStrongerThan(const accusation &Other) const {
    return std::tie(Incarnation, Level) >
           std::tie(Other.Incarnation, Other.Level);
  }
};

/// A record together with its stamp and the accusation against it: everything
/// that is disseminated about a member.
struct member_claim {
  /// Its state is the one set by its owner: warming, alive, leaving or left.
  member_record Record;
  std::uint32_t Revision = 0;
  accusation Accused;

  owner_stamp stamp() const { return {Record.Identity.Incarnation, Revision}; }
  /// @returns whether there is an accusation against this or a later
  /// incarnation.
  bool isAccused() const;
  /// @returns the state that a view shows.
  member_state state() const;

  bool operator==(const member_claim &) const = default;
};

/// One member in the table.
struct member_entry {
  member_key Key = 0;
  member_claim Claim;
  /// When the current suspicion began.
  instant SuspectSince{};
  /// When it was found dead or left.
  instant DeadOrLeftSince{};
  /// Short hashes of the members that accuse it of being suspect.
  std::vector<std::uint32_t> Accusers;
  /// The index in the list of peers; none for the local node and for members
  /// that are dead or left.
  std::optional<std::size_t> PeerIndex;
  /// The immutable record that views share.
  shared_member Published;
};

/// The changes made by a merge.
struct merge_outcome {
  /// The owner's stamp is newer than the known one.
  bool OwnerChanged = false;
  /// More than the state and the stamp changed.
  bool ContentChanged = false;
  /// The accusation is stronger than the known one.
  bool AccusationChanged = false;
  /// Another member confirmed a suspicion.
  bool Confirmed = false;
  member_state Before = member_state::Left;
  member_state After = member_state::Left;

  bool any() const { return OwnerChanged || AccusationChanged; }
};

/// All members of one data centre that a node knows.
///
/// A claim consists of two values that only increase, the owner's stamped
/// record and the accusation, so merging is commutative, associative and
/// idempotent and tolerates lost, repeated and reordered messages.
class member_table {
public:
  /// The number of anti-entropy buckets; the highest six bits of the key select
  /// one.
  static constexpr std::size_t Buckets = 64;
  /// The maximum number of accusers of a suspected member that are counted.
  static constexpr std::size_t MaxAccusers = 4;

  /// @param Self the local node's record.
  /// @param MaxMembers the maximum number of entries; claims of further members
  /// are ignored.
  member_table(member_record Self, std::size_t MaxMembers);

  member_table(const member_table &) = delete;
  member_table &operator=(const member_table &) = delete;

  const member_entry &self() const { return *find(SelfKey); }
  /// Replaces the local node's record. Its incarnation and @p Revision must
  /// give a newer stamp.
  void setSelf(const member_record &Record, std::uint32_t Revision);

  /// @returns the entry, or null.
  const member_entry *find(member_key Key) const;

  /// Merges a whole claim; not for the local node.
  merge_outcome merge(const member_claim &Claim, instant Now);
  /// Merges a new state of a record whose other fields are already known.
  /// @param ContentHash the hash of the record that the state belongs to.
  merge_outcome mergeState(member_key Key, owner_stamp Stamp,
                           member_state State, std::uint32_t ContentHash,
                           instant Now);
  /// Merges an accusation. Accusations against the local node are ignored.
  /// @param Accuser the short hash of the accusing member; 0 when not known.
  merge_outcome accuse(member_key Key, accusation Accused,
                       std::uint32_t Accuser, instant Now);
  /// Restarts the suspicion timeout of a member.
  void restartSuspicion(member_key Key, instant Now);
  /// Stores the admission level reported by the member itself.
  void updateAdmissionLevel(member_key Key, std::uint8_t Level);

  /// Removes members that have been dead or left for longer than their
  /// retention period.
  void purgeDeadOrLeft(instant Now, duration LeftRetention,
                       duration DeadRetention);

  /// @returns the keys of the members that are neither dead nor left, excluding
  /// the local node.
  const std::vector<member_key> &peers() const { return Peers; }
  const std::unordered_map<member_key, member_entry> &entries() const {
    return Entries;
  }
  /// @returns how many members are neither dead nor left, including the local
  /// node.
  std::size_t liveCount() const { return Peers.size() + 1; }

  /// @returns the digest of all members that are neither dead nor left.
  std::uint64_t digest() const;
  std::uint32_t bucketDigest(std::size_t Bucket) const;
  static std::size_t bucketOf(member_key Key) { return Key >> 58U; }
  /// @returns a short hash over the stamp and the accusation of @p Entry.
  static std::uint32_t stampHash(const member_entry &Entry);
  /// @returns a hash over all fields of a record except incarnation, state and
  /// admission level.
  static std::uint32_t contentHash(const member_record &Record);

  /// @returns a number that increases with each change.
  std::uint64_t version() const { return Version; }

private:
  template <class Change>
  merge_outcome change(member_entry &Entry, instant Now, Change Apply);
  void toggleInDigest(const member_entry &Entry);
  void updatePeers(member_entry &Entry);
  void publish(member_entry &Entry);

  const std::size_t MaxMembers;
  const member_key SelfKey;
  std::unordered_map<member_key, member_entry> Entries;
  std::vector<member_key> Peers;
  std::array<std::uint64_t, Buckets> Digests{};
  std::uint64_t Version = 0;
};

} // namespace clementine

#endif
