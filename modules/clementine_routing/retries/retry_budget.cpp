#include "clementine_routing/retries/retry_budget.h"

#include <algorithm>

namespace clementine {

bool retry_budget::spend() { return allocate(1) == 1; }

std::uint32_t retry_budget::allocate() {
  return allocate(Attempts - Attempts / 2);
}

std::uint32_t retry_budget::allocate(std::uint32_t Requested) {
  const std::uint32_t Granted = std::min(Requested, Attempts);
  Attempts -= Granted;
  return Granted;
}

void retry_budget::reclaim(std::uint32_t Allocated, std::uint32_t Unused) {
  if (Unused <= Allocated)
    Attempts += Unused;
}

} // namespace clementine
