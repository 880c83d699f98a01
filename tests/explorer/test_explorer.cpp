#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "clementine_explorer/explorer.h"

#include <cstdio>

using namespace clementine::explorer;

namespace {

void checkAllOrders(const exploration_settings &Settings) {
  const exploration Result = explore(Settings);
  std::printf("%zu states, %zu transitions, depth %u\n", Result.States,
              Result.Transitions, Settings.Depth);
  INFO(describe(Result.Way));
  CHECK(Result.Violation == "");
  CHECK(Result.States > 10000);
}

} // namespace

TEST_CASE("no order of events makes a request run twice or 'not run' a lie") {
  exploration_settings Settings;
  SUBCASE("not idempotent") { Settings.Depth = 9; }
  SUBCASE("idempotent") {
    Settings.IsIdempotent = true;
    Settings.Depth = 8;
  }
  SUBCASE("two requests") {
    Settings.Requests = 2;
    Settings.Depth = 7;
  }
  checkAllOrders(Settings);
}
