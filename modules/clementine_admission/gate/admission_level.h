#ifndef CLEMENTINE_ADMISSION_GATE_ADMISSION_LEVEL_H
#define CLEMENTINE_ADMISSION_GATE_ADMISSION_LEVEL_H

#include "clementine_core/identity/identity.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <tuple>

namespace clementine {

/// The priority of a request. The smaller of two ranks is served first and shed
/// last.
struct admission_rank {
  importance Importance = importance::Low;
  /// The priority within one importance; smaller values are served first.
  std::uint64_t SubRank = 0;

  bool operator==(const admission_rank &) const = default;
  std::strong_ordering operator<=>(const admission_rank &Other) const {
    return std::tie(Importance, SubRank) <=>
           std::tie(Other.Importance, Other.SubRank);
  }
};

/// The number of sub-levels of each importance in an admission_level.
constexpr std::size_t SubLevels = 128;

/// The highest sub-level.
constexpr std::uint8_t HighestSubLevel = SubLevels - 1;

/// The last rank that a gate admits, in steps of one sub-level.
///
/// It is returned with every answer, so that entry nodes can refuse early what
/// a gate would refuse later. Levels compare by how much they admit. The
/// default admits everything.
///
/// @see Zhou et al.: Overload Control for Scaling WeChat Microservices, 2018
/// (DAGOR), for levels made of business and user priority.
struct admission_level {
  importance Importance = importance::Low;
  std::uint8_t SubLevel = HighestSubLevel;

  bool operator==(const admission_level &) const = default;
  std::strong_ordering operator<=>(const admission_level &Other) const {
    return index() <=> Other.index();
  }

  /// @returns whether a request of @p Rank is admitted at this level.
  bool admits(const admission_rank &Rank) const;

  /// @returns the position of this level among all levels, from 0 for the
  /// strictest to ImportanceLevels * SubLevels - 1.
  std::size_t index() const;

  /// @param Index is clamped to the range that index() returns.
  static admission_level fromIndex(std::size_t Index);
};

/// @returns the strictest level that still admits @p Rank.
admission_level levelOf(const admission_rank &Rank);

/// Computes the rank of a request.
///
/// The hash of the whole request is the same at every hop, so that every gate
/// favours the same whole requests. Each completed hop halves the hash, which
/// moves the request forward while keeping it on the scale of the levels.
///
/// @param WholeRequestHash from wholeRequestHash().
/// @param WorkDone how many hops have been completed for the whole request.
admission_rank rankOf(importance Importance, std::uint64_t WholeRequestHash,
                      std::uint32_t WorkDone);

/// @returns a uniformly distributed hash of the identifier of a whole request.
std::uint64_t wholeRequestHash(const request_id &WholeRequest);

} // namespace clementine

#endif
