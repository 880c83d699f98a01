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

/// Spreads claims: they ride on every message, and while there is news it also
/// goes to a few random members at short intervals.
class disseminator {
public:
  /// Hears of each change of another member.
  using change_function =
      std::function<void(member_key, const merge_outcome &, instant)>;
  /// Hears what others say of the own node.
  using self_function =
      std::function<void(owner_stamp Heard, bool IsAccusation, instant)>;

  disseminator(const membership_settings &Settings, random_source &Random,
               member_table &Table, outbox &Outbox, change_function OnChange,
               self_function OnSelf);

  disseminator(const disseminator &) = delete;
  disseminator &operator=(const disseminator &) = delete;

  /// Takes in all claims of a message.
  /// @returns the members that were unknown before.
  std::vector<member_key> receive(const gossip_message &Message, instant Now);

  /// Spreads a change of the own record.
  /// @param IsUrgent whether the next round is due now, as for a member that
  /// leaves.
  void announceSelf(update_part Part, bool IsUrgent, instant Now);
  /// Accuses a member in the name of the own node, and spreads it.
  void accuse(member_key Key, accusation Accused, instant Now);

  /// Sends @p Message with as much news as fits.
  bool send(const endpoint &To, gossip_message Message, urgency Urgency,
            instant Now);
  /// Sends whole claims in as many datagrams as needed, up to a cap.
  void sendClaims(const endpoint &To, const std::vector<member_key> &Keys,
                  urgency Urgency, instant Now);

  /// Sends a round of news when one is due.
  void tick(instant Now);
  /// @returns when tick() has work; the far future when there is no news.
  instant nextWake() const;

  /// @returns up to @p Count different random members that are not gone.
  std::vector<const member_entry *> randomPeers(std::size_t Count);
  /// @returns an update that tells a member what it is accused of, or what
  /// incarnation it is known by.
  static state_update accusationOf(const member_entry &Entry);
  /// @returns how many news wait.
  std::size_t newsCount() const { return Queue.size(); }

private:
  void fill(gossip_message &Message);
  bool put(gossip_message &Message, std::size_t &Room, member_key Key,
           update_part Part) const;
  void receiveUpdate(const state_update &Update, instant Now);
  merge_outcome mergeUpdate(const state_update &Update, instant Now);
  bool receiveClaim(const member_claim &Claim, bool IsNews, instant Now);
  void applied(member_key Key, const merge_outcome &Outcome, instant Now);
  void enqueue(member_key Key, const merge_outcome &Outcome);
  send_limits sendLimits() const;

  const membership_settings &Settings;
  random_source &Random;
  member_table &Table;
  outbox &Outbox;
  const change_function OnChange;
  const self_function OnSelf;
  update_queue Queue;
  instant LastRound{};
  instant NextRound{};
  bool UrgentUnsent = false;
};

} // namespace clementine

#endif
