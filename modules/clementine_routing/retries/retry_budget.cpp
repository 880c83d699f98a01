#include "clementine_routing/retries/retry_budget.h"

#include <algorithm>

namespace clementine {

bool retry_budget::spend() { return allocate(1) == 1; }

std::uint32_t retry_budget::allocate() {
  return allocate(Attempts - Attempts / 2);
}

std::uint32_t retry_budget::allocate(std::uint32_t Wanted) {
  const std::uint32_t Part = std::min(Wanted, Attempts);
  Attempts -= Part;
  return Part;
}

void retry_budget::reclaim(std::uint32_t Lent, std::uint32_t Unused) {
  if (Unused <= Lent)
    Attempts += Unused;
}

} // namespace clementine
