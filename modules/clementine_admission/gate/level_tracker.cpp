#include "clementine_admission/gate/level_tracker.h"

#include <algorithm>

namespace clementine {

namespace {

constexpr duration WindowLength = std::chrono::milliseconds(50);

/// After this time without an event the counts are out of date, and the level
/// opens fully.
constexpr duration MaximumIdleTime = std::chrono::seconds(1);

constexpr std::size_t SmallStep = 2;
constexpr std::size_t FirstSlackStep = 16;

/// A window counts as having slack if at least one in this many ends left a
/// slot free.
constexpr std::size_t EndsPerSlack = 4;

} // namespace

void level_tracker::onOffer(const admission_rank &Rank, instant Now) {
  advanceWindow(Now);
  ++Offers[levelOf(Rank).index()];
}

void level_tracker::onStart(instant Now) {
  advanceWindow(Now);
  ++Starts;
}

void level_tracker::onRefusal(instant Now) {
  advanceWindow(Now);
  ++Refusals;
}

void level_tracker::onEnd(bool HasSlack, instant Now) {
  advanceWindow(Now);
  ++Ends;
  EndsWithSlack += HasSlack ? 1 : 0;
}

void level_tracker::advanceWindow(instant Now) {
  const duration Age = Now - WindowStart;
  if (Age < WindowLength)
    return;
  if (Age > MaximumIdleTime)
    Index = Levels - 1;
  else
    closeWindow();
  WindowStart = Now;
  Offers.fill(0);
  Starts = Refusals = Ends = EndsWithSlack = 0;
}

void level_tracker::closeWindow() {
  if (Refusals > 0) {
    OpeningStep = 0;
    tighten();
    return;
  }
  const bool HasSlack = EndsWithSlack * EndsPerSlack >= Ends;
  if (!HasSlack) {
    OpeningStep = 0;
    open(SmallStep);
    return;
  }
  OpeningStep = std::max(FirstSlackStep, OpeningStep * 2);
  open(OpeningStep);
}

void level_tracker::tighten() {
  std::size_t Offered = 0;
  for (std::size_t Level = 0; Level < Levels; ++Level) {
    Offered += Offers[Level];
    if (Offered < Starts)
      continue;
    Index = Level;
    return;
  }
  Index = Levels - 1;
}

void level_tracker::open(std::size_t Step) {
  Index = std::min(Index + Step, Levels - 1);
}

} // namespace clementine
