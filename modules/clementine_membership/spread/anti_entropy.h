#ifndef CLEMENTINE_MEMBERSHIP_SPREAD_ANTI_ENTROPY_H
#define CLEMENTINE_MEMBERSHIP_SPREAD_ANTI_ENTROPY_H

#include "clementine_membership/spread/disseminator.h"

#include <cstddef>

namespace clementine {

/// Compares the own view with that of a random member from time to time and
/// exchanges only what differs: one digest, then 64 of buckets, then the stamps
/// in the buckets that differ, then whole claims.
class anti_entropy {
public:
  anti_entropy(const membership_settings &Settings, random_source &Random,
               member_table &Table, disseminator &Spread);

  anti_entropy(const anti_entropy &) = delete;
  anti_entropy &operator=(const anti_entropy &) = delete;

  /// Opens a comparison with @p To.
  void open(const endpoint &To, instant Now);

  /// Notes that a member unknown so far was heard: a node that knows few
  /// compares views with it at once.
  void met(const endpoint &From, instant Now);

  /// Handles SyncDigest, SyncBuckets and SyncEntries.
  void receive(const endpoint &From, const gossip_message &Message,
               instant Now);

  /// Notes that members were learnt by anti-entropy; after many the next
  /// comparison is soon, so that a node that has just started fills its view
  /// quickly.
  void learnt(std::size_t Members, instant Now);
  /// Notes that members were learnt from news: a few nodes help each of them to
  /// fill its view, so that not all of that falls to the seeds.
  void welcome(const std::vector<member_key> &Members, instant Now);

  /// Opens a comparison when one is due.
  void tick(instant Now);
  /// @returns when tick() has work.
  instant nextWake() const { return NextSync; }

private:
  /// Tells a node that has just started of a few members, so that it need not
  /// learn everything from its seed.
  void refer(const endpoint &To, instant Now);
  void answerDigest(const endpoint &From, const gossip_message &Message,
                    instant Now);
  void answerBuckets(const endpoint &From, const gossip_message &Message,
                     instant Now);
  void answerEntries(const endpoint &From, const gossip_message &Message,
                     instant Now);

  const membership_settings &Settings;
  random_source &Random;
  member_table &Table;
  disseminator &Spread;
  instant NextSync{};
  /// The present interval; it grows from a short one after the start.
  duration Interval;
  std::size_t LearntSinceSync = 0;
};

} // namespace clementine

#endif
