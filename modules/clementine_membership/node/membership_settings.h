#ifndef CLEMENTINE_MEMBERSHIP_NODE_MEMBERSHIP_SETTINGS_H
#define CLEMENTINE_MEMBERSHIP_NODE_MEMBERSHIP_SETTINGS_H

#include "clementine_core/time/clock.h"

#include <chrono>
#include <cstddef>

namespace clementine {

/// How membership behaves. The defaults are meant for data centres of up to
/// 1,600 nodes and a fleet of up to 24,000.
struct membership_settings {
  /// How often one other member is probed.
  duration ProbeInterval = std::chrono::seconds(1);
  /// How long a direct probe waits before helpers are asked.
  duration ProbeTimeout = std::chrono::milliseconds(400);
  /// How many helpers are asked to probe in turn.
  std::size_t IndirectProbes = 3;
  /// Probe intervals that a suspected member has for refuting when others
  /// confirm, for each power of ten of the number of members.
  double SuspicionMultiplier = 2.0;

  /// How often news is sent while there is any.
  duration GossipInterval = std::chrono::milliseconds(500);
  /// To how many members news is sent at a time.
  std::size_t GossipFanout = 3;
  /// How often a random member's view is compared with the own one.
  duration SyncInterval = std::chrono::seconds(10);
  /// How often a dead member or a seed is probed, so that a healed partition
  /// is found.
  duration ReconnectInterval = std::chrono::seconds(5);
  /// How often each other data centre is asked for wanted services.
  duration QueryInterval = std::chrono::seconds(30);

  /// What gossip may send in bytes a second over a long time, headers of IP and
  /// UDP included.
  double BytesPerSecond = 900;
  /// The most bytes that may be sent at once after a quiet time.
  double BurstBytes = 64.0 * 1024;

  /// The most members of the own data centre that are held.
  std::size_t MostMembers = 4096;
  /// How long a member that left is remembered.
  duration KeepLeft = std::chrono::minutes(10);
  /// How long a dead member is remembered and probed now and then.
  duration KeepDead = std::chrono::hours(2);

  bool operator==(const membership_settings &) const = default;
};

} // namespace clementine

#endif
