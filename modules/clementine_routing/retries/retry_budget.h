#ifndef CLEMENTINE_ROUTING_RETRIES_RETRY_BUDGET_H
#define CLEMENTINE_ROUTING_RETRIES_RETRY_BUDGET_H

#include <cstdint>

namespace clementine {

/// The extra attempts that one whole request may still make at one point of its
/// call tree.
///
/// The entry node creates the budget from the budget of the operation. Each
/// sub-call is allocated a part, which is sent with it, and its answer returns
/// the unused rest. A lost answer returns nothing. No attempt is ever in two
/// budgets, so that the sum over the whole chain never exceeds the first
/// budget, whatever the depth and the fan-out.
class retry_budget {
public:
  /// @param Attempts the number of extra attempts that may still be made.
  explicit retry_budget(std::uint32_t Attempts) : Attempts(Attempts) {}

  /// @returns the number of extra attempts left.
  std::uint32_t left() const { return Attempts; }

  /// Spends one extra attempt.
  /// @returns false, changing nothing, if none is left.
  bool spend();

  /// Allocates half of what is left, rounded up, to a sub-call, so that
  /// concurrent sub-calls each get some.
  /// @returns the number allocated, 0 if nothing is left.
  std::uint32_t allocate();

  /// Allocates up to @p Requested attempts to a sub-call.
  /// @returns the number allocated.
  std::uint32_t allocate(std::uint32_t Requested);

  /// Adds back what a sub-call did not use. Call it at most once for each
  /// sub-call.
  /// @param Allocated the result of allocate() for the sub-call.
  /// @param Unused the number in its answer. If it is larger than @p Allocated,
  /// the answer is wrong and nothing is added.
  void reclaim(std::uint32_t Allocated, std::uint32_t Unused);

private:
  std::uint32_t Attempts;
};

} // namespace clementine

#endif
