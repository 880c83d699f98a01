#include "clementine_membership/spread/update_queue.h"

#include <vector>

namespace clementine {

void update_queue::add(member_key Key, update_part Part, bool IsUrgent) {
  const slot Slot{Key, Part == update_part::Accusation};
  const auto Found = Slots.find(Slot);
  // A state update must not replace a queued update of the whole claim.
  const bool ClaimWaits =
      Found != Slots.end() && Found->second.Part == update_part::Claim;
  if (Part == update_part::State && ClaimWaits)
    Part = update_part::Claim;
  erase(Slot);
  const rank Rank{0, NextAge--, Slot};
  Slots.emplace(Slot, queued_update{Rank, Part, IsUrgent});
  Order.insert(Rank);
  UrgentCount += IsUrgent ? 1 : 0;
}

void update_queue::remove(member_key Key) {
  erase({Key, false});
  erase({Key, true});
}

void update_queue::drain(
    send_limits Limits,
    const std::function<bool(member_key, update_part)> &Offer) {
  std::vector<slot> Sent;
  for (const rank &Rank : Order) {
    if (!Offer(Rank.Slot.Key, Slots.at(Rank.Slot).Part))
      break;
    Sent.push_back(Rank.Slot);
  }
  for (const slot &Slot : Sent) {
    const queued_update Before = Slots.at(Slot);
    if (Before.Rank.Sends + 1 >= sendLimit(Before, Limits)) {
      erase(Slot);
      continue;
    }
    const rank After{Before.Rank.Sends + 1, Before.Rank.Age, Slot};
    Order.erase(Before.Rank);
    Slots[Slot].Rank = After;
    Order.insert(After);
  }
}

unsigned update_queue::sendLimit(const queued_update &QueuedUpdate,
                                 send_limits Limits) {
  if (QueuedUpdate.IsUrgent)
    return Limits.Urgent;
  return QueuedUpdate.Part == update_part::Claim ? Limits.Claims
                                                 : Limits.Others;
}

void update_queue::erase(const slot &Slot) {
  const auto Found = Slots.find(Slot);
  if (Found == Slots.end())
    return;
  UrgentCount -= Found->second.IsUrgent ? 1 : 0;
  Order.erase(Found->second.Rank);
  Slots.erase(Found);
}

} // namespace clementine
