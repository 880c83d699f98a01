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

/// The part of a claim that an update disseminates.
enum class update_part : std::uint8_t {
  /// The whole claim.
  Claim,
  /// The owner's stamp and state only.
  State,
  /// The accusation only.
  Accusation,
};

/// How often each update is sent.
struct send_limits {
  unsigned Claims = 1;
  /// States and accusations.
  unsigned Others = 1;
  /// Urgent updates of any part.
  unsigned Urgent = 1;

  bool operator==(const send_limits &) const = default;
};

/// Queues updates for dissemination and counts how often each was sent.
///
/// Entries hold only the member's key, and the newest claim is read when
/// sending, so a member is queued at most once for its record and once for the
/// accusation. Updates that were sent least often go first.
class update_queue {
public:
  /// Adds an update, or resets its count of sends.
  void add(member_key Key, update_part Part, bool IsUrgent = false);
  /// Removes all queued updates of a member.
  void remove(member_key Key);

  bool empty() const { return Order.empty(); }
  std::size_t size() const { return Order.size(); }
  /// @returns whether any queued update is urgent.
  bool hasUrgent() const { return UrgentCount > 0; }

  /// Offers updates for one datagram, least often sent first.
  /// @param Limits the number of sends after which an update is removed.
  /// @param Offer adds the update to the datagram and returns whether there was
  /// room; the first false ends the call.
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
    /// Decreases with each added update, so that among updates sent equally
    /// often the newest goes first.
    std::uint64_t Age = 0;
    slot Slot;

    bool operator<(const rank &Other) const {
      return std::tie(Sends, Age) < std::tie(Other.Sends, Other.Age);
    }
  };
  struct queued_update {
    rank Rank;
    update_part Part = update_part::Claim;
    bool IsUrgent = false;
  };

  void erase(const slot &Slot);
  static unsigned sendLimit(const queued_update &QueuedUpdate,
                            send_limits Limits);

  std::map<slot, queued_update> Slots;
  std::set<rank> Order;
  std::size_t UrgentCount = 0;
  std::uint64_t NextAge = ~std::uint64_t{0};
};

} // namespace clementine

#endif
