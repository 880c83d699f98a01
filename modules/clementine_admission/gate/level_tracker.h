#ifndef CLEMENTINE_ADMISSION_GATE_LEVEL_TRACKER_H
#define CLEMENTINE_ADMISSION_GATE_LEVEL_TRACKER_H

#include "clementine_admission/gate/admission_level.h"
#include "clementine_core/time/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace clementine {

/// Computes the level that a gate sends back with answers.
///
/// Offers are counted by level in short windows. After a window with refusals
/// the level is set where the offers, counted from the most important, match
/// the starts. After a window without refusals the level opens: by doubling
/// steps while the gate has slack, otherwise by a small step that probes for
/// the limit again.
///
/// The level is only advisory. The queue of the gate decides exactly what is
/// admitted.
class level_tracker {
public:
  void onOffer(const admission_rank &Rank, instant Now);

  void onStart(instant Now);

  /// Counts a refusal for load.
  void onRefusal(instant Now);

  /// Counts the end of an attempt and whether the gate had spare capacity after
  /// it.
  void onEnd(bool HasSlack, instant Now);

  /// @returns the level as of the last completed window.
  admission_level level() const { return admission_level::fromIndex(Index); }

private:
  static constexpr std::size_t Levels = ImportanceLevels * SubLevels;

  void advanceWindow(instant Now);
  void closeWindow();
  void tighten();
  void open(std::size_t Step);

  std::size_t Index = Levels - 1;
  std::size_t OpeningStep = 0;
  instant WindowStart;
  std::array<std::uint32_t, Levels> Offers{};
  std::size_t Starts = 0;
  std::size_t Refusals = 0;
  std::size_t Ends = 0;
  std::size_t EndsWithSlack = 0;
};

} // namespace clementine

#endif
