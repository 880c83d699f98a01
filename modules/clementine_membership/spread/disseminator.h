#ifndef CLEMENTINE_MEMBERSHIP_SPREAD_DISSEMINATOR_H
#define CLEMENTINE_MEMBERSHIP_SPREAD_DISSEMINATOR_H

#include "clementine_core/random/random_source.h"
#include "clementine_membership/members/member_table.h"
#include "clementine_membership/spread/outbox.h"
#include "clementine_membership/spread/update_queue.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace clementine {

/// Disseminates updates: they are added to outgoing messages as far as they fit
/// and, while any are queued, sent to a few random members at short intervals.
class disseminator {
public:
  /// Called on each change of another member.
  using change_callback =
      std::function<void(member_key, const merge_outcome &, instant)>;
  /// Called for each received stamp or accusation that concerns the local node.
  using self_update_callback =
      std::function<void(owner_stamp Received, bool IsAccusation, instant)>;

  disseminator(const membership_settings &Settings, random_source &Random,
               member_table &Table, outbox &Outbox, change_callback OnChange,
               self_update_callback OnSelfUpdate);

  disseminator(const disseminator &) = delete;
  disseminator &operator=(const disseminator &) = delete;

  /// Merges all claims and updates of a message.
  /// @returns the members in its claims that were unknown before.
  std::vector<member_key> receive(const gossip_message &Message, instant Now);

  /// Disseminates a change of the local node's record.
  /// @param IsUrgent whether the next round is due now, as when the node is
  /// leaving.
  void announceSelf(update_part Part, bool IsUrgent, instant Now);
  /// Accuses a member on behalf of the local node, and disseminates the
  /// accusation.
  void accuse(member_key Key, accusation Accused, instant Now);

  /// Sends @p Message with as many queued updates as fit.
  /// @returns whether it will be sent.
  bool send(const endpoint &To, gossip_message Message,
            message_priority Priority, instant Now);
  /// Sends whole claims in as many datagrams as needed, up to a limit.
  void sendClaims(const endpoint &To, const std::vector<member_key> &Keys,
                  message_priority Priority, instant Now);

  /// Sends a round of updates when one is due.
  void tick(instant Now);
  /// @returns when tick() has work; instant::max() when no updates are queued.
  instant nextWake() const;

  /// @returns up to @p Count different random members that are neither dead nor
  /// left.
  std::vector<const member_entry *> randomPeers(std::size_t Count);
  /// @returns an update with the accusation against a member.
  static state_update accusationOf(const member_entry &Entry);
  /// @returns the number of queued updates.
  std::size_t pendingCount() const { return Queue.size(); }

private:
  void fillWithUpdates(gossip_message &Message);
  bool appendUpdate(gossip_message &Message, std::size_t &Room, member_key Key,
                    update_part Part) const;
  void receiveUpdate(const state_update &Update, instant Now);
  merge_outcome mergeUpdate(const state_update &Update, instant Now);
  bool receiveClaim(const member_claim &Claim, bool IsGossip, instant Now);
  void notifyChange(member_key Key, const merge_outcome &Outcome, instant Now);
  void enqueue(member_key Key, const merge_outcome &Outcome);
  send_limits sendLimits() const;

  const membership_settings &Settings;
  random_source &Random;
  member_table &Table;
  outbox &Outbox;
  const change_callback OnChange;
  const self_update_callback OnSelfUpdate;
  update_queue Queue;
  instant LastRound{};
  instant NextRound{};
  bool UrgentUnsent = false;
};

} // namespace clementine

#endif
