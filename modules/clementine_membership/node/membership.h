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

/// Counters since the start, for metrics.
struct membership_counters {
  std::uint64_t DatagramsSent = 0;
  /// Includes IP and UDP headers.
  std::uint64_t BytesSent = 0;
  std::uint64_t DatagramsReceived = 0;
  std::uint64_t BytesReceived = 0;
  /// Refused datagrams, indexed by datagram_fault.
  std::array<std::uint64_t, 5> Refused{};
  /// Datagrams that were received before or are of an earlier incarnation.
  std::uint64_t Replayed = 0;
  /// How often the local node raised its incarnation to refute an accusation or
  /// supersede a newer stamp.
  std::uint64_t Refutations = 0;
  /// How often the local node detected that its process had been paused.
  std::uint64_t Pauses = 0;

  bool operator==(const membership_counters &) const = default;
};

/// The membership protocol of one node: members of its own data centre, and
/// watched services in the others.
///
/// Performs no I/O and starts no threads: call receive() for each datagram and
/// tick() at nextWake() or sooner, and send what they return. All calls must
/// come from one thread, with a time that never decreases. Views may be copied
/// to other threads.
class membership {
public:
  /// @param Self the local node's record; its state is Warming or Alive, and
  /// its incarnation is above that of every earlier run, for example the start
  /// time in microseconds. A lower one is raised as soon as a peer that
  /// remembers the earlier run replies.
  membership(member_record Self, membership_settings Settings,
             peer_key_ring Keys, random_source &Random);

  membership(const membership &) = delete;
  membership &operator=(const membership &) = delete;

  /// Sets the seeds that are contacted at the start and after a partition.
  /// Seeds may be in any data centre; the node's own endpoint is skipped. May
  /// be called again with other seeds.
  void join(std::vector<endpoint> Seeds, instant Now);

  /// Runs all periodic work that is due.
  /// @returns the datagrams to send.
  std::vector<outgoing_datagram> tick(instant Now);

  /// Handles a received datagram. Invalid ones are counted and otherwise
  /// ignored.
  /// @returns the datagrams to send.
  std::vector<outgoing_datagram>
  receive(const endpoint &From, std::span<const std::byte> Bytes, instant Now);

  /// @returns when tick() has work.
  instant nextWake() const;

  /// Announces that this node accepts no more calls. Peers are informed within
  /// seconds; the node stays a member until depart().
  void leave(instant Now);

  /// Announces that the node leaves, before the process ends.
  /// @returns the last datagrams; nothing is sent after them.
  std::vector<outgoing_datagram> depart(instant Now);

  /// Sets the state to Warming or Alive. Has no effect after leave().
  void setState(member_state State, instant Now);
  /// Sets the service of the upstream that announced itself, and its weight, a
  /// hint of how many slots it has.
  void setService(const std::string &Service, std::uint16_t Weight,
                  instant Now);
  /// Sets the admission level in the header of every message. Sends no message
  /// itself.
  void setAdmissionLevel(std::uint8_t Level);
  /// Sets the bundle that this node holds; a newer one is announced to a few
  /// members at once.
  void setBundle(bundle_mark Bundle, instant Now);
  /// Watches the members of @p Service in other data centres. Call it again
  /// while the service is in use: only the MaxWatchedServices most recent ones
  /// are kept.
  void watchService(const std::string &Service, instant Now);
  /// Replaces the keys for signing and verifying.
  void replaceKeys(peer_key_ring Keys);

  /// @returns the current view; the reference stays valid and unchanged until
  /// the next call of a non-const function.
  const member_view &view();

  /// @returns the local node's record with its current incarnation.
  const member_record &self() const { return Table.self().Claim.Record; }
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
  void updateNewestBundle(const endpoint &From, const gossip_message &Message);
  void handleSelfUpdate(owner_stamp Received, bool IsAccusation, instant Now);
  void memberChanged(member_key Key, const merge_outcome &Outcome, instant Now);
  void publishSelf(const member_record &Record, update_part Part, bool IsUrgent,
                   instant Now);
  void detectPause(instant Now);
  void tryJoin(instant Now);
  void tryReconnect(instant Now);
  void requestContacts(instant Now);
  void announceBundle(instant Now);
  endpoint randomSeed();
  void rebuildView();

  const membership_settings Settings;
  random_source &Random;
  datagram_codec Codec;
  member_table Table;
  outbox Outbox;
  disseminator Disseminator;
  anti_entropy Sync;
  failure_detector Detector;
  remote_directory Directory;
  query_server Server;
  replay_window Replays;

  std::vector<endpoint> Seeds;
  instant NextJoin = instant::max();
  unsigned JoinAttempts = 0;
  instant NextReconnect{};
  instant NextContactRequest{};
  /// The current interval between requests for contacts; it doubles from a
  /// short one after the start up to QueryInterval.
  duration ContactRequestInterval = std::chrono::seconds(1);
  instant NextPurge{};
  instant LastActive{};
  instant LastIncarnationNotice{};
  bool Departed = false;

  advertised_bundle Newest;
  membership_counters Counters;
  member_view View;
  std::uint64_t ViewTableVersion = 0;
  std::uint64_t ViewDirectoryVersion = 0;
  bool NewestBundleChanged = false;
};

} // namespace clementine

#endif
