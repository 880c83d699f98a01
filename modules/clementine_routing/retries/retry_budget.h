#ifndef CLEMENTINE_ROUTING_RETRIES_RETRY_BUDGET_H
#define CLEMENTINE_ROUTING_RETRIES_RETRY_BUDGET_H

#include <cstdint>

namespace clementine {

/// The extra attempts that one whole request still has at one place.
///
/// The entry node makes it with the operation's budget. Each sub-call is lent a
/// part, which travels with it, and brings back what it did not use with its
/// answer. A lost answer brings nothing back. No attempt is ever in two
/// budgets, so that the sum over the whole chain never exceeds the first
/// budget, whatever the depth and the fan-out.
class retry_budget {
public:
  /// @param Attempts how many extra attempts may still be made.
  explicit retry_budget(std::uint32_t Attempts) : Attempts(Attempts) {}

  /// @returns how many extra attempts are left here.
  std::uint32_t left() const { return Attempts; }

  /// Spends one extra attempt.
  /// @returns false, changing nothing, if none is left.
  bool spend();

  /// Takes out the part that a sub-call may use: half of what is left, rounded
  /// up, so that sub-calls at the same time each get some.
  /// @returns the part, 0 if nothing is left.
  std::uint32_t allocate();

  /// Takes out up to @p Wanted for a sub-call.
  /// @returns how many were taken out.
  std::uint32_t allocate(std::uint32_t Requested);

  /// Takes back what a sub-call did not use. A sub-call returns once and never
  /// more than it was lent.
  /// @param Lent what lend() gave for the sub-call.
  /// @param Unused what its answer says; a larger number than @p Lent counts as
  /// nothing, since such an answer is wrong.
  void reclaim(std::uint32_t Allocated, std::uint32_t Unused);

private:
  std::uint32_t Attempts;
};

} // namespace clementine

#endif
