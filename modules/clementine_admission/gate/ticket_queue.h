#ifndef CLEMENTINE_ADMISSION_GATE_TICKET_QUEUE_H
#define CLEMENTINE_ADMISSION_GATE_TICKET_QUEUE_H

#include "clementine_admission/gate/admission_ticket.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace clementine {

/// A queue of tickets, ordered by rank; equal ranks keep the order of their
/// arrival. Each operation takes logarithmic time. Not copyable.
class ticket_queue {
public:
  /// @param OrdersByRank whether the queue is ordered by rank; otherwise by
  /// arrival only.
  explicit ticket_queue(bool OrdersByRank) : OrdersByRank(OrdersByRank) {}

  ticket_queue(const ticket_queue &) = delete;
  ticket_queue &operator=(const ticket_queue &) = delete;

  /// Adds a ticket whose identifier is not in the queue.
  void add(const admission_ticket &Ticket);

  /// Removes and returns the first ticket; the queue must not be empty.
  admission_ticket takeFirst();

  /// Removes and returns the last ticket; the queue must not be empty.
  admission_ticket takeLast();

  /// Removes and returns a ticket with a deadline before @p Bound, if any.
  std::optional<admission_ticket> takeDueBefore(instant Bound);

  /// Removes a ticket.
  /// @returns whether it was queued.
  bool remove(const request_id &RequestId);

  bool contains(const request_id &RequestId) const;
  bool empty() const { return ByRank.empty(); }
  std::size_t size() const { return ByRank.size(); }

  /// @returns the earliest deadline, if the queue is not empty.
  std::optional<instant> earliestDeadline() const;

  /// @returns about how many queued tickets precede one of @p Rank. The count
  /// is exact between importances, and within one importance to an eighth of
  /// its range.
  std::size_t countBefore(const admission_rank &Rank) const;

private:
  struct place {
    admission_rank Rank;
    std::uint64_t Arrival = 0;

    bool operator==(const place &) const = default;
    std::strong_ordering operator<=>(const place &Other) const {
      return std::tie(Rank, Arrival) <=> std::tie(Other.Rank, Other.Arrival);
    }
  };

  static constexpr std::size_t CountsPerImportance = 8;
  admission_rank placeRank(const admission_rank &Rank) const;
  static std::size_t countIndex(const admission_rank &Rank);
  admission_ticket take(std::map<place, admission_ticket>::iterator Position);

  const bool OrdersByRank;
  std::map<place, admission_ticket> ByRank;
  std::set<std::pair<instant, place>> ByDeadline;
  std::unordered_map<request_id, place, request_id_hash> ById;
  std::array<std::size_t, ImportanceLevels * CountsPerImportance> Counts{};
  std::uint64_t Arrivals = 0;
};

} // namespace clementine

#endif
