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

/// Orders what a member says of itself. Only the member itself raises it.
struct owner_stamp {
  std::uint64_t Incarnation = 0;
  /// Rises with each change of the record within an incarnation.
  std::uint32_t Revision = 0;

  bool operator==(const owner_stamp &) const = default;

  bool isNewerThan(const owner_stamp &Other) const {
    return std::tie(Incarnation, Revision) >
           std::tie(Other.Incarnation, Other.Revision);
  }
};

/// How far others have gone in doubting a member.
enum class accusation_level : std::uint8_t { None, Suspect, Dead };

/// What others say against one incarnation of a member. A record of a higher
/// incarnation clears it.
struct accusation {
  std::uint64_t Incarnation = 0;
  accusation_level Level = accusation_level::None;

  bool operator==(const accusation &) const = default;

  bool isStrongerThan(const accusation &Other) const {
    return std::tie(Incarnation, Level) >
           std::tie(Other.Incarnation, Other.Level);
  }
};

/// A record together with its stamp and what others say against it: all that
/// is spread of a member.
struct member_claim {
  /// State is the owner's word: warming, alive, leaving or left.
  member_record Record;
  std::uint32_t Revision = 0;
  accusation Accused;

  owner_stamp stamp() const { return {Record.Identity.Incarnation, Revision}; }
  /// @returns whether the accusation is aimed at this or a later incarnation.
  bool isAccused() const;
  /// @returns what a view shows.
  member_state state() const;

  bool operator==(const member_claim &) const = default;
};

/// One member in the table.
struct member_entry {
  member_key Key = 0;
  member_claim Claim;
  /// When the present suspicion began.
  instant SuspectSince{};
  /// When it was found dead or left.
  instant GoneSince{};
  /// Short hashes of those who confirmed the suspicion.
  std::vector<std::uint32_t> Accusers;
  /// Its place in the list of peers; none when it is gone or the own node.
  std::optional<std::size_t> PeerIndex;
  /// The record as views share it.
  shared_member Published;
};

/// What a merge changed.
struct merge_outcome {
  /// The owner's word is newer than what was known.
  bool OwnerChanged = false;
  /// More than the state and the stamp is new.
  bool ContentChanged = false;
  /// The accusation is newer than what was known.
  bool AccusationChanged = false;
  /// A further member confirmed a suspicion.
  bool Confirmed = false;
  member_state Before = member_state::Left;
  member_state After = member_state::Left;

  bool any() const { return OwnerChanged || AccusationChanged; }
};

/// All members of one data centre that a node knows.
///
/// A claim is a pair of two values that only rise, the owner's stamped record
/// and the accusation, so merging is commutative, associative and idempotent:
/// lost, repeated and reordered messages do no harm.
class member_table {
public:
  /// The anti-entropy digest is split by the highest six bits of the key.
  static constexpr std::size_t Buckets = 64;
  /// The most confirmations of a suspicion that are counted.
  static constexpr std::size_t MostAccusers = 4;

  /// @param Self the own node's record.
  /// @param MostMembers claims of further members are refused.
  member_table(member_record Self, std::size_t MostMembers);

  member_table(const member_table &) = delete;
  member_table &operator=(const member_table &) = delete;

  const member_entry &self() const { return *find(SelfKey); }
  /// Replaces the own record under a stamp that is above the present one.
  void setSelf(const member_record &Record, std::uint32_t Revision);

  /// @returns the entry, or null.
  const member_entry *find(member_key Key) const;

  /// Merges a whole claim. Accusations against the own node are left out.
  merge_outcome merge(const member_claim &Claim, instant Now);
  /// Merges a new state of a record that is otherwise known.
  /// @param ContentHash the hash of the record that the state belongs to.
  merge_outcome mergeState(member_key Key, owner_stamp Stamp,
                           member_state State, std::uint32_t ContentHash,
                           instant Now);
  /// Merges an accusation; not for the own node.
  /// @param Accuser the short hash of who accuses; 0 when not known.
  merge_outcome accuse(member_key Key, accusation Accused,
                       std::uint32_t Accuser, instant Now);
  /// Lets the suspicion against a member begin anew.
  void restartSuspicion(member_key Key, instant Now);
  /// Notes the admission level that a member gave itself.
  void noteLevel(member_key Key, std::uint8_t Level);

  /// Forgets members that are dead or left for long.
  void forgetGone(instant Now, duration KeepLeft, duration KeepDead);

  /// @returns the keys of the members that are not gone, but for the own one.
  const std::vector<member_key> &peers() const { return Peers; }
  /// @returns every entry.
  const std::unordered_map<member_key, member_entry> &entries() const {
    return Entries;
  }
  /// @returns how many members are not gone, the own one included.
  std::size_t liveCount() const { return Peers.size() + 1; }

  /// @returns the digest of all members that are not gone.
  std::uint64_t digest() const;
  /// @returns the digest of one bucket.
  std::uint32_t bucketDigest(std::size_t Bucket) const;
  static std::size_t bucketOf(member_key Key) { return Key >> 58U; }
  /// @returns a short hash over the stamp and the accusation of @p Entry.
  static std::uint32_t stampHash(const member_entry &Entry);
  /// @returns a hash over all of a record but its incarnation, state and level.
  static std::uint32_t contentHash(const member_record &Record);

  /// @returns a number that rises with each change.
  std::uint64_t version() const { return Version; }

private:
  template <class Change>
  merge_outcome change(member_entry &Entry, instant Now, Change Apply);
  void include(const member_entry &Entry);
  void updatePeers(member_entry &Entry);
  void publish(member_entry &Entry);

  const std::size_t MostMembers;
  const member_key SelfKey;
  std::unordered_map<member_key, member_entry> Entries;
  std::vector<member_key> Peers;
  std::array<std::uint64_t, Buckets> Digests{};
  std::uint64_t Version = 0;
};

} // namespace clementine

#endif
