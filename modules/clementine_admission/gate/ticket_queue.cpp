#include "clementine_admission/gate/ticket_queue.h"

#include <cassert>
#include <iterator>
#include <numeric>

namespace clementine {

void ticket_queue::add(const admission_ticket &Ticket) {
  assert(!contains(Ticket.RequestId) && "a ticket must not be queued twice");
  const place Place{placeRank(Ticket.rank()), Arrivals++};
  ByRank.emplace(Place, Ticket);
  ByDeadline.emplace(Ticket.Deadline, Place);
  ById.emplace(Ticket.RequestId, Place);
  ++Counts[countIndex(Place.Rank)];
}

admission_ticket ticket_queue::takeFirst() {
  assert(!empty() && "the queue must not be empty");
  return take(ByRank.begin());
}

admission_ticket ticket_queue::takeLast() {
  assert(!empty() && "the queue must not be empty");
  return take(std::prev(ByRank.end()));
}

std::optional<admission_ticket> ticket_queue::takeDueBefore(instant Bound) {
  if (empty() || ByDeadline.begin()->first >= Bound)
    return std::nullopt;
  return take(ByRank.find(ByDeadline.begin()->second));
}

bool ticket_queue::remove(const request_id &RequestId) {
  const auto Known = ById.find(RequestId);
  if (Known == ById.end())
    return false;
  take(ByRank.find(Known->second));
  return true;
}

bool ticket_queue::contains(const request_id &RequestId) const {
  return ById.contains(RequestId);
}

std::optional<instant> ticket_queue::earliestDeadline() const {
  if (empty())
    return std::nullopt;
  return ByDeadline.begin()->first;
}

std::size_t ticket_queue::countBefore(const admission_rank &Rank) const {
  if (!OrdersByRank)
    return size();
  const auto End =
      Counts.begin() + static_cast<std::ptrdiff_t>(countIndex(Rank));
  return std::accumulate(Counts.begin(), End, std::size_t{0});
}

admission_rank ticket_queue::placeRank(const admission_rank &Rank) const {
  return OrdersByRank ? Rank : admission_rank{};
}

std::size_t ticket_queue::countIndex(const admission_rank &Rank) {
  constexpr std::size_t SubLevelsPerCount = SubLevels / CountsPerImportance;
  return levelOf(Rank).index() / SubLevelsPerCount;
}

admission_ticket
ticket_queue::take(std::map<place, admission_ticket>::iterator Position) {
  const admission_ticket Ticket = Position->second;
  const place Place = Position->first;
  ByRank.erase(Position);
  ByDeadline.erase({Ticket.Deadline, Place});
  ById.erase(Ticket.RequestId);
  --Counts[countIndex(Place.Rank)];
  return Ticket;
}

} // namespace clementine
