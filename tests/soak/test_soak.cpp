#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "clementine_soak/soak.h"

using namespace clementine::soak;

TEST_CASE("every promise holds under a few seconds of seeded faults") {
  soak_settings Settings;
  Settings.Seed = 3;
  Settings.Span = std::chrono::seconds(4);
  CHECK(runSoak(Settings).empty());
}
