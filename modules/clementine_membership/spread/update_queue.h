#ifndef CLEMENTINE_MEMBERSHIP_SPREAD_UPDATE_QUEUE_H
#define CLEMENTINE_MEMBERSHIP_SPREAD_UPDATE_QUEUE_H

#include "clementine_membership/members/member_record.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <tuple>

namespace clementine {

/// Which part of a claim is news.
enum class update_part : std::uint8_t {
  /// The whole claim.
  Claim,
  /// The owner's stamp and state only.
  State,
  /// The accusation only.
  Accusation,
};

/// How often each piece of news is sent.
struct send_limits {
  unsigned Claims = 1;
  /// States and accusations.
  unsigned Others = 1;
  /// Urgent news of any kind.
  unsigned Urgent = 1;

  bool operator==(const send_limits &) const = default;
};

/// Remembers what is news and how often it was sent.
///
/// Only the member's key is held; what is sent is always the newest claim, so a
/// member is in the queue at most once for its owner's word and once for the
/// accusation. What was sent least often goes first.
class update_queue {
public:
  /// Adds news, or starts its count of sends again.
  void add(member_key Key, update_part Part, bool IsUrgent = false);
  /// Removes what is waiting of a member.
  void remove(member_key Key);

  bool empty() const { return Order.empty(); }
  std::size_t size() const { return Order.size(); }
  /// @returns whether any news is urgent.
  bool hasUrgent() const { return UrgentCount > 0; }

  /// Offers news for one datagram, least sent first.
  /// @param Limits news is dropped once it was sent so often.
  /// @param Offer puts the news into the datagram and tells whether there was
  /// room; the first refusal ends the call.
  void drain(send_limits Limits,
             const std::function<bool(member_key, update_part)> &Offer);

private:
  struct slot {
    member_key Key = 0;
    bool IsAccusation = false;

    bool operator<(const slot &Other) const {
      return std::tie(Key, IsAccusation) <
             std::tie(Other.Key, Other.IsAccusation);
    }
  };
  struct rank {
    unsigned Sends = 0;
    /// Among the equally often sent, the newest goes first.
    std::uint64_t Age = 0;
    slot Slot;

    bool operator<(const rank &Other) const {
      return std::tie(Sends, Age) < std::tie(Other.Sends, Other.Age);
    }
  };
  struct waiting {
    rank Rank;
    update_part Part = update_part::Claim;
    bool IsUrgent = false;
  };

  void erase(const slot &Slot);
  static unsigned limitOf(const waiting &News, send_limits Limits);

  std::map<slot, waiting> Slots;
  std::set<rank> Order;
  std::size_t UrgentCount = 0;
  std::uint64_t NextAge = ~std::uint64_t{0};
};

} // namespace clementine

#endif
