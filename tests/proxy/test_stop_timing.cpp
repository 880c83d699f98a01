#include "clementine_proxy/node/stop_timing.h"

#include <doctest/doctest.h>

using namespace clementine;
using namespace clementine::proxy;
using namespace std::chrono_literals;

TEST_CASE("no grace is so short that requests are accepted until the process "
          "ends") {
  for (const auto Grace :
       {500ms, 1000ms, 2000ms, 3000ms, 4000ms, 6000ms, 10000ms, 30000ms}) {
    CAPTURE(Grace.count());
    const stop_timing Stop(Grace);
    CHECK(Stop.ConnectionsEnd > duration(0));
    CHECK(Stop.ConnectionsEnd < Stop.RequestsEnd);
    CHECK(Stop.RequestsEnd <= Grace / 2);
    CHECK(Stop.RequestsEnd < Stop.StoreEnd);
    CHECK(Stop.StoreEnd < Stop.WorkEnd);
    CHECK(Stop.WorkEnd >= Grace * 5 / 6);
    CHECK(Stop.WorkEnd < Grace);
  }
}
