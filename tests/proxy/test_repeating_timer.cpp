#include "clementine_proxy/node/repeating_timer.h"

#include <doctest/doctest.h>

#include <stdexcept>

using namespace clementine;
using namespace clementine::proxy;
using namespace std::chrono_literals;

TEST_CASE("a timer whose work throws neither ends the loop nor stays unarmed") {
  boost::asio::io_context Loop;
  metrics_registry Metrics;
  fault_guard Faults(Metrics);
  int Runs = 0;
  repeating_timer Timer(Loop, Faults, "test", 5ms, [&Runs] {
    if (++Runs <= 3)
      throw std::runtime_error("fault");
  });
  CHECK_NOTHROW(Timer.start());
  for (int Step = 0; Step < 500 && Runs < 6; ++Step)
    CHECK_NOTHROW(Loop.run_for(10ms));
  CHECK(Runs >= 6);
  CHECK(Metrics.prometheusText().find(
            "clementine_faults_total{place=\"test\"} 3") != std::string::npos);
  Timer.stop();
  Loop.run_for(20ms);
  const int RunsAtStop = Runs;
  Loop.restart();
  Loop.run_for(20ms);
  CHECK(Runs == RunsAtStop);
}
