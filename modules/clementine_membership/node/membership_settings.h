#ifndef CLEMENTINE_MEMBERSHIP_NODE_MEMBERSHIP_SETTINGS_H
#define CLEMENTINE_MEMBERSHIP_NODE_MEMBERSHIP_SETTINGS_H

#include "clementine_core/time/clock.h"

#include <chrono>
#include <cstddef>

namespace clementine {

/// Settings of the membership protocol. The defaults are meant for data centres
/// of up to 1,600 nodes and a fleet of up to 24,000.
struct membership_settings {
  /// The interval between probes; each probes one other member.
  duration ProbeInterval = std::chrono::seconds(1);
  /// How long a direct probe waits before helpers are asked.
  duration ProbeTimeout = std::chrono::milliseconds(400);
  /// How many helpers are asked to probe a member that did not answer.
  std::size_t IndirectProbes = 3;
  /// The time in probe intervals that a suspected member has to refute when
  /// others confirm, for each power of ten of the number of members.
  double SuspicionMultiplier = 2.0;

  /// How often updates are sent while any are queued.
  duration GossipInterval = std::chrono::milliseconds(500);
  /// To how many members updates are sent at a time.
  std::size_t GossipFanout = 3;
  /// How often the local view is compared with that of a random member.
  duration SyncInterval = std::chrono::seconds(10);
  /// How often a dead member or a seed is probed, so that a healed partition is
  /// detected.
  duration ReconnectInterval = std::chrono::seconds(5);
  /// How often each other data centre is queried for watched services.
  duration QueryInterval = std::chrono::seconds(30);

  /// The sustained limit on sent gossip in bytes per second, including IP and
  /// UDP headers.
  double BytesPerSecond = 900;
  /// The maximum number of bytes that may be sent at once after an idle period.
  double BurstBytes = 64.0 * 1024;

  /// The maximum number of members of the local data centre in the table.
  std::size_t MaxMembers = 4096;
  /// How long a member that left is kept in the table.
  duration LeftRetention = std::chrono::minutes(10);
  /// How long a dead member is kept in the table and probed occasionally.
  duration DeadRetention = std::chrono::hours(2);

  bool operator==(const membership_settings &) const = default;
};

} // namespace clementine

#endif
