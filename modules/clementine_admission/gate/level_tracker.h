#ifndef CLEMENTINE_ADMISSION_GATE_LEVEL_TRACKER_H
#define CLEMENTINE_ADMISSION_GATE_LEVEL_TRACKER_H

#include "clementine_admission/gate/admission_level.h"
#include "clementine_core/time/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace clementine {

/// Finds the level that a gate sends back on answers.
///
/// Offers are counted by level in short windows. After a window with refusals
/// the level is set where the offers counted from the top match the starts.
/// After one without refusals it opens: by doubling steps while the gate has
/// slack, else by a small step that finds the edge again.
///
/// The level only advises others. What gets in at the gate is decided by its
/// queue, exactly.
class level_tracker {
public:
  /// Counts an offer.
  void onOffer(const admission_rank &Rank, instant Now);

  /// Counts a start.
  void onStart(instant Now);

  /// Counts a refusal that was due to load.
  void onRefusal(instant Now);

  /// Counts an end of work and whether a slot stayed free after it.
  void onEnd(bool HasSlack, instant Now);

  /// @returns the level of the last full window.
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
