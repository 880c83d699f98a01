#ifndef CLEMENTINE_MEMBERSHIP_NODE_MEMBERSHIP_H
#define CLEMENTINE_MEMBERSHIP_NODE_MEMBERSHIP_H

#include "clementine_core/random/random_source.h"
#include "clementine_membership/failure/failure_detector.h"
#include "clementine_membership/members/member_table.h"
#include "clementine_membership/messages/datagram_codec.h"
#include "clementine_membership/remote/query_server.h"
#include "clementine_membership/remote/remote_directory.h"
#include "clementine_membership/spread/anti_entropy.h"
#include "clementine_membership/spread/disseminator.h"
#include "clementine_membership/spread/outbox.h"
#include "clementine_security/replay/replay_window.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace clementine {

/// What membership did since its start, for metrics.
struct membership_counters {
  std::uint64_t DatagramsSent = 0;
  /// Headers of IP and UDP included.
  std::uint64_t BytesSent = 0;
  std::uint64_t DatagramsReceived = 0;
  std::uint64_t BytesReceived = 0;
  /// Refused datagrams by datagram_fault.
  std::array<std::uint64_t, 5> Refused{};
  /// Datagrams that were seen before, or are of an earlier incarnation.
  std::uint64_t Replayed = 0;
  /// How often the own node was accused and refuted.
  std::uint64_t Refutations = 0;
  /// How often the own node found that it had been paused.
  std::uint64_t Pauses = 0;

  bool operator==(const membership_counters &) const = default;
};

/// One node's part in the membership of its data centre, and its knowledge of
/// the others.
///
/// Free of I/O and threads: call receive() for each datagram and tick() at
/// nextWake() or sooner, and send what they return. All calls come from one
/// thread, with a time that never goes back. Views may be copied to others.
class membership {
public:
  /// @param Self the own record; its state is Warming or Alive, and its
  /// incarnation is above that of every earlier run, for instance the time of
  /// the start in microseconds. A lower one mends itself as soon as a peer
  /// remembers the earlier run.
  membership(member_record Self, membership_settings Settings,
             peer_key_ring Keys, random_source &Random);

  membership(const membership &) = delete;
  membership &operator=(const membership &) = delete;

  /// Sets where to ask for members at the start and after a cut. Seeds may be
  /// in any data centre; the own endpoint among them is skipped. It may be
  /// called again with other seeds.
  void join(std::vector<endpoint> Seeds, instant Now);

  /// Does what is due.
  std::vector<outgoing_datagram> tick(instant Now);

  /// Takes in a datagram. Bad ones are counted and change nothing.
  std::vector<outgoing_datagram>
  receive(const endpoint &From, std::span<const std::byte> Bytes, instant Now);

  /// @returns when tick() has work.
  instant nextWake() const;

  /// Tells all that this node takes no more work. Peers hear of it within
  /// seconds; the node stays a member until depart().
  void leave(instant Now);

  /// Says good-bye: the last datagrams before the process ends. Nothing is sent
  /// after them.
  std::vector<outgoing_datagram> depart(instant Now);

  /// Sets Warming or Alive. Not after leave().
  void setState(member_state State, instant Now);
  /// Sets the service of the upstream that announced itself, and its slots.
  void setService(const std::string &Service, std::uint16_t Weight,
                  instant Now);
  /// Sets the admission level that rides on every message. It makes no message
  /// of its own.
  void setAdmissionLevel(std::uint8_t Level);
  /// Sets the bundle that this node holds; a newer one is told to a few members
  /// at once.
  void setBundle(bundle_mark Bundle, instant Now);
  /// Follows the members of @p Service in other data centres. Call it again
  /// while the service is in use: only the latest MostWantedServices are kept.
  void watchService(const std::string &Service, instant Now);
  /// Signs and verifies with other keys from now on.
  void replaceKeys(peer_key_ring Keys);

  /// @returns what is known; it stays as it is until the next call of any
  /// function that is not const.
  const member_view &view();

  /// @returns the own record with its present incarnation.
  const member_record &self() const { return Table.self().Claim.Record; }
  /// @returns what was done so far.
  const membership_counters &counters() const { return Counters; }
  /// @returns the local health score: 0 for a healthy node, up to 8.
  int healthScore() const { return Detector.healthScore(); }

private:
  std::vector<outgoing_datagram> takeOutgoing();
  void handle(const endpoint &From, const gossip_message &Message, instant Now);
  void handleLocal(const endpoint &From, const gossip_message &Message,
                   instant Now);
  bool isFresh(const endpoint &From, const gossip_message &Message,
               instant Now);
  void hearBundle(const endpoint &From, const gossip_message &Message);
  void heardOfSelf(owner_stamp Heard, bool IsAccusation, instant Now);
  void memberChanged(member_key Key, const merge_outcome &Outcome, instant Now);
  void publishSelf(const member_record &Record, update_part Part, bool AtOnce,
                   instant Now);
  void noticePause(instant Now);
  void trySeeds(instant Now);
  void tryReconnect(instant Now);
  void askForContacts(instant Now);
  void tellBundle(instant Now);
  endpoint randomSeed();
  void rebuildView();

  const membership_settings Settings;
  random_source &Random;
  datagram_codec Codec;
  member_table Table;
  outbox Outbox;
  disseminator Spread;
  anti_entropy Sync;
  failure_detector Detector;
  remote_directory Directory;
  query_server Server;
  replay_window Replays;

  std::vector<endpoint> Seeds;
  instant NextJoin = instant::max();
  unsigned JoinAttempts = 0;
  instant NextReconnect{};
  instant NextContacts{};
  /// The present wait between requests for contacts; it doubles from a short
  /// one after the start.
  duration ContactInterval = std::chrono::seconds(1);
  instant NextForget{};
  instant LastActive{};
  instant LastNotice{};
  bool Departed = false;

  heard_bundle Newest;
  membership_counters Counters;
  member_view View;
  std::uint64_t ViewedTable = 0;
  std::uint64_t ViewedDirectory = 0;
  bool BundleHeard = false;
};

} // namespace clementine

#endif
