#ifndef CLEMENTINE_MEMBERSHIP_SPREAD_ANTI_ENTROPY_H
#define CLEMENTINE_MEMBERSHIP_SPREAD_ANTI_ENTROPY_H

#include "clementine_membership/spread/disseminator.h"

#include <cstddef>

namespace clementine {

/// Periodically compares the local view with that of a random member and
/// exchanges only the differences: one digest, then 64 of buckets, then the
/// stamps in the buckets that differ, then whole claims.
class anti_entropy {
public:
  anti_entropy(const membership_settings &Settings, random_source &Random,
               member_table &Table, disseminator &Disseminator);

  anti_entropy(const anti_entropy &) = delete;
  anti_entropy &operator=(const anti_entropy &) = delete;

  /// Starts a comparison with @p To.
  void startSync(const endpoint &To, instant Now);

  /// Handles the first message from an unknown member: a node that knows few
  /// members compares views with it at once.
  void handleNewMember(const endpoint &From, instant Now);

  /// Handles SyncDigest, SyncBuckets and SyncEntries.
  void receive(const endpoint &From, const gossip_message &Message,
               instant Now);

  /// Records that members were learned by anti-entropy. After several, the next
  /// comparison is brought forward, so that a node that has just started fills
  /// its view quickly.
  void recordLearned(std::size_t Members, instant Now);
  /// Handles members learned from gossip: a few nodes send each of them some
  /// members, so that the seeds do not carry all of that load.
  void assistNewMembers(const std::vector<member_key> &Members, instant Now);

  /// Starts a comparison when one is due.
  void tick(instant Now);
  /// @returns when tick() has work.
  instant nextWake() const { return NextSync; }

private:
  /// Sends a few members to a node that has just started, so that it need not
  /// learn everything from its seed.
  void sendSampleMembers(const endpoint &To, instant Now);
  void answerDigest(const endpoint &From, const gossip_message &Message,
                    instant Now);
  void answerBuckets(const endpoint &From, const gossip_message &Message,
                     instant Now);
  void answerEntries(const endpoint &From, const gossip_message &Message,
                     instant Now);

  const membership_settings &Settings;
  random_source &Random;
  member_table &Table;
  disseminator &Disseminator;
  instant NextSync{};
  /// The current interval; it grows from a short one after the start up to
  /// SyncInterval.
  duration Interval;
  std::size_t LearnedSinceSync = 0;
};

} // namespace clementine

#endif
