#include "clementine_admission/gate/admission_level.h"

#include "clementine_core/random/random_source.h"

#include <algorithm>

namespace clementine {

namespace {

constexpr unsigned HashBits = 64;
constexpr unsigned SubLevelBits = 7;
static_assert(SubLevels == 1U << SubLevelBits);

/// Work beyond this does not improve the rank any further.
constexpr std::uint32_t MaximumCountedWork = SubLevelBits;

} // namespace

bool admission_level::admits(const admission_rank &Rank) const {
  return levelOf(Rank) <= *this;
}

std::size_t admission_level::index() const {
  return static_cast<std::size_t>(Importance) * SubLevels + SubLevel;
}

admission_level admission_level::fromIndex(std::size_t Index) {
  const std::size_t Clamped = std::min(Index, ImportanceLevels * SubLevels - 1);
  return {static_cast<importance>(Clamped / SubLevels),
          static_cast<std::uint8_t>(Clamped % SubLevels)};
}

admission_level levelOf(const admission_rank &Rank) {
  return {Rank.Importance,
          static_cast<std::uint8_t>(Rank.SubRank >> (HashBits - SubLevelBits))};
}

admission_rank rankOf(importance Importance, std::uint64_t WholeRequestHash,
                      std::uint32_t WorkDone) {
  return {Importance,
          WholeRequestHash >> std::min(WorkDone, MaximumCountedWork)};
}

std::uint64_t wholeRequestHash(const request_id &WholeRequest) {
  return mixBits(WholeRequest.High ^ mixBits(WholeRequest.Low));
}

} // namespace clementine
