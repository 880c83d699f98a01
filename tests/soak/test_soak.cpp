#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "clementine_soak/soak.h"

using namespace clementine::soak;

TEST_CASE("all guarantees are met during four seconds of seeded faults") {
  soak_settings Settings;
  Settings.Seed = 3;
  Settings.Duration = std::chrono::seconds(4);
  CHECK(runSoak(Settings).empty());
}
