#include "clementine_admission/clementine_admission.h"
#include "clementine_core/random/random_source.h"

#include <doctest/doctest.h>

using namespace clementine;
using namespace std::chrono_literals;

namespace {

constexpr admission_level Open{};

/// Offers one ticket of random rank every 100 us and starts one in three.
void overload(level_tracker &Tracker, instant &Now, duration Span) {
  seeded_random Random(7);
  const instant End = Now + Span;
  for (unsigned Offer = 0; Now < End; ++Offer, Now += 100us) {
    const auto Importance = static_cast<importance>(Random.below(4));
    Tracker.onOffer({Importance, Random.next()}, Now);
    if (Offer % 3 != 0) {
      Tracker.onRefusal(Now);
      continue;
    }
    Tracker.onStart(Now);
    Tracker.onEnd(false, Now);
  }
}

} // namespace

TEST_CASE("under overload the level is set where offers match starts") {
  level_tracker Tracker;
  instant Now{100s};
  overload(Tracker, Now, 500ms);
  constexpr std::size_t Levels = ImportanceLevels * SubLevels;
  CHECK(Tracker.level().index() > Levels / 4);
  CHECK(Tracker.level().index() < Levels * 5 / 12);
  CHECK(Tracker.level().admits({importance::Critical, ~0ULL}));
  CHECK_FALSE(Tracker.level().admits({importance::Low, 0}));
}

TEST_CASE("the level opens fully within a second of slack, and after an idle "
          "period") {
  level_tracker Tracker;
  instant Now{100s};
  overload(Tracker, Now, 500ms);
  for (const instant End = Now + 1s; Now < End; Now += 1ms)
    Tracker.onEnd(true, Now);
  CHECK(Tracker.level() == Open);

  overload(Tracker, Now, 500ms);
  CHECK(Tracker.level() < Open);
  Tracker.onOffer({}, Now + 1100ms);
  CHECK(Tracker.level() == Open);
}
